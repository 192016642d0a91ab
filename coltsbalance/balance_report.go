package coltsbalance

// The load that an instance reports for the others' choices. A report holds one amount for each
// upstream, so what others can't see of a request has to be part of that amount. A prompt that is not
// prefilled yet delays the requests that are sent after it much more than the tokens that it
// occupies, and each instance sees only its own of them.

import "time"

// LoadReport is the way in which the load of an instance at an upstream is reported to the others.
type LoadReport string

const (
	// ReportHeld reports the load of the requests that have not ended.
	ReportHeld LoadReport = "held"
	// ReportPrefill adds the prompts that are not prefilled yet, prefillFactor times.
	ReportPrefill LoadReport = "prefill"
)

// prefillFactor is the weight of a token that still has to be prefilled, in addition to the token
// itself. The variants of coltsload trade with factors 1 and 6 served customer B worse than 3.
const prefillFactor = 3

// maxPrefillAge is the age of loads up to which prompts that are not prefilled are reported with more
// weight. A prompt is prefilled in about a tenth of a second, so what an older report says of it has
// changed: in coltsload trade the weight is no gain at 300 ms, and a loss at 2 s.
const maxPrefillAge = 250 * time.Millisecond

// LoadReports returns the names of all kinds of report.
func LoadReports() []string { return []string{string(ReportHeld), string(ReportPrefill)} }

// RecordLoadAge records how old the loads of the other instances were when they came: the time since this
// instance asked for them. Its own reports take about as long to reach the others.
func (b *Balancer) RecordLoadAge(age time.Duration) { b.loadAge.Store(int64(age)) }

// reportedLoad returns the load of this instance at an upstream as the others learn it. It is a whole
// number if the weights of the demands are, as the sums of Loads require.
func (b *Balancer) reportedLoad(u *upstream) float64 {
	if b.cfg.LoadReport == ReportPrefill && time.Duration(b.loadAge.Load()) <= maxPrefillAge {
		return u.load + prefillFactor*u.prefill
	}
	return u.load
}

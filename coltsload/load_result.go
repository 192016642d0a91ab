package coltsload

// Latencies are recorded in one histogram for each kind of request. Violated guarantees are
// counted exactly, because a single violation is a failure.

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootstall/coltscaller"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltssystem"
)

// RequestKind is the kind of a request.
type RequestKind int

// The kinds of request.
const (
	// KindNew starts a conversation with a prompt of ordinary length.
	KindNew RequestKind = iota
	// KindReturning continues a conversation.
	KindReturning
	// KindLong starts a conversation with a long prompt.
	KindLong
	// KindPoison crashes the runner that it reaches.
	KindPoison
	kindCount
)

var kindNames = [kindCount]string{"first", "returning", "long", "poison"}

const (
	// maxMicros is the highest value that a histogram can hold, in microseconds.
	maxMicros = int64(2 * time.Minute / time.Microsecond)
	// significantDigits is the precision of a histogram in decimal digits.
	significantDigits = 3
)

// observation is the outcome of one request.
type observation struct {
	kind RequestKind
	// at is when the request was sent, counted from the start of the run.
	at    time.Duration
	reply coltscaller.Reply
	err   error
	// expected is the text of the correct answer.
	expected string
	// promptTokens is the length of the prompt, cacheableTokens the number of its tokens that
	// a perfect cache would have saved.
	promptTokens    int64
	cacheableTokens int64
}

// Result holds the measurements of one run.
type Result struct {
	Scenario Scenario
	Variant  Variant
	Seed     uint64

	mu         sync.Mutex
	firstToken [kindCount]*hdrhistogram.Histogram
	answered   [kindCount]int64
	refused    [kindCount]int64
	reasons    map[string]int64
	// violations counts the violations by a description of the guarantee.
	violations map[string]int64
	// minTokens is the number of prompt tokens that had to be computed even with a perfect
	// cache, computedTokens the number that was computed, and promptTokens the total length
	// of all answered prompts. All are counted after the warm-up.
	minTokens      int64
	computedTokens int64
	promptTokens   int64
	// sent counts the requests by the second of the run in which they were sent. goodput
	// counts the good answers by the same second: those to requests after the warm-up
	// whose first token arrived within Scenario.MaxFirstToken. Poison requests are left out.
	sent    []int64
	goodput []int64

	// linkUtilisation is the share of the stores' link capacity that was used; 1 is all of it.
	linkUtilisation float64
	retries         int64
	attempts        int64
	// crashedRunners counts the runners that were no longer alive at the end.
	crashedRunners int
	duration       time.Duration
}

func newResult(s Scenario, v Variant, seed uint64) *Result {
	seconds := int(s.Duration/time.Second) + 1
	r := &Result{
		Scenario: s, Variant: v, Seed: seed,
		reasons: map[string]int64{}, violations: map[string]int64{},
		sent: make([]int64, seconds), goodput: make([]int64, seconds),
	}
	for i := range r.firstToken {
		r.firstToken[i] = hdrhistogram.New(1, maxMicros, significantDigits)
	}
	return r
}

// add records the outcome of one request.
func (r *Result) add(o observation, system *coltssystem.System) {
	started := false
	if o.err == nil && o.reply.Outcome == "not-run" {
		for _, runner := range system.Runners {
			started = started || runner.HasStarted(o.reply.RequestID)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	second := int(o.at / time.Second)
	r.sent[second]++
	r.countViolations(o, started)
	if o.at < r.Scenario.WarmUp || o.kind == KindPoison {
		return
	}
	if o.err != nil || o.reply.HasError() {
		r.refused[o.kind]++
		r.reasons[o.reply.Reason]++
		return
	}
	if r.Scenario.MaxFirstToken == 0 || o.reply.FirstToken <= r.Scenario.MaxFirstToken {
		r.goodput[second]++
	}
	r.answered[o.kind]++
	r.promptTokens += o.promptTokens
	r.minTokens += o.promptTokens - o.cacheableTokens
	// A value above the histogram's maximum is recorded as the maximum.
	_ = r.firstToken[o.kind].RecordValue(min(maxMicros, o.reply.FirstToken.Microseconds()))
}

// countViolations counts the guarantee that a reply violates, if any. started reports whether a
// runner started the request although the reply states that it was not run.
func (r *Result) countViolations(o observation, started bool) {
	switch {
	case o.err != nil:
		r.violations["connection broken"]++
	case o.reply.HasError() && started:
		r.violations["reported as not run, but ran"]++
	case o.reply.HasError():
	case !o.reply.Complete:
		r.violations["cut short without an error"]++
	case o.reply.Text != o.expected:
		r.violations["wrong answer"]++
	}
}

// endWarmUp subtracts the tokens computed during the warm-up from the count.
func (r *Result) endWarmUp(system *coltssystem.System) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range system.Entries {
		r.computedTokens -= e.Metrics().Get(coltsmetric.TokensComputed)
	}
}

// finish adds the system's own counts at the end of a run that lasted for duration.
func (r *Result) finish(system *coltssystem.System, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.duration = duration
	for _, runner := range system.Runners {
		if !runner.Alive() {
			r.crashedRunners++
		}
	}
	for _, e := range system.Entries {
		r.computedTokens += e.Metrics().Get(coltsmetric.TokensComputed)
		r.retries += e.Metrics().Get(coltsmetric.Retries)
		r.attempts += e.Metrics().Get(coltsmetric.Attempts)
	}
	var transferred int64
	for _, s := range system.Stores {
		transferred += s.TransferredPieces()
	}
	capacity := r.Scenario.Shape.PiecesPerSecond * float64(r.Scenario.Shape.Stores) * duration.Seconds()
	if capacity > 0 {
		r.linkUtilisation = float64(transferred) / capacity
	}
}

// Quantile returns a percentile, from 0 to 100, of the time to first token of a kind of request.
// It returns zero if no request of that kind was answered.
func (r *Result) Quantile(kind RequestKind, percentile float64) time.Duration {
	return time.Duration(r.firstToken[kind].ValueAtQuantile(percentile)) * time.Microsecond
}

// Violations returns the number of violated guarantees.
func (r *Result) Violations() int64 {
	var sum int64
	for _, n := range r.violations {
		sum += n
	}
	return sum
}

// goodShare returns the share, from 0 to 1, of the requests sent between two times that count as
// goodput. It returns zero if none were sent.
func (r *Result) goodShare(from, to time.Duration) float64 {
	var sent, good int64
	for second := int(from / time.Second); second < int(to/time.Second) && second < len(r.sent); second++ {
		sent += r.sent[second]
		good += r.goodput[second]
	}
	if sent == 0 {
		return 0
	}
	return float64(good) / float64(sent)
}

// goodRate returns the goodput between two times in answers per second.
func (r *Result) goodRate(from, to time.Duration) float64 {
	var good int64
	for second := int(from / time.Second); second < int(to/time.Second) && second < len(r.sent); second++ {
		good += r.goodput[second]
	}
	return float64(good) / (to - from).Seconds()
}

// WriteResults writes the results of all variants and seeds as tables. There must be at least one
// result, and all must be of the same scenario.
func WriteResults(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "VARIANT\tSEED\tKIND\tANSWERED\tREFUSED\tFIRST TOKEN P50\tP95\tP99")
	for _, r := range results {
		for k := range kindCount {
			if r.answered[k]+r.refused[k] == 0 {
				continue
			}
			_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%d\t%v\t%v\t%v\n", r.Variant.Name, r.Seed, kindNames[k],
				r.answered[k], r.refused[k],
				milliseconds(r.Quantile(k, 50)), milliseconds(r.Quantile(k, 95)), milliseconds(r.Quantile(k, 99)))
		}
	}
	_, _ = fmt.Fprintln(t, "\nVARIANT\tSEED\tCOMPUTED/MINIMUM\tSHARE COMPUTED\tLINK UTILISATION\tRETRIES\tRUNNERS CRASHED\tBROKEN GUARANTEES\tREFUSALS BY REASON")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%.2f\t%.3f\t%d\t%d %v\t%v\n", r.Variant.Name, r.Seed,
			ratio(r.computedTokens, r.minTokens), ratio(r.computedTokens, r.promptTokens), r.linkUtilisation,
			float64(r.retries)/float64(max(1, r.attempts)), r.crashedRunners, r.Violations(), r.violations, r.reasons)
	}
	if peak := results[0].Scenario.Peak; peak.Factor > 0 {
		writePeak(t, results)
	}
	return t.Flush()
}

// writePeak writes the goodput before, during and after the scenario's peak of demand.
func writePeak(w io.Writer, results []*Result) {
	_, _ = fmt.Fprintln(w, "\nVARIANT\tSEED\tANSWERS PER SECOND BEFORE\tDURING THE PEAK\tWITHIN 5 S AFTER\tSHARE ANSWERED DURING")
	for _, r := range results {
		peak := r.Scenario.Peak
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.2f\n", r.Variant.Name, r.Seed,
			r.goodRate(r.Scenario.WarmUp, peak.At), r.goodRate(peak.At, peak.At+peak.For),
			r.goodRate(peak.At+peak.For, peak.At+peak.For+5*time.Second), r.goodShare(peak.At, peak.At+peak.For))
	}
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%dms", d.Milliseconds())
}

// ratio formats a/b, or "-" if b is zero.
func ratio(a, b int64) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", float64(a)/float64(b))
}

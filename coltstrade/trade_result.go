package coltstrade

// The results of a simulation, for each class and in total.

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// ClassResult holds the results of the requests of one class.
type ClassResult struct {
	Class
	// Requests is the number of requests. Each of them counts as OnTime or Late if it was
	// answered, depending on whether it met the goals of the class, or else as Refused.
	Requests int
	OnTime   int
	Late     int
	Refused  int
	// firstTokenTimes holds the time until the first token for each answered request,
	// maxGaps the longest gap in its stream. finish sorts both.
	firstTokenTimes []time.Duration
	maxGaps         []time.Duration
}

// Result holds the results of a simulation.
type Result struct {
	Variant Variant
	// Gateways is copied from the scenario.
	Gateways int
	Classes  []ClassResult
	// RecomputePrice is copied from the scenario.
	RecomputePrice float64
	// PrefilledTokens is the number of tokens in shareable parts that were prefilled,
	// RecomputedTokens the number of those that some runner had prefilled before, and
	// TransferredTokens the number of tokens that were fetched from and saved in stores.
	PrefilledTokens   int
	RecomputedTokens  int
	TransferredTokens int
	// MaxLinkUtilization is the utilization of the busiest store link, as a share of the
	// scenario's duration.
	MaxLinkUtilization float64
	// imbalance holds the work of each runner at each measurement, as a multiple of the mean.
	// finish sorts it.
	imbalance []float64
}

// imbalancePeriod is the interval at which the work that runners hold is compared.
const imbalancePeriod = 100 * time.Millisecond

// measureImbalance records the tokens of the requests that each runner holds as a multiple of the mean
// of the runners that are not down.
func (sim *simulation) measureImbalance() {
	total, up := 0, 0
	for _, r := range sim.runners {
		if !r.down {
			total, up = total+r.heldTokens, up+1
		}
	}
	if total == 0 {
		return
	}
	for _, r := range sim.runners {
		if !r.down {
			sim.result.imbalance = append(sim.result.imbalance, float64(r.heldTokens)*float64(up)/float64(total))
		}
	}
}

// Imbalance returns the 95th percentile of the work of a runner as a multiple of the mean, and the share of the
// measurements in which a runner had more than twice the mean, which makes its prompts late.
func (r *Result) Imbalance() (p95, overTwice float64) {
	n := len(r.imbalance)
	if n == 0 {
		return 0, 0
	}
	first, _ := slices.BinarySearch(r.imbalance, 2)
	return r.imbalance[min(n-1, n*95/100)], float64(n-first) / float64(n)
}

func newResult(s Scenario, v Variant) *Result {
	r := &Result{Variant: v, Gateways: s.Gateways, RecomputePrice: s.RecomputePrice}
	for _, c := range s.Classes {
		r.Classes = append(r.Classes, ClassResult{Class: c})
	}
	return r
}

func (r *Result) countArrival(class int) { r.Classes[class].Requests++ }

func (r *Result) countRefusal(class int) { r.Classes[class].Refused++ }

// countAnswer counts a complete answer whose longest gap was maxGap.
func (r *Result) countAnswer(timing *requestTiming, maxGap time.Duration) {
	c := &r.Classes[timing.class]
	firstTokenTime := timing.firstTokenAt.Sub(timing.arrived)
	c.firstTokenTimes, c.maxGaps = append(c.firstTokenTimes, firstTokenTime), append(c.maxGaps, maxGap)
	if firstTokenTime <= c.LatencyGoal && maxGap <= c.GapGoal {
		c.OnTime++
		return
	}
	c.Late++
}

// finish computes the totals at the end of a simulation.
func (r *Result) finish(sim *simulation) {
	for _, st := range sim.stores {
		r.MaxLinkUtilization = max(r.MaxLinkUtilization, st.link.busyTime.Seconds()/sim.scenario.Duration.Seconds())
	}
	slices.Sort(r.imbalance)
	for i := range r.Classes {
		slices.Sort(r.Classes[i].firstTokenTimes)
		slices.Sort(r.Classes[i].maxGaps)
	}
}

// Score returns the total value of the answers less the price of the recomputed tokens, as a
// share of the value if all requests were answered on time.
func (r *Result) Score() float64 {
	earned, possible := -r.RecomputePrice*float64(r.RecomputedTokens)/1000, 0.0
	for _, c := range r.Classes {
		earned += float64(c.OnTime)*c.Value + float64(c.Late)*c.LateValue
		possible += float64(c.Requests) * c.Value
	}
	return earned / max(1, possible)
}

// percentile returns a percentile of sorted durations, or 0 if there are none.
func percentile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}

// WriteTable writes results as a table with one line for each. Tokens are in thousands, times in
// milliseconds.
func WriteTable(w io.Writer, results []*Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(tw, "variant\tgateways\tscore\trecomputed\ttransferred\tbusiest link\tload p95\tover twice\t")
	for _, c := range results[0].Classes {
		_, _ = fmt.Fprintf(tw, "%s on time\tlate\trefused\tfirst token p50\tp95\tmax gap p95\t", c.Name)
	}
	_, _ = fmt.Fprintln(tw)
	for _, r := range results {
		p95, overTwice := r.Imbalance()
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%.4f\t%dk\t%dk\t%.2f\t%.2f\t%.4f\t", r.Variant.Name, r.Gateways, r.Score(),
			r.RecomputedTokens/1000, r.TransferredTokens/1000, r.MaxLinkUtilization, p95, overTwice)
		for _, c := range r.Classes {
			requests := max(1, float64(c.Requests))
			_, _ = fmt.Fprintf(tw, "%.4f\t%.4f\t%.4f\t%d\t%d\t%d\t",
				float64(c.OnTime)/requests, float64(c.Late)/requests, float64(c.Refused)/requests,
				percentile(c.firstTokenTimes, 50).Milliseconds(), percentile(c.firstTokenTimes, 95).Milliseconds(),
				percentile(c.maxGaps, 95).Milliseconds())
		}
		_, _ = fmt.Fprintln(tw)
	}
	return tw.Flush()
}

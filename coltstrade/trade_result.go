package coltstrade

// What a day came to, for each class and as a whole.

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// ClassResult is what the callers of one class felt.
type ClassResult struct {
	Class
	Asked   int
	OnTime  int
	Late    int
	Refused int
	firsts  []time.Duration
	pauses  []time.Duration
}

// Result is a day's.
type Result struct {
	Variant Variant
	Classes []ClassResult
	// AgainPrice is the scenario's.
	AgainPrice float64
	// ReadTokens are those of shared parts that were read, AgainTokens those of them
	// that some runner had read before, MovedTokens those that were fetched and saved.
	ReadTokens  int
	AgainTokens int
	MovedTokens int
	// LinkShare is the busiest store link's share of the day.
	LinkShare float64
}

func newResult(s Scenario, v Variant) *Result {
	r := &Result{Variant: v, AgainPrice: s.AgainPrice}
	for _, c := range s.Classes {
		r.Classes = append(r.Classes, ClassResult{Class: c})
	}
	return r
}

func (r *Result) asked(class int) { r.Classes[class].Asked++ }

func (r *Result) refused(class int) { r.Classes[class].Refused++ }

// served takes in an answer.
func (r *Result) served(p *prompt, pause time.Duration) {
	c := &r.Classes[p.class]
	first := p.firstAt.Sub(p.arrived)
	c.firsts, c.pauses = append(c.firsts, first), append(c.pauses, pause)
	if first <= c.Goal && pause <= c.GapGoal {
		c.OnTime++
		return
	}
	c.Late++
}

// finish sums the day up.
func (r *Result) finish(d *day) {
	for _, st := range d.stores {
		r.LinkShare = max(r.LinkShare, st.link.carried.Seconds()/d.scenario.Duration.Seconds())
	}
	for i := range r.Classes {
		slices.Sort(r.Classes[i].firsts)
		slices.Sort(r.Classes[i].pauses)
	}
}

// Worth is the share of the credit that could be earned, less the price of what was read
// again.
func (r *Result) Worth() float64 {
	earned, owed := -r.AgainPrice*float64(r.AgainTokens)/1000, 0.0
	for _, c := range r.Classes {
		earned += float64(c.OnTime)*c.Worth + float64(c.Late)*c.LateWorth
		owed += float64(c.Asked) * c.Worth
	}
	return earned / max(1, owed)
}

// quantile returns a quantile of sorted spans, 0 of none.
func quantile(sorted []time.Duration, per100 int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, len(sorted)*per100/100)]
}

// Write writes results as a table.
func Write(w io.Writer, results []*Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(tw, "variant\tworth\tread again\tmoved\tbusiest link\t")
	for _, c := range results[0].Classes {
		_, _ = fmt.Fprintf(tw, "%s on time\tfirst p50\tp95\tpause p95\t", c.Name)
	}
	_, _ = fmt.Fprintln(tw)
	for _, r := range results {
		_, _ = fmt.Fprintf(tw, "%s\t%.3f\t%dk\t%dk\t%.2f\t", r.Variant.Name, r.Worth(), r.AgainTokens/1000, r.MovedTokens/1000, r.LinkShare)
		for _, c := range r.Classes {
			_, _ = fmt.Fprintf(tw, "%.3f\t%d\t%d\t%d\t", float64(c.OnTime)/max(1, float64(c.Asked)),
				quantile(c.firsts, 50).Milliseconds(), quantile(c.firsts, 95).Milliseconds(), quantile(c.pauses, 95).Milliseconds())
		}
		_, _ = fmt.Fprintln(tw)
	}
	return tw.Flush()
}

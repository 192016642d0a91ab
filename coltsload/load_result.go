package coltsload

// What was measured is kept in histograms by kind of request; broken promises are
// counted one by one, since a single one matters.

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

// Kind says what a request was.
type Kind int

// The kinds of request.
const (
	KindShort Kind = iota
	KindReturn
	KindLong
	KindPoison
	kinds
)

var kindNames = [kinds]string{"first", "returning", "long", "poison"}

const (
	// maxMicros bounds what a histogram can hold.
	maxMicros = int64(2 * time.Minute / time.Microsecond)
	// significant is the number of digits that a histogram keeps.
	significant = 3
)

// observation is one request that has ended.
type observation struct {
	kind     Kind
	at       time.Duration
	reply    coltscaller.Reply
	err      error
	expected string
	// tokens is the prompt's length, kept what a perfect cache would have saved.
	tokens int64
	kept   int64
}

// Result is what one run has measured.
type Result struct {
	Scenario Scenario
	Variant  Variant
	Seed     uint64

	mu         sync.Mutex
	firstToken [kinds]*hdrhistogram.Histogram
	answered   [kinds]int64
	refused    [kinds]int64
	reasons    map[string]int64
	// broken counts promises that were not kept, by what was broken.
	broken map[string]int64
	// least is the fewest tokens that had to be computed, computed those that
	// were.
	least    int64
	computed int64
	prompt   int64
	// goodput counts whole answers by the second in which they were asked for.
	asked   []int64
	goodput []int64

	linkUse     float64
	retries     int64
	attempts    int64
	runnersLost int
	took        time.Duration
}

func newResult(s Scenario, v Variant, seed uint64) *Result {
	seconds := int(s.Duration/time.Second) + 1
	r := &Result{
		Scenario: s, Variant: v, Seed: seed,
		reasons: map[string]int64{}, broken: map[string]int64{},
		asked: make([]int64, seconds), goodput: make([]int64, seconds),
	}
	for i := range r.firstToken {
		r.firstToken[i] = hdrhistogram.New(1, maxMicros, significant)
	}
	return r
}

// add takes in a request that has ended.
func (r *Result) add(o observation, system *coltssystem.System) {
	began := false
	if o.err == nil && o.reply.Outcome == "not-run" {
		for _, runner := range system.Runners {
			began = began || runner.Began(o.reply.RequestID)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	second := int(o.at / time.Second)
	r.asked[second]++
	r.judge(o, began)
	if o.at < r.Scenario.WarmUp || o.kind == KindPoison {
		return
	}
	if o.err != nil || o.reply.Refused() {
		r.refused[o.kind]++
		r.reasons[o.reply.Reason]++
		return
	}
	if r.Scenario.GoodWithin == 0 || o.reply.FirstToken <= r.Scenario.GoodWithin {
		r.goodput[second]++
	}
	r.answered[o.kind]++
	r.prompt += o.tokens
	r.least += o.tokens - o.kept
	// A value beyond the bound is counted at the bound.
	_ = r.firstToken[o.kind].RecordValue(min(maxMicros, o.reply.FirstToken.Microseconds()))
}

// judge counts what the reply breaks.
func (r *Result) judge(o observation, began bool) {
	switch {
	case o.err != nil:
		r.broken["connection broken"]++
	case o.reply.Refused() && began:
		r.broken["said not to have run, and ran"]++
	case o.reply.Refused():
	case !o.reply.Whole:
		r.broken["cut short in silence"]++
	case o.reply.Text != o.expected:
		r.broken["wrong answer"]++
	}
}

// warm takes in what the system has computed before anything is reported.
func (r *Result) warm(system *coltssystem.System) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range system.Entries {
		r.computed -= e.Metrics().Get(coltsmetric.TokensComputed)
	}
}

// finish takes in what the system itself has counted.
func (r *Result) finish(system *coltssystem.System, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took = took
	for _, runner := range system.Runners {
		if !runner.Alive() {
			r.runnersLost++
		}
	}
	for _, e := range system.Entries {
		r.computed += e.Metrics().Get(coltsmetric.TokensComputed)
		r.retries += e.Metrics().Get(coltsmetric.Retries)
		r.attempts += e.Metrics().Get(coltsmetric.Attempts)
	}
	var moved int64
	for _, s := range system.Stores {
		moved += s.Moved()
	}
	can := r.Scenario.Shape.PiecesPerSecond * float64(r.Scenario.Shape.Stores) * took.Seconds()
	if can > 0 {
		r.linkUse = float64(moved) / can
	}
}

// Quantile returns a time to first token of a kind; 0 if there was none.
func (r *Result) Quantile(kind Kind, per100 float64) time.Duration {
	return time.Duration(r.firstToken[kind].ValueAtQuantile(per100)) * time.Microsecond
}

// Broken returns the number of broken promises.
func (r *Result) Broken() int64 {
	var sum int64
	for _, n := range r.broken {
		sum += n
	}
	return sum
}

// goodShare returns whole answers over requests between two times.
func (r *Result) goodShare(from, to time.Duration) float64 {
	var asked, good int64
	for second := int(from / time.Second); second < int(to/time.Second) && second < len(r.asked); second++ {
		asked += r.asked[second]
		good += r.goodput[second]
	}
	if asked == 0 {
		return 0
	}
	return float64(good) / float64(asked)
}

// goodRate returns whole answers a second between two times.
func (r *Result) goodRate(from, to time.Duration) float64 {
	var good int64
	for second := int(from / time.Second); second < int(to/time.Second) && second < len(r.asked); second++ {
		good += r.goodput[second]
	}
	return float64(good) / (to - from).Seconds()
}

// Write writes the results of several variants and seeds as one table.
func Write(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "VARIANT\tSEED\tKIND\tANSWERED\tREFUSED\tFIRST TOKEN P50\tP95\tP99")
	for _, r := range results {
		for k := range kinds {
			if r.answered[k]+r.refused[k] == 0 {
				continue
			}
			_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%d\t%v\t%v\t%v\n", r.Variant.Name, r.Seed, kindNames[k],
				r.answered[k], r.refused[k], ms(r.Quantile(k, 50)), ms(r.Quantile(k, 95)), ms(r.Quantile(k, 99)))
		}
	}
	_, _ = fmt.Fprintln(t, "\nVARIANT\tSEED\tCOMPUTED/LEAST\tSHARE COMPUTED\tLINK USE\tRETRIES\tRUNNERS LOST\tBROKEN PROMISES\tREFUSALS BY REASON")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%.2f\t%.3f\t%d\t%d %v\t%v\n", r.Variant.Name, r.Seed,
			ratio(r.computed, r.least), ratio(r.computed, r.prompt), r.linkUse,
			float64(r.retries)/float64(max(1, r.attempts)), r.runnersLost, r.Broken(), r.broken, r.reasons)
	}
	if c := results[0].Scenario.Crest; c.Factor > 0 {
		writeCrest(t, results)
	}
	return t.Flush()
}

func writeCrest(w io.Writer, results []*Result) {
	_, _ = fmt.Fprintln(w, "\nVARIANT\tSEED\tANSWERS A SECOND BEFORE\tDURING THE CREST\tWITHIN 5 S AFTER\tSHARE ANSWERED DURING")
	for _, r := range results {
		c := r.Scenario.Crest
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.2f\n", r.Variant.Name, r.Seed,
			r.goodRate(r.Scenario.WarmUp, c.At), r.goodRate(c.At, c.At+c.For),
			r.goodRate(c.At+c.For, c.At+c.For+5*time.Second), r.goodShare(c.At, c.At+c.For))
	}
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%dms", d.Milliseconds())
}

func ratio(a, b int64) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", float64(a)/float64(b))
}

// Package coltstry runs a short day of returning prompts and bookings on a whole
// system in one process, and prints what a person wants to see of it.
package coltstry

// The day shows the product's two promises by measured figures: returning prompts
// answered sooner and cheaper from kept cache than by recomputing, on the same
// runners in the same minute, and a booking that runs once however often it is
// sent.

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltscaller"
	"coltsfootstall/coltscontrol"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsreport"
	"coltsfootstall/coltssettings"
	"coltsfootstall/coltsstandin"
	"coltsfootstall/coltssystem"
)

const (
	// conversations is the number of prompts of each of the two kinds.
	conversations = 8
	// promptPieces is the length of each prompt.
	promptPieces = 10
	// answerTokens is the length of each answer.
	answerTokens = 20
	// recomputeEntry is the entry that recomputes always.
	recomputeEntry = 2
	// settleTimeout bounds the wait for exports and reports of use.
	settleTimeout = 15 * time.Second
	// sentence fills prompts.
	sentence = " Sheets of marigold and cornflower, pressed on Tuesday for the market;"
)

// Run runs the day and writes what happened.
func Run(w io.Writer) error {
	folder, err := os.MkdirTemp("", "coltsfootstall-try-")
	if err != nil {
		return errors.Wrap(err, "make data folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	system, err := coltssystem.Start(systemConfig(folder))
	if err != nil {
		return err
	}
	defer system.Stop()
	d := &day{w: w, system: system}
	_, _ = fmt.Fprintln(w, "1 control instance, 3 entries, 4 model runners, 2 kept-cache stores and 2 press services")
	_, _ = fmt.Fprintln(w, "are up on loopback, in this process.")
	for _, step := range []func() error{d.prompts, d.bookings, d.spend} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func systemConfig(folder string) coltssystem.Config {
	return coltssystem.Config{
		DataFolder: folder,
		Entries:    3,
		Runners:    4,
		Stores:     2,
		Services:   2,
		Runner: coltsstandin.RunnerConfig{
			PrefillPerSecond: 40_000,
			TokenPeriod:      5 * time.Millisecond,
			MemoryPieces:     4000,
		},
		Store:   coltsstandin.StoreConfig{PiecesPerSecond: 100, CapacityPieces: 10_000},
		Service: coltsstandin.ServiceConfig{Duration: 20 * time.Millisecond},
		Adjust: func(i int, s *coltssettings.Settings) {
			s.Entry.KeepCache = i != recomputeEntry
			// The day is short; a press that never answers is given up soon.
			s.Entry.RequestTimeout = 20 * time.Second
		},
	}
}

// day is the trial day.
type day struct {
	w      io.Writer
	system *coltssystem.System
}

func (d *day) entry(i int) netip.AddrPort {
	return d.system.Entries[i].CallerAddr()
}

// conversation is one caller's conversation.
type conversation struct {
	client *coltscaller.Client
	prompt coltscaller.Prompt
	// entries are those that its turns go to.
	entries []int
	reply   coltscaller.Reply
	err     error
}

func newConversation(name, key string, entries []int) *conversation {
	text := "Batch " + name + "." + strings.Repeat(sentence, promptPieces*coltscache.PieceBytes/len(sentence)+1)
	return &conversation{
		client:  coltscaller.New(coltscaller.Config{Key: key}),
		entries: entries,
		prompt: coltscaller.Prompt{
			Model:     coltssystem.ModelName,
			MaxTokens: answerTokens,
			Messages:  []coltscaller.Message{{Role: "user", Content: text}},
		},
	}
}

// turn asks for the next answer.
func (c *conversation) turn(d *day, n int) {
	c.reply, c.err = c.client.Stream(d.entry(c.entries[n%len(c.entries)]), c.prompt)
	c.prompt.Messages = append(c.prompt.Messages,
		coltscaller.Message{Role: "assistant", Content: c.reply.Text},
		coltscaller.Message{Role: "user", Content: "And the next batch?"})
}

// prompts runs conversations that return after a gap that no runner's memory
// outlasts, half of them with kept cache and half recomputed.
func (d *day) prompts() error {
	var kept, recomputed []*conversation
	for i := range conversations {
		key := []string{coltssystem.KeySeedPaper, coltssystem.KeySaltRoad}[i%2]
		kept = append(kept, newConversation(fmt.Sprintf("kept-%d", i), key, []int{0, 1}))
		recomputed = append(recomputed, newConversation(fmt.Sprintf("recomputed-%d", i), key, []int{recomputeEntry}))
	}
	_, _ = fmt.Fprintf(d.w, "\nMorning: %d conversations of %d tokens begin.\n",
		2*conversations, promptPieces*coltscache.PieceTokens)
	if err := d.turnAll(append(append([]*conversation{}, kept...), recomputed...)); err != nil {
		return err
	}
	if err := d.awaitExports(); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(d.w, "A long gap: other work takes the runners' memory. Then each conversation returns, one by one.")
	for _, r := range d.system.Runners {
		r.ForgetCache()
	}
	before := d.counted()
	for i := range conversations {
		for _, c := range []*conversation{kept[i], recomputed[i]} {
			c.turn(d, 1)
			if err := c.check(); err != nil {
				return err
			}
		}
	}
	d.compare(kept, recomputed, before)
	return nil
}

// turnAll takes a turn of every conversation at once.
func (d *day) turnAll(all []*conversation) error {
	var wg sync.WaitGroup
	for _, c := range all {
		wg.Go(func() { c.turn(d, 0) })
	}
	wg.Wait()
	for _, c := range all {
		if err := c.check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *conversation) check() error {
	if c.err != nil {
		return c.err
	}
	if c.reply.Refused() || !c.reply.Whole {
		return errors.Errorf("an answer did not come whole: %s", c.reply.Refusal)
	}
	return nil
}

// awaitExports waits until the stores hold every kept conversation.
func (d *day) awaitExports() error {
	return coltssystem.Await(settleTimeout, "the stores hold what was exported", func() bool {
		held := 0
		for _, s := range d.system.Stores {
			held += s.Len()
		}
		return held >= conversations*promptPieces
	})
}

// counted are the prompt tokens that entries of each kind have charged for.
type counted struct {
	computed [2]int64
	reused   [2]int64
}

func (d *day) counted() counted {
	var c counted
	for i, e := range d.system.Entries {
		kind := 0
		if i == recomputeEntry {
			kind = 1
		}
		c.computed[kind] += e.Metrics().Get(coltsmetric.TokensComputed)
		c.reused[kind] += e.Metrics().Get(coltsmetric.TokensReused)
	}
	return c
}

// compare prints both kinds beside each other.
func (d *day) compare(kept, recomputed []*conversation, before counted) {
	after := d.counted()
	t := tabwriter.NewWriter(d.w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\nRETURNING PROMPTS\tTIME TO FIRST TOKEN, MEDIAN\tLONGEST\tSHARE RECOMPUTED")
	for kind, all := range [][]*conversation{kept, recomputed} {
		name := []string{"with kept cache", "recomputed always"}[kind]
		median, longest := spread(all)
		computed := after.computed[kind] - before.computed[kind]
		reused := after.reused[kind] - before.reused[kind]
		_, _ = fmt.Fprintf(t, "%s\t%v\t%v\t%d%%\n", name,
			median.Round(time.Millisecond), longest.Round(time.Millisecond), 100*computed/max(1, computed+reused))
	}
	_ = t.Flush()
}

// spread returns the median and the longest time to first token.
func spread(all []*conversation) (median, longest time.Duration) {
	times := make([]time.Duration, 0, len(all))
	for _, c := range all {
		times = append(times, c.reply.FirstToken)
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}

// spend prints what the day cost.
func (d *day) spend() error {
	want := int64(4 * conversations)
	err := coltssystem.Await(settleTimeout, "all use is reported", func() bool {
		return requestsIn(d.system.Control) >= want
	})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(d.w, "\nSPEND")
	return coltsreport.NewSpend(d.system.Control.Spend()).WriteText(d.w)
}

func requestsIn(control *coltscontrol.Control) int64 {
	var sum int64
	for _, line := range control.Spend() {
		if line.Item == coltssystem.ModelName {
			sum += line.Amounts.Requests
		}
	}
	return sum
}

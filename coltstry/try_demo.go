// Package coltstry runs a short demo of the system: a day of returning prompts and
// bookings on a complete system in one process, with a summary of the results.
package coltstry

// The demo shows the two main benefits of the system with measured figures. Returning
// prompts are answered sooner and cheaper from the KV cache saved in a cache store than by
// recomputing, on the same runners and within the same minute. A booking runs once however
// often it is sent.

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
	// conversations is the number of conversations of each of the two kinds: with
	// restored KV cache and recomputed.
	conversations = 8
	// promptPieces is the length of each prompt, in cache pieces.
	promptPieces = 10
	// answerTokens is the length of each answer, in tokens.
	answerTokens = 20
	// recomputeEntry is the index of the entry that does not use cache stores, so that its
	// prompts are always recomputed.
	recomputeEntry = 2
	// settleTimeout is the maximum wait for cache exports and for usage reports.
	settleTimeout = 15 * time.Second
	// sentence is repeated to fill prompts.
	sentence = " Sheets of marigold and cornflower, pressed on Tuesday for the market;"
)

// Run runs the demo and writes its results to w.
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
	d := &demo{w: w, system: system}
	_, _ = fmt.Fprintln(w, "1 control instance, 3 entries, 4 model runners, 2 kept-cache stores and 2 press services")
	_, _ = fmt.Fprintln(w, "are up on loopback, in this process.")
	for _, step := range []func() error{d.runPrompts, d.runBookings, d.printSpend} {
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
		AdjustSettings: func(i int, s *coltssettings.Settings) {
			s.Entry.KeepCache = i != recomputeEntry
			// The demo is short, so a press service that never answers must time out soon.
			s.Entry.RequestTimeout = 20 * time.Second
		},
	}
}

// demo is one run of the demo.
type demo struct {
	w      io.Writer
	system *coltssystem.System
}

// entryAddr returns the address on which entry i serves callers.
func (d *demo) entryAddr(i int) netip.AddrPort {
	return d.system.Entries[i].CallerAddr()
}

// conversation is one caller's conversation.
type conversation struct {
	client *coltscaller.Client
	prompt coltscaller.Prompt
	// entries are the indexes of the entries that the turns go to, in rotation.
	entries []int
	// reply and err are the result of the last turn.
	reply coltscaller.Reply
	err   error
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

// turn requests the answer of turn n, and appends the answer and a follow-up question to
// the prompt.
func (c *conversation) turn(d *demo, n int) {
	c.reply, c.err = c.client.Stream(d.entryAddr(c.entries[n%len(c.entries)]), c.prompt)
	c.prompt.Messages = append(c.prompt.Messages,
		coltscaller.Message{Role: "assistant", Content: c.reply.Text},
		coltscaller.Message{Role: "user", Content: "And the next batch?"})
}

// runPrompts runs conversations that continue after the runners have evicted their KV cache
// from memory. For half of them it is restored from cache stores, for half it is recomputed.
func (d *demo) runPrompts() error {
	var restored, recomputed []*conversation
	for i := range conversations {
		key := []string{coltssystem.KeySeedPaper, coltssystem.KeySaltRoad}[i%2]
		restored = append(restored, newConversation(fmt.Sprintf("kept-%d", i), key, []int{0, 1}))
		recomputed = append(recomputed, newConversation(fmt.Sprintf("recomputed-%d", i), key, []int{recomputeEntry}))
	}
	_, _ = fmt.Fprintf(d.w, "\nMorning: %d conversations of %d tokens begin.\n",
		2*conversations, promptPieces*coltscache.PieceTokens)
	if err := d.startAll(append(append([]*conversation{}, restored...), recomputed...)); err != nil {
		return err
	}
	if err := d.awaitExports(); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(d.w, "A long gap: other work evicts the cache from the runners' memory. Then the conversations return, one by one.")
	for _, r := range d.system.Runners {
		r.ClearCache()
	}
	before := d.countTokens()
	for i := range conversations {
		for _, c := range []*conversation{restored[i], recomputed[i]} {
			c.turn(d, 1)
			if err := c.check(); err != nil {
				return err
			}
		}
	}
	d.printComparison(restored, recomputed, before)
	return nil
}

// startAll runs the first turn of all conversations concurrently.
func (d *demo) startAll(all []*conversation) error {
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

// check returns an error if the last turn failed or its answer was incomplete.
func (c *conversation) check() error {
	if c.err != nil {
		return c.err
	}
	if c.reply.HasError() || !c.reply.Complete {
		return errors.Errorf("an answer was refused or incomplete: %s", c.reply.Refusal)
	}
	return nil
}

// awaitExports waits until the stores hold the pieces of all conversations that use
// cache stores.
func (d *demo) awaitExports() error {
	return coltssystem.Await(settleTimeout, "the stores hold the exported cache", func() bool {
		held := 0
		for _, s := range d.system.Stores {
			held += s.Len()
		}
		return held >= conversations*promptPieces
	})
}

// tokenCounts holds the numbers of prompt tokens that the entries counted, by kind: index
// 0 is for the entries that use cache stores, index 1 for the entry that does not.
type tokenCounts struct {
	computed [2]int64
	reused   [2]int64
}

// countTokens sums the counts of all entries.
func (d *demo) countTokens() tokenCounts {
	var c tokenCounts
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

// printComparison prints the times to first token and the recomputed share of both kinds.
func (d *demo) printComparison(restored, recomputed []*conversation, before tokenCounts) {
	after := d.countTokens()
	t := tabwriter.NewWriter(d.w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\nRETURNING PROMPTS\tTIME TO FIRST TOKEN, MEDIAN\tLONGEST\tSHARE RECOMPUTED")
	for kind, all := range [][]*conversation{restored, recomputed} {
		name := []string{"with kept cache", "always recomputed"}[kind]
		median, longest := medianAndLongest(all)
		computed := after.computed[kind] - before.computed[kind]
		reused := after.reused[kind] - before.reused[kind]
		_, _ = fmt.Fprintf(t, "%s\t%v\t%v\t%d%%\n", name,
			median.Round(time.Millisecond), longest.Round(time.Millisecond), 100*computed/max(1, computed+reused))
	}
	_ = t.Flush()
}

// medianAndLongest returns the median and the longest time to first token.
func medianAndLongest(all []*conversation) (median, longest time.Duration) {
	times := make([]time.Duration, 0, len(all))
	for _, c := range all {
		times = append(times, c.reply.FirstToken)
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}

// printSpend waits for the usage reports and prints the spend report.
func (d *demo) printSpend() error {
	want := int64(4 * conversations)
	err := coltssystem.Await(settleTimeout, "all usage is reported", func() bool {
		return countModelRequests(d.system.Control) >= want
	})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(d.w, "\nSPEND")
	return coltsreport.NewSpend(d.system.Control.Spend()).WriteText(d.w)
}

// countModelRequests returns the number of requests to the model that control has
// recorded.
func countModelRequests(control *coltscontrol.Control) int64 {
	var sum int64
	for _, line := range control.Spend() {
		if line.Item == coltssystem.ModelName {
			sum += line.Amounts.Requests
		}
	}
	return sum
}

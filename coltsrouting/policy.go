// Package coltsrouting chooses the upstream for a request.
package coltsrouting

// The simplest policies stay beside the real one as members of one table, so
// that every measurement can be compared with them in the same run.

import (
	"cmp"
	"slices"
	"time"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// Work is what is to be placed.
type Work struct {
	// Home is the key of the computed home.
	Home coltscache.Piece
	// PromptTokens is the length of the prompt.
	PromptTokens int64
	// Holdings says which upstreams are believed to hold leading pieces.
	Holdings []coltscache.Holding
	// Sources are the stores to restore from; empty to recompute always.
	Sources []coltscache.Source
	// Tried lists the upstreams that failed this request.
	Tried []coltsidentity.Upstream
	// Apart places the work by its home alone, whatever the load: two pieces of
	// work with different homes seldom meet.
	Apart bool
}

// Choice is where the work goes.
type Choice struct {
	Candidate coltsfleet.Candidate
	// HeldPieces is how many leading pieces the upstream is believed to hold.
	HeldPieces    int
	Restore coltscache.RestorePlan
	// Queue is the expected wait for its turn, and Expected the expected time to
	// first token.
	Queue    time.Duration
	Expected time.Duration
}

// Policy is one way to choose. Construct it with New.
type Policy struct {
	Name  string
	Usage string
	// choose picks among options of which there is at least one.
	choose func(w Work, options []Choice, now time.Time) Choice
}

// policyMember is one line of the table of policies.
type policyMember struct {
	name  string
	usage string
	build func() func(w Work, options []Choice, now time.Time) Choice
}

// policyTable lists the policies, the default first.
var policyTable = []policyMember{
	policyExpected,
	policyOutstanding,
	policyRoundRobin,
}

// Names lists the policies, the default first.
func Names() []string {
	names := make([]string, 0, len(policyTable))
	for _, m := range policyTable {
		names = append(names, m.name)
	}
	return names
}

// New returns a policy by its name and says whether there is one.
func New(name string) (*Policy, bool) {
	for _, m := range policyTable {
		if m.name == name {
			return &Policy{Name: m.name, Usage: m.usage, choose: m.build()}, true
		}
	}
	return nil, false
}

// Choose picks an upstream for the work. It returns false if none may take it.
// Draining upstreams and those that failed the request get none; ejected ones
// get some only if there is no other.
func (p *Policy) Choose(w Work, candidates []coltsfleet.Candidate, now time.Time) (Choice, bool) {
	options := optionsOf(w, candidates, false)
	if len(options) == 0 {
		options = optionsOf(w, candidates, true)
	}
	if len(options) == 0 {
		return Choice{}, false
	}
	if w.Apart {
		return closestToHome(w, options), true
	}
	return p.choose(w, options, now), true
}

func optionsOf(w Work, candidates []coltsfleet.Candidate, ejected bool) []Choice {
	options := make([]Choice, 0, len(candidates))
	for _, c := range candidates {
		if c.Draining || c.Ejected != ejected {
			continue
		}
		if slices.Contains(w.Tried, c.Announcement.ID) {
			continue
		}
		options = append(options, w.optionOn(c))
	}
	return options
}

// optionOn works out what the work would cost on one candidate.
func (w Work) optionOn(c coltsfleet.Candidate) Choice {
	held := w.heldBy(c.Announcement.ID)
	plan := coltscache.PlanRestore(coltscache.PlanInput{
		Held:             held,
		PromptTokens:     w.PromptTokens,
		PrefillPerSecond: c.PrefillPerSecond,
		Sources:          w.Sources,
	})
	queue := time.Duration(float64(c.QueuedTokens) / float64(c.PrefillPerSecond) * float64(time.Second))
	return Choice{Candidate: c, HeldPieces: held, Restore: plan, Queue: queue, Expected: queue + plan.Expected}
}

// computes returns the tokens that an upstream would compute for the work.
func (c Choice) computes(w Work) int64 {
	return w.PromptTokens - int64(c.HeldPieces+c.Restore.Pieces)*coltscache.PieceTokens
}

func (w Work) heldBy(id coltsidentity.Upstream) int {
	for _, h := range w.Holdings {
		if h.Upstream == id {
			return h.Pieces
		}
	}
	return 0
}

// closestToHome returns the option with the highest rank for the work's home.
func closestToHome(w Work, options []Choice) Choice {
	return slices.MaxFunc(options, func(a, b Choice) int {
		return compareRank(w.Home, a.Candidate.Announcement.ID, b.Candidate.Announcement.ID)
	})
}

// HomeOf returns the candidate that is the computed home of a prompt, the same
// one in every process that knows the same candidates.
func HomeOf(home coltscache.Piece, candidates []coltsfleet.Candidate) (coltsfleet.Candidate, bool) {
	if len(candidates) == 0 {
		return coltsfleet.Candidate{}, false
	}
	return slices.MaxFunc(candidates, func(a, b coltsfleet.Candidate) int {
		return compareRank(home, a.Announcement.ID, b.Announcement.ID)
	}), true
}

func compareRank(home coltscache.Piece, a, b coltsidentity.Upstream) int {
	return cmp.Compare(coltsshard.Rank(home[:], a), coltsshard.Rank(home[:], b))
}

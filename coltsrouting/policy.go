// Package coltsrouting chooses the upstream for a request.
package coltsrouting

// All policies are entries of one table. The simple ones are kept as baselines, so
// that every measurement can compare the default policy with them in the same run.

import (
	"cmp"
	"slices"
	"time"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// Request is the request for which an upstream is chosen.
type Request struct {
	// HomeKey is the key that determines the home upstream by rendezvous hashing.
	HomeKey coltscache.Piece
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int64
	// Holdings lists the upstreams that are believed to hold leading pieces.
	Holdings []coltscache.Holding
	// Sources are the cache stores from which pieces can be restored; if empty, all
	// pieces that an upstream lacks are recomputed.
	Sources []coltscache.RestoreSource
	// Tried lists the upstreams of earlier attempts; they are excluded.
	Tried []coltsidentity.Upstream
	// HomeOnly is set to choose the upstream by HomeKey alone, regardless of load, so
	// that two requests with different home keys seldom share an upstream.
	HomeOnly bool
}

// Choice is an upstream for a request, with the expected costs there.
type Choice struct {
	Candidate coltsfleet.Candidate
	// HeldPieces is the number of leading pieces that the upstream is believed to hold.
	HeldPieces int
	Restore    coltscache.RestorePlan
	// QueueWait is the expected wait in the upstream's queue.
	QueueWait time.Duration
	// Expected is the expected time to first token, queue wait included.
	Expected time.Duration
}

// Policy is an algorithm that chooses an upstream. Use New to create one.
type Policy struct {
	Name  string
	Usage string
	// choose returns one of the options; there is always at least one.
	choose func(r Request, options []Choice, now time.Time) Choice
}

// policyEntry is an entry of policyTable.
type policyEntry struct {
	name  string
	usage string
	// newChoose returns a choose function with its own state.
	newChoose func() func(r Request, options []Choice, now time.Time) Choice
}

// policyTable lists the policies, the default first.
var policyTable = []policyEntry{
	policyExpected,
	policyOutstanding,
	policyRoundRobin,
}

// Names returns the names of the policies, the default first.
func Names() []string {
	names := make([]string, 0, len(policyTable))
	for _, entry := range policyTable {
		names = append(names, entry.name)
	}
	return names
}

// New returns the policy with the given name, and reports whether there is one.
func New(name string) (*Policy, bool) {
	for _, entry := range policyTable {
		if entry.name == name {
			return &Policy{Name: entry.name, Usage: entry.usage, choose: entry.newChoose()}, true
		}
	}
	return nil, false
}

// Choose picks an upstream for the request. It returns false if there is none.
// Draining upstreams and those in Tried are never chosen; ejected ones are chosen
// only if there is no other.
func (p *Policy) Choose(r Request, candidates []coltsfleet.Candidate, now time.Time) (Choice, bool) {
	options := optionsOf(r, candidates, false)
	if len(options) == 0 {
		options = optionsOf(r, candidates, true)
	}
	if len(options) == 0 {
		return Choice{}, false
	}
	if r.HomeOnly {
		return highestRanked(r, options), true
	}
	return p.choose(r, options, now), true
}

// optionsOf returns an option for each candidate that may be chosen and whose ejected
// state is as given.
func optionsOf(r Request, candidates []coltsfleet.Candidate, ejected bool) []Choice {
	options := make([]Choice, 0, len(candidates))
	for _, c := range candidates {
		if c.Draining || c.Ejected != ejected {
			continue
		}
		if slices.Contains(r.Tried, c.Announcement.ID) {
			continue
		}
		options = append(options, r.optionOn(c))
	}
	return options
}

// optionOn estimates the costs of the request on a candidate.
func (r Request) optionOn(c coltsfleet.Candidate) Choice {
	held := r.heldBy(c.Announcement.ID)
	plan := coltscache.PlanRestore(coltscache.PlanInput{
		HeldPieces:       held,
		PromptTokens:     r.PromptTokens,
		PrefillPerSecond: c.PrefillPerSecond,
		Sources:          r.Sources,
	})
	queueWait := time.Duration(float64(c.QueuedTokens) / float64(c.PrefillPerSecond) * float64(time.Second))
	return Choice{Candidate: c, HeldPieces: held, Restore: plan, QueueWait: queueWait, Expected: queueWait + plan.Expected}
}

// computedTokens returns the number of prompt tokens that the upstream is expected
// to compute for the request.
func (c Choice) computedTokens(r Request) int64 {
	return r.PromptTokens - int64(c.HeldPieces+c.Restore.Pieces)*coltscache.PieceTokens
}

// heldBy returns how many leading pieces an upstream is believed to hold.
func (r Request) heldBy(id coltsidentity.Upstream) int {
	for _, h := range r.Holdings {
		if h.Upstream == id {
			return h.Pieces
		}
	}
	return 0
}

// highestRanked returns the option with the highest rendezvous rank for the
// request's home key.
func highestRanked(r Request, options []Choice) Choice {
	return slices.MaxFunc(options, func(a, b Choice) int {
		return compareRank(r.HomeKey, a.Candidate.Announcement.ID, b.Candidate.Announcement.ID)
	})
}

// HomeCandidate returns the candidate that is home to a key by rendezvous hashing. Every
// process that knows the same candidates gets the same one. It returns false if
// there are no candidates.
func HomeCandidate(home coltscache.Piece, candidates []coltsfleet.Candidate) (coltsfleet.Candidate, bool) {
	if len(candidates) == 0 {
		return coltsfleet.Candidate{}, false
	}
	return slices.MaxFunc(candidates, func(a, b coltsfleet.Candidate) int {
		return compareRank(home, a.Announcement.ID, b.Announcement.ID)
	}), true
}

// compareRank compares the rendezvous ranks of two upstreams for a home key.
func compareRank(home coltscache.Piece, a, b coltsidentity.Upstream) int {
	return cmp.Compare(coltsshard.RendezvousScore(home[:], a), coltsshard.RendezvousScore(home[:], b))
}

package coltscache

// A restore and the recompute of what follows it run side by side, so the time
// to first token is the later of both. Restoring everything is wrong on a busy
// link, and recomputing everything is wrong on an idle one; the best split is
// found by trying each, since a prompt has a few dozen pieces at most.

import (
	"net/netip"
	"time"

	"coltsfootstall/coltsidentity"
)

// RestorePlan says what a runner restores before it computes the rest.
type RestorePlan struct {
	Store coltsidentity.Upstream
	Addr  netip.AddrPort
	// From is the first piece that is expected to be restored, and Pieces how
	// many are; 0 for none.
	From   int
	Pieces int
	// UpTo is the piece before which the runner restores whatever it turns out
	// not to hold. It can lie behind From+Pieces, because what a runner holds is
	// only believed: the plan must also be good if it has evicted everything.
	UpTo int
	// Expected is the time until both restore and recompute have ended.
	Expected time.Duration
}

// RestoreSource is a store that holds a prompt's leading pieces.
type RestoreSource struct {
	Store coltsidentity.Upstream
	Addr  netip.AddrPort
	// Pieces is how many leading pieces it holds.
	Pieces int
	// Estimate gives the time that a restore of some pieces would take.
	Estimate func(pieces int) time.Duration
}

// PlanInput is what a plan depends on.
type PlanInput struct {
	// Held is how many leading pieces the runner holds already.
	Held int
	// PromptTokens is the length of the whole prompt.
	PromptTokens int64
	// PrefillPerSecond is the runner's rate in tokens a second.
	PrefillPerSecond int64
	Sources          []RestoreSource
}

// PlanRestore returns the plan that ends soonest, with the restore that would end
// soonest if the runner held nothing as what it falls back on.
func PlanRestore(in PlanInput) RestorePlan {
	plan := planFrom(in)
	if in.Held == 0 {
		return plan
	}
	in.Held = 0
	fallback := planFrom(in)
	if fallback.UpTo > plan.UpTo {
		plan.Store = fallback.Store
		plan.Addr = fallback.Addr
		plan.UpTo = fallback.UpTo
	}
	return plan
}

// planFrom plans for a runner that holds what it is believed to hold. Of plans
// that end alike the one with the shorter restore is taken, to spare the link.
func planFrom(in PlanInput) RestorePlan {
	best := RestorePlan{From: in.Held, Expected: in.recompute(in.Held)}
	for _, source := range in.Sources {
		for n := 1; in.Held+n <= source.Pieces; n++ {
			expected := max(source.Estimate(n), in.recompute(in.Held+n))
			if expected < best.Expected {
				best = RestorePlan{
					Store:    source.Store,
					Addr:     source.Addr,
					From:     in.Held,
					Pieces:   n,
					UpTo:     in.Held + n,
					Expected: expected,
				}
			}
		}
	}
	return best
}

// recompute returns the time to compute what follows the given pieces.
func (in PlanInput) recompute(pieces int) time.Duration {
	tokens := max(1, in.PromptTokens-int64(pieces)*PieceTokens)
	return time.Duration(float64(tokens) / float64(in.PrefillPerSecond) * float64(time.Second))
}

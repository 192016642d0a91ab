package coltscache

// A runner restores some pieces and computes the rest of the prompt in parallel, so
// the time to first token is the longer of the two times. With a busy link, restoring
// everything is slow; with an idle one, recomputing everything is slow. The best split
// is found by trying all of them, since a prompt has a few dozen pieces at most.

import (
	"net/netip"
	"time"

	"coltsfootstall/coltsidentity"
)

// RestorePlan describes the pieces that a runner restores from a cache store. The
// runner computes the rest of the prompt.
type RestorePlan struct {
	Store coltsidentity.Upstream
	Addr  netip.AddrPort
	// From is the index of the first piece that is expected to be restored.
	From int
	// Pieces is the number of pieces that are expected to be restored; zero means
	// none.
	Pieces int
	// UpTo is the index after the last piece that the runner may restore. Before it,
	// the runner restores each piece that it doesn't hold. UpTo can be greater than
	// From+Pieces, because what the runner holds is only a hint, and the plan must
	// also be good if the runner has evicted everything.
	UpTo int
	// Expected is the expected time until both the restore and the computation of the
	// rest have ended.
	Expected time.Duration
}

// RestoreSource is a cache store that holds leading pieces of a prompt.
type RestoreSource struct {
	Store coltsidentity.Upstream
	Addr  netip.AddrPort
	// Pieces is the number of leading pieces that the store holds.
	Pieces int
	// Estimate returns the expected duration of a restore of the given number of
	// pieces.
	Estimate func(pieces int) time.Duration
}

// PlanInput is the input of PlanRestore.
type PlanInput struct {
	// HeldPieces is the number of leading pieces that the runner is believed to hold.
	HeldPieces int
	// PromptTokens is the length of the whole prompt in tokens.
	PromptTokens int64
	// PrefillPerSecond is the runner's prefill rate in tokens per second.
	PrefillPerSecond int64
	Sources          []RestoreSource
}

// PlanRestore returns the plan with the shortest expected time. If the best plan for
// a runner that holds no pieces has a higher UpTo, the store, the address and UpTo are
// taken from that plan, as a fallback in case the runner has evicted its pieces.
func PlanRestore(in PlanInput) RestorePlan {
	plan := fastestPlan(in)
	if in.HeldPieces == 0 {
		return plan
	}
	in.HeldPieces = 0
	fallback := fastestPlan(in)
	if fallback.UpTo > plan.UpTo {
		plan.Store = fallback.Store
		plan.Addr = fallback.Addr
		plan.UpTo = fallback.UpTo
	}
	return plan
}

// fastestPlan returns the fastest plan if the runner holds exactly the first in.HeldPieces
// pieces. Of equally fast plans from a store it returns the one with the fewest restored
// pieces, to reduce the load on the link.
func fastestPlan(in PlanInput) RestorePlan {
	best := RestorePlan{From: in.HeldPieces, Expected: in.computeTime(in.HeldPieces)}
	for _, source := range in.Sources {
		for n := 1; in.HeldPieces+n <= source.Pieces; n++ {
			expected := max(source.Estimate(n), in.computeTime(in.HeldPieces+n))
			if expected < best.Expected {
				best = RestorePlan{
					Store:    source.Store,
					Addr:     source.Addr,
					From:     in.HeldPieces,
					Pieces:   n,
					UpTo:     in.HeldPieces + n,
					Expected: expected,
				}
			}
		}
	}
	return best
}

// computeTime returns the time to compute the rest of the prompt after the given
// number of leading pieces.
func (in PlanInput) computeTime(pieces int) time.Duration {
	tokens := max(1, in.PromptTokens-int64(pieces)*PieceTokens)
	return time.Duration(float64(tokens) / float64(in.PrefillPerSecond) * float64(time.Second))
}

package coltsrequest

// A life whose attempt goes well: taken, prefilled, progressed, finished; what it
// costs, and what of it is kept.

import (
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltscache"
	"coltsfootstall/coltsusage"
)

// Taken takes in that the upstream has taken the request, with the tokens that it
// says were waiting before it.
func (l *Life) Taken(queued int64, now time.Time) {
	l.cfg.Fleet.Queued(l.upstream(), queued, now)
}

// Prefill is what an upstream says when its prefill has ended.
type Prefill struct {
	// PromptTokens are all tokens of the prompt, Cached those that were not
	// computed, Restored those of them that came from a store.
	PromptTokens int64
	Cached       int64
	Restored     int64
	// RestoreTook is how long the restore took; zero if there was none.
	RestoreTook time.Duration
}

// Prefilled takes in that the attempt's first token has come.
func (l *Life) Prefilled(p Prefill, now time.Time) {
	if l.prefilled {
		return
	}
	l.prefilled = true
	l.outcome = coltsattempt.OutcomeRan
	l.cfg.Fleet.RecordFirstToken(l.upstream(), l.expectedCompute(), p.PromptTokens-p.Cached, l.sentAt, now)
	l.endRestore(int(p.Restored/coltscache.PieceTokens), p.RestoreTook)
	l.cfg.Directory.Record(l.pieces, l.upstream(), now)
	if l.delivered > 0 {
		return
	}
	l.tokens = coltsusage.Tokens{Computed: p.PromptTokens - p.Cached, Reused: p.Cached}
	if l.prompt.Stream {
		l.cfg.Observe(l.prompt, now.Sub(l.prompt.ArrivedAt), now)
	}
}

// endRestore learns from what a restore brought. Pieces that were expected and
// did not come are no longer believed to be in the store.
func (l *Life) endRestore(came int, took time.Duration) {
	plan := l.choice.Restore
	if plan.UpTo == 0 {
		return
	}
	if l.prefilled && came == 0 && plan.Pieces > 0 {
		l.cfg.Links.Stalled(plan.Store, plan.Pieces)
	} else {
		l.cfg.Links.End(plan.Store, plan.Pieces, came, took)
	}
	if l.prefilled && came < plan.Pieces {
		l.cfg.Directory.Remove(l.pieces[plan.From+came:], plan.Store)
		l.storeHeld = min(l.storeHeld, plan.From+came)
	}
}

// Progressed takes in that parts of the answer were passed on to the caller.
func (l *Life) Progressed(parts int64) {
	l.delivered += parts
}

// Finished takes in that the whole answer was passed on; generated is its length
// in tokens. The action is ActionDone.
func (l *Life) Finished(generated int64, now time.Time) Action {
	l.tokens.Generated = generated
	l.cfg.Quarantine.Cleared(l.fingerprint, now)
	l.cfg.Fleet.Succeeded(l.upstream())
	done := Done{Charge: l.charge(), Export: l.export(now)}
	l.leave(now)
	return Action{Kind: ActionDone, Done: done}
}

func (l *Life) charge() Charge {
	price := l.cfg.Document().ModelPrice(l.prompt.Model)
	prices := coltsusage.Prices{
		Computed:  price.ComputedMicros,
		Reused:    price.ReusedMicros,
		Generated: price.GeneratedMicros,
	}
	return Charge{
		Organisation: l.prompt.Organisation.ID,
		Model:        l.prompt.Model,
		Tokens:       l.tokens,
		Micros:       coltsusage.Cost(l.tokens, prices),
	}
}

// export says which pieces the home store lacks.
func (l *Life) export(now time.Time) Export {
	if !l.cfg.KeepCache || len(l.pieces) == 0 {
		return Export{}
	}
	store, found := l.homeStore(now)
	if !found || store.Draining || store.Ejected {
		return Export{}
	}
	held := max(l.storeHeld, l.believedOf(store.Announcement.ID, now))
	if held >= len(l.pieces) {
		return Export{}
	}
	// Restores have the link first: what is kept can wait for a later turn.
	lacking := len(l.pieces) - held
	if l.cfg.Links.Estimate(store.Announcement.ID)(lacking) > maxExportTime {
		return Export{}
	}
	l.cfg.Links.Begin(store.Announcement.ID, lacking)
	return Export{
		Runner:     l.upstream(),
		RunnerAddr: l.choice.Candidate.Announcement.Addr,
		Store:      store.Announcement.ID,
		StoreAddr:  store.Announcement.Addr,
		Pieces:     l.pieces[held:],
	}
}

// ExportDone takes in how many leading pieces of an export the store has taken, and
// when it was begun.
func (c *Coordinator) ExportDone(x Export, pieces int, begun, now time.Time) {
	pieces = min(pieces, len(x.Pieces))
	c.cfg.Links.End(x.Store, len(x.Pieces), pieces, now.Sub(begun))
	c.cfg.Directory.Record(x.Pieces[:pieces], x.Store, now)
}

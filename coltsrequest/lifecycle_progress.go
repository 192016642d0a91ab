package coltsrequest

// This file handles the events of a successful attempt, the charge for the request
// and the export of its pieces to a cache store.

import (
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltscache"
	"coltsfootstall/coltsusage"
)

// Accepted handles the upstream's acceptance of the request. queued is the number of
// tokens that the upstream reports as queued ahead of it.
func (l *Lifecycle) Accepted(queued int64, now time.Time) {
	l.cfg.Fleet.RecordQueue(l.upstream(), queued, now)
}

// PrefillResult is an upstream's report at the end of its prefill.
type PrefillResult struct {
	// PromptTokens is the number of tokens in the prompt.
	PromptTokens int64
	// Cached is the number of prompt tokens that were not computed, including the
	// restored ones.
	Cached int64
	// Restored is the number of prompt tokens that came from a cache store.
	Restored int64
	// RestoreDuration is the duration of the restore; zero if there was none.
	RestoreDuration time.Duration
}

// Prefilled handles the first token of the current attempt. Further calls for the
// same attempt have no effect.
func (l *Lifecycle) Prefilled(p PrefillResult, now time.Time) {
	if l.prefilled {
		return
	}
	l.prefilled = true
	l.outcome = coltsattempt.OutcomeRan
	l.cfg.Fleet.RecordFirstToken(l.upstream(), l.expectedComputeTokens(), p.PromptTokens-p.Cached, l.sentAt, now)
	l.endRestore(int(p.Restored/coltscache.PieceTokens), p.RestoreDuration)
	l.cfg.Directory.Record(l.pieces, l.upstream(), now)
	if l.deliveredParts > 0 {
		return
	}
	l.tokens = coltsusage.Tokens{Computed: p.PromptTokens - p.Cached, Reused: p.Cached}
	if l.prompt.Stream {
		l.cfg.ObserveFirstToken(l.prompt, now.Sub(l.prompt.ArrivedAt), now)
	}
}

// endRestore updates the link's estimate and the directory after a restore, or after
// an attempt that ended before its prefill. Once the prefill has ended, planned
// pieces that were not restored are removed from the store's directory entries.
func (l *Lifecycle) endRestore(restored int, elapsed time.Duration) {
	plan := l.choice.Restore
	if plan.UpTo == 0 {
		return
	}
	if l.prefilled && restored == 0 && plan.Pieces > 0 {
		l.cfg.Links.Stalled(plan.Store, plan.Pieces)
	} else {
		l.cfg.Links.End(plan.Store, plan.Pieces, restored, elapsed)
	}
	if l.prefilled && restored < plan.Pieces {
		l.cfg.Directory.Remove(l.pieces[plan.From+restored:], plan.Store)
		l.storeHeld = min(l.storeHeld, plan.From+restored)
	}
}

// PartsDelivered adds to the number of answer parts delivered to the caller.
func (l *Lifecycle) PartsDelivered(parts int64) {
	l.deliveredParts += parts
}

// Finished records that the whole answer was delivered; generated is its length in
// tokens. The kind of the returned action is ActionDone.
func (l *Lifecycle) Finished(generated int64, now time.Time) Action {
	l.tokens.Generated = generated
	if suspect, cleared := l.cfg.Quarantine.Clear(l.fingerprint, now); cleared {
		l.cfg.OnSuspect(suspect)
	}
	l.cfg.Fleet.RecordSuccess(l.upstream())
	done := Done{Charge: l.charge(), Export: l.export(now)}
	l.release(now)
	return Action{Kind: ActionDone, Done: done}
}

// charge returns the cost of the tokens so far at the model's current prices.
func (l *Lifecycle) charge() Charge {
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

// export returns an export of the pieces that the home store lacks, or an empty one
// if there is nothing to export or the link to the store is too busy.
func (l *Lifecycle) export(now time.Time) Export {
	if !l.cfg.KeepCache || len(l.pieces) == 0 {
		return Export{}
	}
	store, found := l.homeStore(now)
	if !found || store.Draining || store.Ejected {
		return Export{}
	}
	held := max(l.storeHeld, l.believedPieces(store.Announcement.ID, now))
	if held >= len(l.pieces) {
		return Export{}
	}
	// Restores have priority on the link; the pieces can be exported after a later
	// request of the conversation.
	missing := len(l.pieces) - held
	if l.cfg.Links.Estimate(store.Announcement.ID)(missing) > maxExportTime {
		return Export{}
	}
	l.cfg.Links.Begin(store.Announcement.ID, missing)
	return Export{
		Runner:     l.upstream(),
		RunnerAddr: l.choice.Candidate.Announcement.Addr,
		Store:      store.Announcement.ID,
		StoreAddr:  store.Announcement.Addr,
		Pieces:     l.pieces[held:],
	}
}

// ExportDone records the end of an export that began at startedAt. pieces is the number
// of leading pieces of the export that the store accepted.
func (c *Coordinator) ExportDone(x Export, pieces int, startedAt, now time.Time) {
	pieces = min(pieces, len(x.Pieces))
	c.cfg.Links.End(x.Store, len(x.Pieces), pieces, now.Sub(startedAt))
	c.cfg.Directory.Record(x.Pieces[:pieces], x.Store, now)
}

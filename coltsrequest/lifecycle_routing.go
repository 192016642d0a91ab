package coltsrequest

// This file chooses the upstream of an attempt: it looks up which upstreams hold
// the prompt's pieces, collects the candidates and calls the policy.

import (
	"time"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsrouting"
)

// lookup returns a lookup at the home store. It returns false if no lookup is
// needed, because the store is believed to hold all pieces, or none is possible.
func (l *Lifecycle) lookup(now time.Time) (Lookup, bool) {
	if !l.cfg.KeepCache || len(l.pieces) == 0 {
		return Lookup{}, false
	}
	store, found := l.homeStore(now)
	if !found {
		return Lookup{}, false
	}
	if l.believedPieces(store.Announcement.ID, now) == len(l.pieces) {
		return Lookup{}, false
	}
	return Lookup{
		Store:    store.Announcement.ID,
		Addr:     store.Announcement.Addr,
		Pieces:   l.pieces,
		Deadline: now.Add(lookupTimeout),
	}, true
}

// believedPieces returns how many leading pieces an upstream is believed to hold.
func (l *Lifecycle) believedPieces(id coltsidentity.Upstream, now time.Time) int {
	for _, h := range l.cfg.Directory.Locate(l.pieces, now) {
		if h.Upstream == id {
			return h.Pieces
		}
	}
	return 0
}

// homeStore returns the cache store to which the prompt's pieces are exported. Every
// entry that knows the same stores computes the same home store.
func (l *Lifecycle) homeStore(now time.Time) (coltsfleet.Candidate, bool) {
	stores := l.cfg.Fleet.Stores(l.cfg.Document(), now)
	return coltsrouting.HomeCandidate(l.home, stores)
}

// LookupDone handles the result of a lookup: the number of leading pieces that the
// home store holds. The action is a dispatch or a refusal.
func (l *Lifecycle) LookupDone(pieces int, now time.Time) Action {
	l.storeHeld = min(pieces, len(l.pieces))
	return l.dispatch(now)
}

// choose lets the policy choose a runner. For a request that is suspected of crashing
// upstreams, the fingerprint alone determines the runner, to keep it apart from other
// suspects.
func (l *Lifecycle) choose(now time.Time) (coltsrouting.Choice, bool) {
	modelVersion := coltsfleet.ModelVersion{Model: l.prompt.Model, Version: l.prompt.Version}
	candidates := l.cfg.Fleet.Runners(modelVersion, l.cfg.Document(), now)
	home := l.home
	suspected := l.cfg.Quarantine.Suspected(l.fingerprint, now)
	if suspected {
		home = coltscache.Piece(l.fingerprint[:len(home)])
	}
	return l.cfg.Policy.Choose(coltsrouting.Request{
		HomeKey:      home,
		HomeOnly:     suspected,
		PromptTokens: l.prompt.Tokens(),
		Holdings:     l.cfg.Directory.Locate(l.pieces, now),
		Sources:      l.sources(now),
		Tried:        l.tried,
	}, candidates, now)
}

// sources returns the stores from which leading pieces can be restored.
func (l *Lifecycle) sources(now time.Time) []coltscache.RestoreSource {
	if !l.cfg.KeepCache || len(l.pieces) == 0 {
		return nil
	}
	home, found := l.homeStore(now)
	var sources []coltscache.RestoreSource
	for _, store := range l.cfg.Fleet.Stores(l.cfg.Document(), now) {
		held := l.believedPieces(store.Announcement.ID, now)
		if found && store.Announcement.ID == home.Announcement.ID {
			held = max(held, l.storeHeld)
		}
		if held == 0 || store.Ejected {
			continue
		}
		sources = append(sources, coltscache.RestoreSource{
			Store:    store.Announcement.ID,
			Addr:     store.Announcement.Addr,
			Pieces:   held,
			Estimate: l.cfg.Links.Estimate(store.Announcement.ID),
		})
	}
	return sources
}

package coltsrequest

// Where an attempt goes: what is known of the prompt's pieces, who may take it, and
// the choice among them.

import (
	"time"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsrouting"
)

// lookup returns a question to the home store, if one is worth asking.
func (l *Life) lookup(now time.Time) (Lookup, bool) {
	if !l.cfg.KeepCache || len(l.pieces) == 0 {
		return Lookup{}, false
	}
	store, found := l.homeStore(now)
	if !found {
		return Lookup{}, false
	}
	if l.believedOf(store.Announcement.ID, now) == len(l.pieces) {
		return Lookup{}, false
	}
	return Lookup{
		Store:    store.Announcement.ID,
		Addr:     store.Announcement.Addr,
		Pieces:   l.pieces,
		AnswerBy: now.Add(lookupTimeout),
	}, true
}

// believedOf returns how many leading pieces an upstream is believed to hold.
func (l *Life) believedOf(id coltsidentity.Upstream, now time.Time) int {
	for _, h := range l.cfg.Directory.Locate(l.pieces, now) {
		if h.Upstream == id {
			return h.Pieces
		}
	}
	return 0
}

// homeStore returns the store that keeps the prompt's pieces, the same one in
// every entry.
func (l *Life) homeStore(now time.Time) (coltsfleet.Candidate, bool) {
	stores := l.cfg.Fleet.Stores(l.cfg.Document(), now)
	return coltsrouting.HomeOf(l.home, stores)
}

// Located takes in how many leading pieces the store holds. The action is a
// dispatch or a refusal.
func (l *Life) Located(pieces int, now time.Time) Action {
	l.storeHeld = min(pieces, len(l.pieces))
	return l.dispatch(now)
}

func (l *Life) choose(now time.Time) (coltsrouting.Choice, bool) {
	serving := coltsfleet.ModelVersion{Model: l.prompt.Model, Version: l.prompt.Version}
	candidates := l.cfg.Fleet.Runners(serving, l.cfg.Document(), now)
	home := l.home
	apart := l.cfg.Quarantine.Suspected(l.fingerprint, now)
	if apart {
		home = coltscache.Piece(l.fingerprint[:len(home)])
	}
	return l.cfg.Policy.Choose(coltsrouting.Work{
		Home:         home,
		Apart:        apart,
		PromptTokens: l.prompt.Tokens(),
		Holdings:     l.cfg.Directory.Locate(l.pieces, now),
		Sources:      l.sources(now),
		Tried:        l.tried,
	}, candidates, now)
}

// sources returns the stores that hold leading pieces.
func (l *Life) sources(now time.Time) []coltscache.Source {
	if !l.cfg.KeepCache || len(l.pieces) == 0 {
		return nil
	}
	home, found := l.homeStore(now)
	var sources []coltscache.Source
	for _, store := range l.cfg.Fleet.Stores(l.cfg.Document(), now) {
		held := l.believedOf(store.Announcement.ID, now)
		if found && store.Announcement.ID == home.Announcement.ID {
			held = max(held, l.storeHeld)
		}
		if held == 0 || store.Ejected {
			continue
		}
		sources = append(sources, coltscache.Source{
			Store:    store.Announcement.ID,
			Addr:     store.Announcement.Addr,
			Pieces:   held,
			Estimate: l.cfg.Links.Estimate(store.Announcement.ID),
		})
	}
	return sources
}

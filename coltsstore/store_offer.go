package coltsstore

// A store that restarts loses its parts, and other instances may have them saved again at once. An
// instance that was frozen or cut off meanwhile still lists them, and a request that it sends would
// take parts that are being written. So the offer of a store's parts expires, by the stores' clock,
// which upstreams check, and a store takes no parts before all offers of its earlier boots have
// expired.

import (
	"cmp"
	"slices"
	"time"

	"coltsfootstall/coltsidentity"
)

// OfferValidity is how long after a store's answer its parts may be fetched. It exceeds
// confirmationTTL by the time that a request may wait at its upstream before it fetches.
const OfferValidity = 6 * time.Second

// Listing is what a store holds.
type Listing struct {
	// BootEpoch identifies the store's process.
	BootEpoch uint64
	// Parts are the complete parts with their sizes in tokens.
	Parts map[Key]int
	// AnsweredAt is the time on the store's clock; zero if it gives none.
	AnsweredAt time.Time
}

// Offer is what the leader tells about a store that answers.
type Offer struct {
	Store     coltsidentity.Service
	BootEpoch uint64
	// FetchUntil is the time on the store's clock at which fetches of its parts must have ended; zero
	// if the store gives no time.
	FetchUntil time.Time
	// TakesParts is set if parts may be saved in the store.
	TakesParts bool
}

// boot is a store's process, as far as it is known.
type boot struct {
	epoch uint64
	// savesFrom is when all offers of the store's earlier boots have expired.
	savesFrom time.Time
}

// recordBootLocked records the boot of a store that was just listed. A boot that is not the one known
// may follow others whose parts were offered up to now, by this leader or by an earlier one.
func (c *Catalogue) recordBootLocked(store coltsidentity.Service, s *storeState, epoch uint64, now time.Time) {
	known, exists := c.boots[store]
	switch {
	case exists && known.epoch == epoch:
	case !exists && s.neverOffered:
		c.boots[store] = boot{epoch: epoch}
	default:
		offeredUntil := now
		if !s.withdrawnAt.IsZero() {
			offeredUntil = s.withdrawnAt
		}
		savesFrom := offeredUntil.Add(OfferValidity)
		if known.savesFrom.After(savesFrom) {
			savesFrom = known.savesFrom
		}
		c.boots[store] = boot{epoch: epoch, savesFrom: savesFrom}
	}
	s.withdrawnAt, s.neverOffered = time.Time{}, false
}

// ConfirmAnswer records the time on a store's clock in its newest answer.
func (c *Catalogue) ConfirmAnswer(store coltsidentity.Service, answeredAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeLocked(store).answeredAt = answeredAt
}

// Offers returns the stores that have been listed and answer, sorted by name.
func (c *Catalogue) Offers(now time.Time) []Offer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var offers []Offer
	for store, s := range c.stores {
		if s.status != statusListed {
			continue
		}
		b := c.boots[store]
		o := Offer{Store: store, BootEpoch: b.epoch, TakesParts: !now.Before(b.savesFrom)}
		if !s.answeredAt.IsZero() {
			o.FetchUntil = s.answeredAt.Add(OfferValidity)
		}
		offers = append(offers, o)
	}
	slices.SortFunc(offers, func(a, b Offer) int { return cmp.Compare(a.Store, b.Store) })
	return offers
}

// Mirror records the boots of the stores that another leader offers. Should this instance lead later
// and find the same boot, no earlier one can have been offered since.
func (c *Catalogue) Mirror(offers []Offer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range offers {
		if o.TakesParts {
			c.boots[o.Store] = boot{epoch: o.BootEpoch}
		}
	}
}

package coltscontrol

// The leader follows the events of every KV cache store and maintains the catalogue of their contents.
// Only the leader frees parts. A store that has restarted, or whose events have a gap, is listed again.

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsloop"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltsweights"
)

const (
	// storesPeriod is how often the leader compares the stores that it follows with the route table.
	storesPeriod = 250 * time.Millisecond
	// eventsWait is how long a store may hold a call for events before it answers;
	// eventsTimeout is the timeout of one call to a store.
	eventsWait    = 800 * time.Millisecond
	eventsTimeout = 1500 * time.Millisecond
	// inspectPeriod is how often a store is listed to find incomplete parts, whose saving was
	// aborted. It is long because a listing blocks the store's work for a moment.
	inspectPeriod = 20 * time.Second
	// storeRetryDelay is the pause after a failed call to a store.
	storeRetryDelay = 200 * time.Millisecond
	// scopeGrace is how long parts of the previous weights version are still fetched after a new
	// version was named, because runners load it one after another.
	scopeGrace = 8 * time.Second
	// freeValidity is how long an order to free parts is valid after the leader began to confirm its
	// leadership. An order that is delayed for longer could arrive when another leader offers the
	// parts again, and no other leader is elected sooner.
	freeValidity = electionTimeout
)

// StorePart is a part that a store holds, with its length in tokens.
type StorePart struct {
	Key    coltsstore.Key
	Tokens int
}

// StoreUpdate is a store's answer to a call for a listing or for events.
type StoreUpdate struct {
	// BootEpoch identifies the store's process: it differs after a restart.
	BootEpoch uint64
	// NextEvent is the position from which the next call for events continues.
	NextEvent uint64
	// EventsLost is set if events are missing.
	EventsLost bool
	// Clock is the time on the store's own clock when it answered; zero if it gave none.
	Clock time.Time
	// Unreadable is the number of rows that could not be decoded. They are left out.
	Unreadable int
	// Added are the parts that the store holds, in a listing, or has added since the last answer.
	Added []StorePart
	// Removed are the keys of the parts that the store has removed.
	Removed []coltsstore.Key
	// Partial are the parts of which the store holds only the beginning. They are set only in
	// a listing.
	Partial []coltsstore.Partial
}

// Stores holds the functions that call KV cache stores.
type Stores struct {
	// List returns everything that a store holds.
	List func(ctx context.Context, store netip.AddrPort) (StoreUpdate, error)
	// Events returns the changes since an earlier answer's NextEvent, waiting up to wait if there
	// are none yet.
	Events func(ctx context.Context, store netip.AddrPort, since uint64, wait time.Duration) (StoreUpdate, error)
	// Free frees parts unless the store has restarted or the order's deadline has passed.
	Free func(ctx context.Context, store netip.AddrPort, order FreeOrder) error
}

// FreeOrder is an order to a store to free parts.
type FreeOrder struct {
	// BootEpoch is that of the store's process that holds the parts.
	BootEpoch uint64
	Keys      []coltsstore.Key
	// Deadline is when the order expires, by the store's own clock; zero for never.
	Deadline time.Time
}

// followStores follows the managed stores of the route table while this instance leads, until ctx ends.
func (c *Control) followStores(ctx context.Context) {
	var followers sync.WaitGroup
	defer followers.Wait()
	followed := map[coltsidentity.Service]context.CancelFunc{}
	defer func() {
		for _, cancel := range followed {
			cancel()
		}
	}()
	ticker := time.NewTicker(storesPeriod)
	defer ticker.Stop()
	for {
		leaderChanged := c.leaderChanged.Channel()
		c.updateFollowers(ctx, followed, &followers)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-leaderChanged:
		}
	}
}

// updateFollowers starts and ends followers so that there is one for each managed store while this
// instance leads, and none otherwise.
func (c *Control) updateFollowers(
	ctx context.Context, followed map[coltsidentity.Service]context.CancelFunc, followers *sync.WaitGroup,
) {
	wanted, known := c.managedStores(ctx)
	for name, cancel := range followed {
		if _, ok := wanted[name]; !ok {
			cancel()
			delete(followed, name)
		}
	}
	if !known {
		c.catalogue.Abandon()
		return
	}
	capacities := make(map[coltsidentity.Service]int, len(wanted))
	for name, store := range wanted {
		capacities[name] = store.CacheTokens
	}
	c.catalogue.Follow(capacities)
	for name, store := range wanted {
		if _, ok := followed[name]; ok {
			continue
		}
		followCtx, cancel := context.WithCancel(ctx)
		followed[name] = cancel
		f := &storeFollower{c: c, name: name, store: store}
		followers.Go(func() { f.run(followCtx) })
	}
}

// managedStores returns the managed stores of the current route table, none while there is no table,
// and whether they are known, which is so only while this instance leads.
func (c *Control) managedStores(ctx context.Context) (map[coltsidentity.Service]coltsroute.Store, bool) {
	encoded := c.routes.Load()
	if !c.driver.view.Load().isLeader {
		return nil, false
	}
	if encoded.Version == 0 {
		// An instance that has just been elected may not have applied the table yet.
		ctx, cancel := context.WithTimeout(ctx, storesPeriod)
		defer cancel()
		err := c.driver.barrier(ctx)
		return nil, err == nil && c.routes.Load().Version == 0
	}
	summary, err := c.summarise(*encoded)
	return summary.stores, err == nil
}

// storeFollower follows the events of one store.
type storeFollower struct {
	c     *Control
	name  coltsidentity.Service
	store coltsroute.Store
	// bootEpoch and nextEvent are those of the store's last answer. listed is false until the store
	// has been listed, and again after an error or a gap.
	bootEpoch uint64
	nextEvent uint64
	listed    bool
	// unreadable is set while the store's answers are not HTTP/1.1.
	unreadable bool
	// nextInspection is when the store is next listed to find incomplete parts.
	nextInspection time.Time
	// clock is the time on the store's clock in its last answer, clockReadAt when that answer was
	// received. clock is zero if the store gives no time.
	clock       time.Time
	clockReadAt time.Time
}

// run follows the store until ctx ends.
func (f *storeFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.follow(ctx)
	}
}

// follow polls the store once and maintains its content. An unexpected error counts as a failed poll.
func (f *storeFollower) follow(ctx context.Context) {
	defer func() {
		f.c.log.HandlePanic(recover(), coltslog.Fields{"store": f.name}, func() {
			f.c.CountPanic()
			f.handleFailure(ctx, errors.New("an unexpected error"))
		})
	}()
	if err := f.poll(ctx); err != nil {
		f.handleFailure(ctx, err)
		return
	}
	f.unreadable = false
	f.retire(ctx)
	f.inspect(ctx)
}

// poll makes one call to the store: for a listing if one is needed, otherwise for events.
func (f *storeFollower) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	if !f.listed {
		update, err := f.c.cfg.Stores.List(ctx, f.store.Addr)
		if err != nil {
			return err
		}
		f.clock, f.clockReadAt = update.Clock, f.c.cfg.Now()
		f.logUnreadable(update)
		held := make(map[coltsstore.Key]int, len(update.Added))
		for _, part := range update.Added {
			held[part.Key] = part.Tokens
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f.c.catalogue.SetListed(f.name, coltsstore.Listing{
			BootEpoch: update.BootEpoch, Parts: held, AnsweredAt: update.Clock,
		}, f.c.cfg.Now())
		f.listed, f.bootEpoch, f.nextEvent = true, update.BootEpoch, update.NextEvent
		f.c.catalogue.AbortedParts(f.name, update.Partial, f.c.cfg.Now())
		f.nextInspection = f.c.cfg.Now().Add(inspectPeriod)
		f.c.log.Info("A store's contents were listed.", coltslog.Fields{
			"store": f.name, "boot": update.BootEpoch, "parts": len(update.Added),
		})
		return nil
	}
	update, err := f.c.cfg.Stores.Events(ctx, f.store.Addr, f.nextEvent, eventsWait)
	if err != nil {
		return err
	}
	f.clock, f.clockReadAt = update.Clock, f.c.cfg.Now()
	f.logUnreadable(update)
	if update.BootEpoch != f.bootEpoch || update.EventsLost {
		f.listed = false
		f.c.log.Warn("A store restarted or lost events; listing it again.", coltslog.Fields{
			"store": f.name, "boot": update.BootEpoch, "boot-before": f.bootEpoch, "lost": update.EventsLost,
		})
		if update.BootEpoch != f.bootEpoch {
			f.c.catalogue.Reset(f.name, f.c.cfg.Now())
		}
		return nil
	}
	f.nextEvent = update.NextEvent
	f.c.catalogue.ConfirmAnswer(f.name, update.Clock)
	f.apply(update)
	return nil
}

func (f *storeFollower) logUnreadable(update StoreUpdate) {
	if update.Unreadable > 0 {
		f.c.log.Warn("Rows of a store's answer could not be read.", coltslog.Fields{"store": f.name, "rows": update.Unreadable})
	}
}

// freeDeadline returns when an order that is given now expires, by the store's clock. If the store's
// answer was delayed or this process was paused since, the order expires sooner.
func (f *storeFollower) freeDeadline(now time.Time) time.Time {
	if f.clock.IsZero() {
		return time.Time{}
	}
	return f.clock.Add(now.Sub(f.clockReadAt) + freeValidity)
}

func (f *storeFollower) apply(update StoreUpdate) {
	now := f.c.cfg.Now()
	for _, part := range update.Added {
		f.c.catalogue.Add(f.name, part.Key, part.Tokens, now)
	}
	for _, key := range update.Removed {
		f.c.catalogue.Remove(f.name, key)
	}
}

// handleFailure removes the contents of a store that did not answer from the catalogue, because a
// runner waits long for a fetch from a dead store. Then it pauses.
func (f *storeFollower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	unreadable := f.c.countUnreadable(err)
	if f.listed || unreadable && !f.unreadable {
		f.c.log.Warn("A store did not answer.", coltslog.Fields{"store": f.name, "address": f.store.Addr, "error": err})
	}
	f.listed, f.unreadable = false, unreadable
	f.c.catalogue.MarkFailed(f.name, f.c.cfg.Now())
	coltsloop.Sleep(ctx, storeRetryDelay)
}

// retire retires parts when the store is too full or they are no longer wanted, and frees the parts
// whose retirement delay has passed.
func (f *storeFollower) retire(ctx context.Context) {
	now := f.c.cfg.Now()
	if n := f.c.catalogue.Retire(f.name, f.c.scopeFilter(now), now); n > 0 {
		f.c.log.Info("Parts of a store were retired.", coltslog.Fields{
			"store": f.name, "parts": n, "used": f.c.catalogue.UsedTokens(f.name), "capacity": f.store.CacheTokens,
		})
	}
	f.free(ctx, f.c.catalogue.Freeable(f.name, now), "retired")
}

// inspect lists the store once in each inspectPeriod and frees the incomplete parts whose saving was
// aborted.
func (f *storeFollower) inspect(ctx context.Context) {
	now := f.c.cfg.Now()
	if !f.listed || now.Before(f.nextInspection) || !f.c.driver.view.Load().isLeader {
		return
	}
	f.nextInspection = now.Add(inspectPeriod)
	listCtx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	update, err := f.c.cfg.Stores.List(listCtx, f.store.Addr)
	f.c.countUnreadable(err)
	if err != nil || update.BootEpoch != f.bootEpoch {
		f.c.log.Warn("A store could not be checked for incomplete parts.", coltslog.Fields{
			"store": f.name, "boot": update.BootEpoch, "error": err,
		})
		return
	}
	f.free(ctx, f.c.catalogue.AbortedParts(f.name, update.Partial, now), "broken off")
}

// free frees parts if a quorum confirms that this instance leads. The reason is logged.
func (f *storeFollower) free(ctx context.Context, keys []coltsstore.Key, reason string) {
	if len(keys) == 0 || !f.c.driver.view.Load().isLeader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	fields := coltslog.Fields{"store": f.name, "parts": len(keys), "reason": reason}
	order := FreeOrder{BootEpoch: f.bootEpoch, Keys: keys, Deadline: f.freeDeadline(f.c.cfg.Now())}
	if err := f.c.driver.barrier(ctx); err != nil {
		fields["error"] = err
		f.c.log.Info("Parts of a store were not freed: leadership is not confirmed.", fields)
		return
	}
	if err := f.c.cfg.Stores.Free(ctx, f.store.Addr, order); err != nil {
		f.c.countUnreadable(err)
		fields["error"] = err
		f.c.log.Warn("Parts of a store could not be freed.", fields)
		f.listed = false
		return
	}
	for _, key := range keys {
		f.c.catalogue.Remove(f.name, key)
	}
	f.c.log.Info("Parts of a store were freed.", fields)
}

// scopeFilter returns a function that reports whether the parts of a cache scope may still be fetched.
// Those in the common scopes of earlier generations may not: an organisation that is isolated now may
// have made them.
func (c *Control) scopeFilter(now time.Time) func(scope string) bool {
	generation, hasWeights := c.routes.Load().CacheGeneration, c.weightsFilter(now)
	return func(text string) bool {
		scope, valid := coltsforward.ParseCacheScope(text)
		if !valid {
			return hasWeights(0)
		}
		return hasWeights(scope.Weights) && (scope.Private || scope.Generation >= generation)
	}
}

// weightsFilter returns a function that reports whether a weights version is one of the named ones. It
// reports true for all while none is named or one was named less than scopeGrace ago.
func (c *Control) weightsFilter(now time.Time) func(n coltsweights.Number) bool {
	named, _ := c.machine.Weights.Newest()
	isRecent := func(n coltsweights.NamedVersion) bool { return now.Before(n.NamedAt.Add(scopeGrace)) }
	if len(named) == 0 || slices.ContainsFunc(named, isRecent) {
		return func(coltsweights.Number) bool { return true }
	}
	return func(number coltsweights.Number) bool {
		return slices.ContainsFunc(named, func(n coltsweights.NamedVersion) bool { return n.Number == number })
	}
}

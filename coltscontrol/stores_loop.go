package coltscontrol

// The leader follows every store of kept cache by its events and keeps the catalogue. It
// alone has parts freed. A store that starts anew, or whose events have a gap, is listed
// again.

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"time"

	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsloop"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstore"
)

const (
	// storesPeriod is how often the leader looks for stores that it does not follow.
	storesPeriod = 250 * time.Millisecond
	// eventsWait is how long a question for events is kept waiting, eventsTimeout how
	// long its answer may take.
	eventsWait    = 800 * time.Millisecond
	eventsTimeout = 1500 * time.Millisecond
	// inspectPeriod is how often a store is listed for parts whose saving broke off: a
	// list holds up the store's work for a moment.
	inspectPeriod = 20 * time.Second
	// storePause is the pause after a store did not answer.
	storePause = 200 * time.Millisecond
	// scopeGrace is how long after a weight version was named parts of the one before
	// are still fetched: runners change one after another.
	scopeGrace = 8 * time.Second
)

// StorePart is a part that a store holds.
type StorePart struct {
	Key    coltsstore.Key
	Tokens int
}

// StoreNews is what a store says of itself.
type StoreNews struct {
	// Boot tells the processes of a store apart.
	Boot uint64
	// Next is where the next question for events goes on.
	Next uint64
	// Lost says that events are missing.
	Lost  bool
	Added []StorePart
	// Gone are the parts that it holds no longer.
	Gone []coltsstore.Key
	// Partial are the parts of which it holds only the beginning; only a list has them.
	Partial []coltsstore.Partial
}

// Stores speaks to stores of kept cache.
type Stores struct {
	// List lists all that a store holds whole.
	List func(ctx context.Context, store netip.AddrPort) (StoreNews, error)
	// Events returns what has changed since an earlier answer, at once or after a wait.
	Events func(ctx context.Context, store netip.AddrPort, since uint64, wait time.Duration) (StoreNews, error)
	// Free frees parts if the store's process is still the one of boot.
	Free func(ctx context.Context, store netip.AddrPort, boot uint64, keys []coltsstore.Key) error
}

// keepStores follows the stores that the route table names, while this instance leads.
func (c *Control) keepStores(ctx context.Context) {
	var followers sync.WaitGroup
	defer followers.Wait()
	followed := map[coltsidentity.Service]context.CancelFunc{}
	defer func() {
		for _, cancel := range followed {
			cancel()
		}
	}()
	var table storeTable
	coltsloop.Every(ctx, storesPeriod, func() {
		wanted := c.stores(&table)
		for name, cancel := range followed {
			if _, still := wanted[name]; !still {
				cancel()
				delete(followed, name)
				c.catalogue.Reset(name)
			}
		}
		for name, store := range wanted {
			if _, already := followed[name]; already {
				continue
			}
			followCtx, cancel := context.WithCancel(ctx)
			followed[name] = cancel
			f := &storeFollower{c: c, name: name, store: store}
			followers.Go(func() { f.run(followCtx) })
		}
	})
}

// storeTable is the managed stores of the route table that was read last.
type storeTable struct {
	version coltsroute.Version
	stores  map[coltsidentity.Service]coltsroute.Store
}

// stores returns the managed stores of the route table; none while another leads. A table
// is read once.
func (c *Control) stores(t *storeTable) map[coltsidentity.Service]coltsroute.Store {
	if !c.driver.view.Load().leads {
		return nil
	}
	text := c.routes.Load()
	if text.Version == t.version {
		return t.stores
	}
	*t = storeTable{version: text.Version, stores: map[coltsidentity.Service]coltsroute.Store{}}
	table, err := c.cfg.DecodeTable(text.Source)
	if err != nil {
		c.log.Error("The route table can't be read.", coltslog.Fields{"version": text.Version, "error": err})
		return nil
	}
	for _, s := range table.Services {
		if s.Store != nil && s.Store.Managed {
			t.stores[s.Name] = *s.Store
		}
	}
	return t.stores
}

// storeFollower follows one store.
type storeFollower struct {
	c      *Control
	name   coltsidentity.Service
	store  coltsroute.Store
	boot   uint64
	next   uint64
	listed bool
	// inspectAt is when the store is next listed for parts that broke off.
	inspectAt time.Time
}

// run follows the store until ctx ends.
func (f *storeFollower) run(ctx context.Context) {
	f.c.catalogue.Open(f.name, f.store.CacheTokens)
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.lost(ctx, err)
			continue
		}
		f.retire(ctx)
		f.inspect(ctx)
	}
}

// step asks the store once.
func (f *storeFollower) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	if !f.listed {
		news, err := f.c.cfg.Stores.List(ctx, f.store.Addr)
		if err != nil {
			return err
		}
		f.c.catalogue.Reset(f.name)
		f.listed, f.boot, f.next = true, news.Boot, news.Next
		f.take(news)
		f.c.catalogue.BrokenOff(f.name, news.Partial, f.c.cfg.Now())
		f.inspectAt = f.c.cfg.Now().Add(inspectPeriod)
		f.c.log.Info("A store is listed.", coltslog.Fields{"store": f.name, "boot": news.Boot, "parts": len(news.Added)})
		return nil
	}
	news, err := f.c.cfg.Stores.Events(ctx, f.store.Addr, f.next, eventsWait)
	if err != nil {
		return err
	}
	if news.Boot != f.boot || news.Lost {
		f.listed = false
		f.c.log.Warn("A store's events have a gap.", coltslog.Fields{
			"store": f.name, "boot": news.Boot, "boot-before": f.boot, "lost": news.Lost,
		})
		if news.Boot != f.boot {
			f.c.catalogue.Reset(f.name)
		}
		return nil
	}
	f.next = news.Next
	f.take(news)
	return nil
}

func (f *storeFollower) take(news StoreNews) {
	now := f.c.cfg.Now()
	for _, part := range news.Added {
		f.c.catalogue.Add(f.name, part.Key, part.Tokens, now)
	}
	for _, key := range news.Gone {
		f.c.catalogue.Remove(f.name, key)
	}
}

// lost takes in that the store did not answer. What it held is not offered meanwhile: a
// fetch from a dead store costs its runner a long wait.
func (f *storeFollower) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.listed {
		f.c.log.Warn("A store was lost.", coltslog.Fields{"store": f.name, "address": f.store.Addr, "error": err})
		f.c.catalogue.Reset(f.name)
		f.listed = false
	}
	coltsloop.Sleep(ctx, storePause)
}

// retire has parts give way, and frees those whose time has come.
func (f *storeFollower) retire(ctx context.Context) {
	now := f.c.cfg.Now()
	if n := f.c.catalogue.Retire(f.name, f.c.scopeWanted(now), now); n > 0 {
		f.c.log.Info("Parts of a store are retired.", coltslog.Fields{
			"store": f.name, "parts": n, "used": f.c.catalogue.Used(f.name), "capacity": f.store.CacheTokens,
		})
	}
	f.free(ctx, f.c.catalogue.Due(f.name, now), "retired")
}

// inspect lists the store now and then and frees the parts whose saving broke off.
func (f *storeFollower) inspect(ctx context.Context) {
	now := f.c.cfg.Now()
	if !f.listed || now.Before(f.inspectAt) || !f.c.driver.view.Load().leads {
		return
	}
	f.inspectAt = now.Add(inspectPeriod)
	listCtx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	news, err := f.c.cfg.Stores.List(listCtx, f.store.Addr)
	if err != nil || news.Boot != f.boot {
		f.c.log.Warn("A store could not be inspected.", coltslog.Fields{"store": f.name, "boot": news.Boot, "error": err})
		return
	}
	f.free(ctx, f.c.catalogue.BrokenOff(f.name, news.Partial, now), "broken off")
}

// free frees parts for a reason, if a quorum confirms that this instance leads.
func (f *storeFollower) free(ctx context.Context, keys []coltsstore.Key, reason string) {
	if len(keys) == 0 || !f.c.driver.view.Load().leads {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	fields := coltslog.Fields{"store": f.name, "parts": len(keys), "reason": reason}
	if err := f.c.driver.barrier(ctx); err != nil {
		fields["error"] = err
		f.c.log.Info("Parts of a store are not freed: the lead is not confirmed.", fields)
		return
	}
	if err := f.c.cfg.Stores.Free(ctx, f.store.Addr, f.boot, keys); err != nil {
		fields["error"] = err
		f.c.log.Warn("Parts of a store could not be freed.", fields)
		f.listed = false
		return
	}
	for _, key := range keys {
		f.c.catalogue.Remove(f.name, key)
	}
	f.c.log.Info("Parts of a store are freed.", fields)
}

// scopeWanted says which scopes may still be asked for: those of the named versions, and
// for a while of the ones before.
func (c *Control) scopeWanted(now time.Time) func(scope string) bool {
	named, _ := c.machine.Weights.Newest()
	if len(named) == 0 {
		return func(string) bool { return true }
	}
	var current []string
	for _, n := range named {
		if now.Before(n.NamedAt.Add(scopeGrace)) {
			return func(string) bool { return true }
		}
		current = append(current, coltsforward.CacheScope(n.Number, coltsroute.Organisation{}))
	}
	return func(scope string) bool {
		version, _, _ := strings.Cut(scope, "/")
		for _, c := range current {
			if version == c {
				return true
			}
		}
		return false
	}
}

package coltsgateway

// Which parts of a prompt move between stores and the runner that was chosen.

import (
	"net/netip"

	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsstore"
)

// planMoves decides which parts of the prompt are fetched from stores and which are saved
// there.
func (f *forwarding) planMoves(s *Sending) {
	wanted := f.life.Wanted(s.CacheScope)
	if len(wanted) == 0 || !f.g.settings.KeepCache {
		return
	}
	f.plan = f.g.stores.Plan(wanted, f.table.Stores(), f.g.now())
	s.Fetch = f.storeAddrs(f.plan.Fetch)
	s.Save = f.storeAddrs(f.plan.Save)
}

// storeAddrs returns the addresses of transfers, one for each part of the prompt; nil if
// there is no transfer.
func (f *forwarding) storeAddrs(moves []coltsstore.Move) []netip.AddrPort {
	var addrs []netip.AddrPort
	for i, move := range moves {
		service, known := f.table.Service(move.Store)
		if !known || service.Store == nil {
			continue
		}
		if addrs == nil {
			addrs = make([]netip.AddrPort, len(f.life.Asked.Parts))
		}
		addrs[i] = service.Store.Addr
	}
	return addrs
}

// cacheScope keeps kept cache apart by weight version and isolated organisation.
func (f *forwarding) cacheScope() string {
	return coltsforward.CacheScope(f.choice.WeightsVersion(f.life.Asked.Model), f.life.Organisation)
}

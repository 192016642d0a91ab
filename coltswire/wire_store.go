package coltswire

// This file has the messages about the content of cache stores and the load of
// upstreams, which gateways and control instances exchange.

import (
	"time"

	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltswire/coltspb"
)

// EncodeStoreChanges returns the protobuf messages for changes of cache stores' content.
func EncodeStoreChanges(changes []coltsstore.Change) []*coltspb.StoreChange {
	return convert(changes, func(c coltsstore.Change) *coltspb.StoreChange {
		return &coltspb.StoreChange{
			Store: string(c.Store), Scope: c.Key.Scope, Part: c.Key.Part, Tokens: int64(c.FetchableTokens), Room: int64(c.OccupiedTokens),
		}
	})
}

// DecodeStoreChanges returns the changes of cache stores' content held in protobuf
// messages.
func DecodeStoreChanges(messages []*coltspb.StoreChange) []coltsstore.Change {
	return convert(messages, func(m *coltspb.StoreChange) coltsstore.Change {
		return coltsstore.Change{
			Store:           coltsidentity.Service(m.GetStore()),
			Key:             coltsstore.Key{Scope: m.GetScope(), Part: m.GetPart()},
			FetchableTokens: int(m.GetTokens()),
			OccupiedTokens:  int(m.GetRoom()),
		}
	})
}

// DecodeServices returns the services whose names a message holds.
func DecodeServices(names []string) []coltsidentity.Service {
	return convert(names, func(name string) coltsidentity.Service { return coltsidentity.Service(name) })
}

// EncodeLoads returns the protobuf messages for the loads of upstreams.
func EncodeLoads(loads []coltsbalance.Load, now time.Time) []*coltspb.UpstreamLoad {
	return convert(loads, func(l coltsbalance.Load) *coltspb.UpstreamLoad {
		m := &coltspb.UpstreamLoad{Upstream: string(l.Upstream), Load: l.Amount}
		if !l.HeardAt.IsZero() {
			m.QuietNanos = int64(now.Sub(l.HeardAt))
		}
		return m
	})
}

// DecodeLoads returns the loads of upstreams held in protobuf messages.
func DecodeLoads(messages []*coltspb.UpstreamLoad, now time.Time) []coltsbalance.Load {
	return convert(messages, func(m *coltspb.UpstreamLoad) coltsbalance.Load {
		return coltsbalance.Load{
			Upstream: coltsidentity.Upstream(m.GetUpstream()), Amount: m.GetLoad(), HeardAt: now.Add(-time.Duration(m.GetQuietNanos())),
		}
	})
}

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

// EncodeStoreOffers returns the protobuf messages for the stores that answer.
func EncodeStoreOffers(offers []coltsstore.Offer) []*coltspb.StoreOffer {
	return convert(offers, func(o coltsstore.Offer) *coltspb.StoreOffer {
		m := &coltspb.StoreOffer{Store: string(o.Store), BootEpoch: o.BootEpoch, TakesParts: o.TakesParts}
		if !o.FetchUntil.IsZero() {
			micros := o.FetchUntil.UnixMicro()
			m.FetchUntilMicros = &micros
		}
		return m
	})
}

// DecodeStoreOffers returns the stores that answer held in protobuf messages.
func DecodeStoreOffers(messages []*coltspb.StoreOffer) []coltsstore.Offer {
	return convert(messages, func(m *coltspb.StoreOffer) coltsstore.Offer {
		o := coltsstore.Offer{
			Store: coltsidentity.Service(m.GetStore()), BootEpoch: m.GetBootEpoch(), TakesParts: m.GetTakesParts(),
		}
		if m.FetchUntilMicros != nil {
			o.FetchUntil = time.UnixMicro(m.GetFetchUntilMicros())
		}
		return o
	})
}

// EncodeLoads returns the protobuf messages for the loads of upstreams.
func EncodeLoads(loads []coltsbalance.Load, now time.Time) []*coltspb.UpstreamLoad {
	return convert(loads, func(l coltsbalance.Load) *coltspb.UpstreamLoad {
		return &coltspb.UpstreamLoad{
			Upstream: string(l.Upstream), Load: l.Amount,
			HeardNanosAgo: encodeAge(l.HeardAt, now), WaitingNanos: encodeAge(l.WaitingSince, now),
		}
	})
}

// DecodeLoads returns the loads of upstreams held in protobuf messages.
func DecodeLoads(messages []*coltspb.UpstreamLoad, now time.Time) []coltsbalance.Load {
	return convert(messages, func(m *coltspb.UpstreamLoad) coltsbalance.Load {
		return coltsbalance.Load{
			Upstream: coltsidentity.Upstream(m.GetUpstream()), Amount: m.GetLoad(),
			HeardAt: decodeAge(m.GetHeardNanosAgo(), now), WaitingSince: decodeAge(m.GetWaitingNanos(), now),
		}
	})
}

// encodeAge returns the nanoseconds from a time to now, at least 1; 0 for the zero time. Ages are
// sent instead of times because the clocks of sender and receiver differ.
func encodeAge(at, now time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return max(1, int64(now.Sub(at)))
}

// decodeAge returns the time that many nanoseconds before now; the zero time for 0.
func decodeAge(nanos int64, now time.Time) time.Time {
	if nanos <= 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(nanos))
}

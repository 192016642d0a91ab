package coltscontrol

// What control itself needs of the route table. Decoding a large table takes long and several times the memory
// of its text, so each one is decoded once for all loops, and only a summary is kept.

import (
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltswarmup"
)

// routeSummary is what control needs of one route table.
type routeSummary struct {
	// stores are the managed stores.
	stores map[coltsidentity.Service]coltsroute.Store
	// coldLimits holds how many requests in a second a cold process of each service may get, coldDurations
	// for how long processes are cold after their start.
	coldLimits    map[coltsidentity.Service]int
	coldDurations map[coltsidentity.Service]time.Duration
}

// routeSummaries holds the summary of the table that was decoded last.
type routeSummaries struct {
	mu      sync.Mutex
	version coltsroute.Version
	newest  routeSummary
	err     error
}

// summarise returns the summary of a route table. It logs an error if the table can't be decoded.
func (c *Control) summarise(encoded coltsroute.EncodedTable) (routeSummary, error) {
	s := &c.summaries
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == encoded.Version {
		return s.newest, s.err
	}
	table, err := c.cfg.DecodeTable(encoded.Source)
	if err != nil {
		c.log.Error("The route table could not be decoded.", coltslog.Fields{"version": encoded.Version, "error": err})
		s.version, s.newest, s.err = encoded.Version, routeSummary{}, err
		return s.newest, s.err
	}
	summary := routeSummary{
		stores:        map[coltsidentity.Service]coltsroute.Store{},
		coldLimits:    map[coltsidentity.Service]int{},
		coldDurations: table.ColdDurations(),
	}
	for _, service := range table.Services {
		if service.Store != nil && service.Store.Managed {
			summary.stores[service.Name] = *service.Store
		}
		if service.LimitsCold() {
			summary.coldLimits[service.Name] = coltswarmup.Limit(service.ColdRate, c.settings.ColdExcess, c.settings.ColdSlack)
		}
	}
	s.version, s.newest, s.err = encoded.Version, summary, nil
	return s.newest, s.err
}

package coltsroute

// The index avoids a scan of the table for each request: routes are grouped by host name
// with the longest prefix first, and organisations are found by API key in a map.

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// Index is a table prepared for look-ups. It is immutable and safe for concurrent use.
type Index struct {
	Table Table
	// byHost holds the routes of each lower-case host name, the longest prefix first.
	byHost map[string][]Route
	// byKey holds the organisation that owns each API key.
	byKey map[string]Organisation
	// byName holds the organisations.
	byName   map[coltsidentity.Organisation]Organisation
	services map[coltsidentity.Service]Service
	// stores are the services that are KV cache stores, sorted by name.
	stores []Service
	// strictestGoals holds the shortest latency goal among the routes of each service.
	strictestGoals map[coltsidentity.Service]time.Duration
}

// NewIndex returns the index of a table, which must be valid.
func NewIndex(t Table) *Index {
	ix := &Index{
		Table:    t,
		byHost:   map[string][]Route{},
		byKey:    map[string]Organisation{},
		byName:   make(map[coltsidentity.Organisation]Organisation, len(t.Organisations)),
		services: map[coltsidentity.Service]Service{},

		strictestGoals: map[coltsidentity.Service]time.Duration{},
	}
	for _, r := range t.Routes {
		ix.addGoal(r)
		name := strings.ToLower(r.HostName)
		ix.byHost[name] = append(ix.byHost[name], r)
	}
	for _, routes := range ix.byHost {
		slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, o := range t.Organisations {
		ix.byName[o.Name] = o
		for _, key := range o.Keys {
			ix.byKey[key] = o
		}
	}
	for _, s := range t.Services {
		ix.services[s.Name] = s
		if s.Store != nil {
			ix.stores = append(ix.stores, s)
		}
	}
	slices.SortFunc(ix.stores, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return ix
}

// addGoal takes a route's goal into account for the services that it targets.
func (ix *Index) addGoal(r Route) {
	for _, t := range r.Targets {
		known, found := ix.strictestGoals[t.Service]
		if r.LatencyGoal > 0 && t.Weight > 0 && (!found || r.LatencyGoal < known) {
			ix.strictestGoals[t.Service] = r.LatencyGoal
		}
	}
}

// StrictestGoal returns the shortest latency goal among the routes that target a service; 0 if none has a
// goal.
func (ix *Index) StrictestGoal(name coltsidentity.Service) time.Duration {
	return ix.strictestGoals[name]
}

// Match returns the route with the longest matching prefix for a host name, which must
// not include a port, and a path. It reports false if no route matches.
func (ix *Index) Match(hostName, path string) (Route, bool) {
	routes, known := ix.byHost[hostName]
	if !known {
		routes = ix.byHost[strings.ToLower(hostName)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// OrganisationByKey returns the organisation that owns an API key, and whether there is one.
func (ix *Index) OrganisationByKey(key string) (Organisation, bool) {
	o, known := ix.byKey[key]
	return o, known
}

// Service returns the service with a name, and whether there is one.
func (ix *Index) Service(name coltsidentity.Service) (Service, bool) {
	s, known := ix.services[name]
	return s, known
}

// Stores returns the services that are KV cache stores, sorted by name. The caller must
// not modify the slice.
func (ix *Index) Stores() []Service { return ix.stores }

// ChooseService returns the service for a request identity. It distributes identities over
// the targets in proportion to their weights, and returns the same service for the same
// identity. It returns "" if the weights do not add up to a positive number.
func (r Route) ChooseService(identity string) coltsidentity.Service {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	totalWeight := 0
	for _, t := range r.Targets {
		totalWeight += t.Weight
	}
	if totalWeight <= 0 {
		return ""
	}
	point := int(coltsshard.Hash(identity) % uint64(totalWeight))
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return ""
}

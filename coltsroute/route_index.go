package coltsroute

// The index answers a request's questions without looking through the table:
// routes stand by host name, the longest prefix first, and keys in a map.

import (
	"cmp"
	"slices"
	"strings"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// Index is a table prepared for look-ups. It never changes and may be used
// concurrently.
type Index struct {
	Table    Table
	byHost   map[string][]Route
	byKey    map[string]Organisation
	services map[coltsidentity.Service]Service
	// stores are the kept-cache stores in the order of their names.
	stores []Service
}

// NewIndex prepares a valid table.
func NewIndex(t Table) *Index {
	ix := &Index{
		Table:    t,
		byHost:   map[string][]Route{},
		byKey:    map[string]Organisation{},
		services: map[coltsidentity.Service]Service{},
	}
	for _, r := range t.Routes {
		name := strings.ToLower(r.HostName)
		ix.byHost[name] = append(ix.byHost[name], r)
	}
	for _, routes := range ix.byHost {
		slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, o := range t.Organisations {
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

// Match returns the route of a host name, its port taken off, and a path.
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

// OrganisationByKey returns the organisation that holds a key.
func (ix *Index) OrganisationByKey(key string) (Organisation, bool) {
	o, known := ix.byKey[key]
	return o, known
}

// Service returns a service by its name.
func (ix *Index) Service(name coltsidentity.Service) (Service, bool) {
	s, known := ix.services[name]
	return s, known
}

// Stores returns the kept-cache stores in the order of their names; the list must not
// be changed.
func (ix *Index) Stores() []Service { return ix.stores }

// Choose returns the service of a request: by the targets' weights, and the same
// one whenever the identity is the same.
func (r Route) Choose(identity string) coltsidentity.Service {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(coltsshard.Hash(identity) % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return ""
}

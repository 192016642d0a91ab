package coltsroute

// Validation checks every rule and reports all violations together, so that the author
// of a table can correct them in one pass.

import (
	"fmt"
	"strings"

	"coltsfootstall/coltsidentity"
)

// InvalidError reports every problem found in a table.
type InvalidError struct {
	Version  Version
	Problems []string
}

// Error returns the problems on one line.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("route table %d is invalid: %s", e.Version, strings.Join(e.Problems, "; "))
}

// Validate returns an *InvalidError if the table breaks any rule, otherwise nil.
func (t Table) Validate() error {
	v := validator{services: map[coltsidentity.Service]bool{}}
	for _, s := range t.Services {
		v.services[s.Name] = true
	}
	v.checkRoutes(t.Routes)
	v.checkKeys(t.Organisations)
	if len(v.problems) == 0 {
		return nil
	}
	return &InvalidError{Version: t.Version, Problems: v.problems}
}

// validator collects the problems of one table.
type validator struct {
	// services holds the names of the table's services.
	services map[coltsidentity.Service]bool
	problems []string
}

func (v *validator) add(format string, args ...any) {
	v.problems = append(v.problems, fmt.Sprintf(format, args...))
}

// routeKey identifies the requests that a route matches; no two routes may share one.
type routeKey struct{ hostName, prefix string }

func (v *validator) checkRoutes(routes []Route) {
	routeNames := map[routeKey]string{}
	for _, r := range routes {
		key := routeKey{hostName: strings.ToLower(r.HostName), prefix: r.Prefix}
		if other, used := routeNames[key]; used {
			v.add("routes %q and %q share host %q and prefix %q", other, r.Name, r.HostName, r.Prefix)
		}
		routeNames[key] = r.Name
		v.checkRoute(r)
	}
}

func (v *validator) checkRoute(r Route) {
	totalWeight := 0
	for _, target := range r.Targets {
		if !v.services[target.Service] {
			v.add("route %q refers to unknown service %q", r.Name, target.Service)
		}
		if target.Weight < 0 {
			v.add("route %q gives service %q negative weight %d", r.Name, target.Service, target.Weight)
		}
		totalWeight += target.Weight
	}
	if totalWeight <= 0 {
		v.add("the weights of route %q add up to %d, which is not positive", r.Name, totalWeight)
	}
	if r.Timeout <= 0 {
		v.add("route %q has timeout %s, which is not positive", r.Name, r.Timeout)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		v.add("the prefix %q of route %q does not begin and end with a slash", r.Prefix, r.Name)
	}
}

func (v *validator) checkKeys(organisations []Organisation) {
	owners := map[string]coltsidentity.Organisation{}
	for _, o := range organisations {
		for _, key := range o.Keys {
			if other, used := owners[key]; used && other != o.Name {
				v.add("organisations %q and %q share a key", other, o.Name)
			}
			owners[key] = o.Name
		}
	}
}

package coltsroute

// The rules that make a table invalid, each with its own reason. All of them are
// checked, so that whoever wrote the table sees everything at once.

import (
	"fmt"
	"strings"

	"coltsfootstall/coltsidentity"
)

// InvalidError reports everything that is wrong with a table.
type InvalidError struct {
	Version  Version
	Problems []string
}

// Error lists the problems.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("route table %d is invalid: %s", e.Version, strings.Join(e.Problems, "; "))
}

// Validate returns an InvalidError if a rule is broken.
func (t Table) Validate() error {
	v := validator{services: map[coltsidentity.Service]bool{}}
	for _, s := range t.Services {
		v.services[s.Name] = true
	}
	v.routes(t.Routes)
	v.keys(t.Organisations)
	if len(v.problems) == 0 {
		return nil
	}
	return &InvalidError{Version: t.Version, Problems: v.problems}
}

type validator struct {
	services map[coltsidentity.Service]bool
	problems []string
}

func (v *validator) add(format string, args ...any) {
	v.problems = append(v.problems, fmt.Sprintf(format, args...))
}

// place is where a route is found.
type place struct{ hostName, prefix string }

func (v *validator) routes(routes []Route) {
	taken := map[place]string{}
	for _, r := range routes {
		at := place{hostName: strings.ToLower(r.HostName), prefix: r.Prefix}
		if other, used := taken[at]; used {
			v.add("routes %q and %q share host %q and prefix %q", other, r.Name, r.HostName, r.Prefix)
		}
		taken[at] = r.Name
		v.route(r)
	}
}

func (v *validator) route(r Route) {
	total := 0
	for _, target := range r.Targets {
		if !v.services[target.Service] {
			v.add("route %q names the unknown service %q", r.Name, target.Service)
		}
		if target.Weight < 0 {
			v.add("route %q gives service %q the negative weight %d", r.Name, target.Service, target.Weight)
		}
		total += target.Weight
	}
	if total <= 0 {
		v.add("the weights of route %q add up to %d", r.Name, total)
	}
	if r.Timeout <= 0 {
		v.add("route %q has the timeout %s", r.Name, r.Timeout)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		v.add("the prefix %q of route %q does not begin and end with a slash", r.Prefix, r.Name)
	}
}

func (v *validator) keys(organisations []Organisation) {
	holder := map[string]coltsidentity.Organisation{}
	for _, o := range organisations {
		for _, key := range o.Keys {
			if other, used := holder[key]; used && other != o.Name {
				v.add("organisations %q and %q share a key", other, o.Name)
			}
			holder[key] = o.Name
		}
	}
}

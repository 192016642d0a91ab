package coltsprocess

// A group of control instances in which every link runs through a proxy of its
// own, so that any instance can be cut off in silence.

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsproxy"
	"coltsfootstall/coltssystem"
)

// subnet numbers the loopback networks that groups use, so that their fixed
// addresses never meet.
var subnet atomic.Uint32

// group is a group of control instances.
type group struct {
	t        testing.TB
	net      uint32
	folder   string
	addrs    []netip.AddrPort
	controls []*process
	// initial is how many instances the first configuration has; further ones
	// join later.
	initial int
	// links holds the proxy from one instance to another, entrance the one from
	// entries to an instance.
	links    map[[2]int]*coltsproxy.Proxy
	entrance []*coltsproxy.Proxy
	// snapshotEvery is a setting of each instance.
	snapshotEvery int
}

// startGroup starts the initial instances of a group of size members.
func startGroup(t testing.TB, initial, size int) *group {
	t.Helper()
	g := &group{
		t: t, net: subnet.Add(1), folder: t.TempDir(), initial: initial,
		links: map[[2]int]*coltsproxy.Proxy{}, snapshotEvery: 100,
		controls: make([]*process, size),
	}
	document := filepath.Join(g.folder, "document.jsonc")
	assert.NilError(t, os.WriteFile(document, []byte(coltssystem.Document()), 0o600))
	for i := range size {
		g.addrs = append(g.addrs, netip.AddrPortFrom(loopback(g.net, byte(i+1)), 8090))
		g.entrance = append(g.entrance, g.proxy(i))
	}
	for i := range size {
		for j := range size {
			if i != j {
				g.links[[2]int{i, j}] = g.proxy(j)
			}
		}
	}
	for i := range initial {
		g.start(i)
	}
	return g
}

// proxy returns a new proxy before an instance.
func (g *group) proxy(i int) *coltsproxy.Proxy {
	g.t.Helper()
	p, err := coltsproxy.Start(coltsproxy.Config{Addr: coltssystem.Loopback, Target: g.addrs[i]})
	assert.NilError(g.t, err)
	g.t.Cleanup(p.Close)
	return p
}

func name(i int) string {
	return fmt.Sprintf("control-%d", i+1)
}

// start starts an instance, also again after it was killed.
func (g *group) start(i int) {
	g.t.Helper()
	var replicas []string
	for j := range g.addrs {
		addr := g.addrs[j]
		if i != j {
			addr = g.links[[2]int{i, j}].Addr()
		}
		replicas = append(replicas, fmt.Sprintf(`{"instance": %q, "address": %q, "joins": %t}`, name(j), addr, j >= g.initial))
	}
	g.controls[i] = start(g.t, "coltsfootstall", "control", "--settings", settingsFile(g.t, fmt.Sprintf(`{
		"instance": %q, "data-centre": %q, "log-json": true,
		"control": {
			"address": %q, "operator-address": "127.0.0.1:0",
			"data-folder": %q, "initial-document": %q, "snapshot-every": %d,
			"replicas": [%s],
		},
	}`, name(i), coltssystem.DataCentreName, g.addrs[i], filepath.Join(g.folder, name(i)),
		filepath.Join(g.folder, "document.jsonc"), g.snapshotEvery, strings.Join(replicas, ","))))
	g.controls[i].addr(g.t, "address")
}

// isolate cuts an instance off in silence, both ways.
func (g *group) isolate(i int) {
	g.each(i, (*coltsproxy.Proxy).Cut)
}

// heal ends the isolation of an instance.
func (g *group) heal(i int) {
	g.each(i, (*coltsproxy.Proxy).Heal)
}

func (g *group) each(i int, fn func(*coltsproxy.Proxy)) {
	fn(g.entrance[i])
	for pair, p := range g.links {
		if pair[0] == i || pair[1] == i {
			fn(p)
		}
	}
}

// at returns the command-line flag that asks some instances; all if none is named.
func (g *group) at(instances ...int) string {
	if len(instances) == 0 {
		for i := range g.controls {
			if g.controls[i] != nil {
				instances = append(instances, i)
			}
		}
	}
	var addrs []string
	for _, i := range instances {
		addrs = append(addrs, g.addrs[i].String())
	}
	return "--control=" + strings.Join(addrs, ",")
}

// leader waits until some instances agree on a leader among them and returns it.
func (g *group) leader(among ...int) int {
	g.t.Helper()
	found := -1
	err := coltssystem.Await(conditionTimeout, "there is a leader", func() bool {
		for _, i := range among {
			out, status := run(g.t, "", "status", g.at(i))
			if status != 0 {
				continue
			}
			for _, j := range among {
				if strings.Contains(out, "leader "+name(j)+",") {
					found = j
					return true
				}
			}
		}
		return false
	})
	assert.NilError(g.t, err)
	return found
}

// change puts a new price of the press in force and returns its revision's line.
func (g *group) change(micros int, among ...int) string {
	g.t.Helper()
	text := strings.ReplaceAll(coltssystem.Document(), `"micros": 250000`, fmt.Sprintf(`"micros": %d`, micros))
	file := filepath.Join(g.t.TempDir(), "document.jsonc")
	assert.NilError(g.t, os.WriteFile(file, []byte(text), 0o600))
	id := fmt.Sprintf("price-%d", micros)
	var out string
	for _, step := range []struct{ key, command string }{
		{coltssystem.OperatorAmina, "propose --section=pricing --change=" + id + " " + file},
		{coltssystem.OperatorBerk, "review " + id},
		{coltssystem.OperatorAmina, "accept " + id},
	} {
		args := append([]string{"document"}, strings.Fields(step.command)...)
		args = append(args[:2:2], append([]string{g.at(among...)}, args[2:]...)...)
		var status int
		err := coltssystem.Await(conditionTimeout, "the change is taken in", func() bool {
			out, status = run(g.t, step.key, args...)
			return status == 0
		})
		assert.NilError(g.t, err, out)
	}
	return out
}

// others returns the instances of the first configuration but for one.
func (g *group) others(but int) []int {
	var rest []int
	for i := range g.initial {
		if i != but {
			rest = append(rest, i)
		}
	}
	return rest
}

// startEntries starts entries, runners and a service before a group.
func (g *group) startEntries(entries, runners int) *cluster {
	g.t.Helper()
	c := &cluster{t: g.t, net: g.net, folder: g.folder}
	var controls []string
	for _, p := range g.entrance {
		controls = append(controls, fmt.Sprintf("%q", p.Addr()))
	}
	c.controls = strings.Join(controls, ",")
	for i := range entries {
		c.startEntry(i)
	}
	c.startUpstreams(runners)
	return c
}

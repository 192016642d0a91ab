package coltsprocess

// A replicated group of control instances. Every link between two of them, and
// from the entries to them, goes through its own proxy, so that a test can
// partition any instance: its connections stay open but pass no data.

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

// lastSubnet is the number of the last loopback subnet in use. Each group and each
// cluster has its own subnet, so that their fixed addresses do not collide.
var lastSubnet atomic.Uint32

// group is a group of control instances.
type group struct {
	t testing.TB
	// subnet is the number of the group's loopback subnet.
	subnet uint32
	folder string
	// addrs and controls hold the address and the process of each instance. The
	// process is nil until the instance is started.
	addrs    []netip.AddrPort
	controls []*process
	// initial is the number of instances in the first configuration. The others
	// join later.
	initial int
	// peerProxies holds the proxy for the link from one instance to another.
	peerProxies map[[2]int]*coltsproxy.Proxy
	// entryProxies holds the proxy between the entries and each instance.
	entryProxies []*coltsproxy.Proxy
	// snapshotEvery is the value of the setting snapshot-every, in commands.
	snapshotEvery int
}

// startGroup creates a group with addresses and proxies for size instances, and starts
// those of the first configuration, which are the first ones (initial in number).
func startGroup(t testing.TB, initial, size int) *group {
	t.Helper()
	g := &group{
		t: t, subnet: lastSubnet.Add(1), folder: t.TempDir(), initial: initial,
		peerProxies: map[[2]int]*coltsproxy.Proxy{}, snapshotEvery: 100,
		controls: make([]*process, size),
	}
	document := filepath.Join(g.folder, "document.jsonc")
	assert.NilError(t, os.WriteFile(document, []byte(coltssystem.Document()), 0o600))
	for i := range size {
		g.addrs = append(g.addrs, netip.AddrPortFrom(loopbackAddr(g.subnet, byte(i+1)), 8090))
		g.entryProxies = append(g.entryProxies, g.proxy(i))
	}
	for i := range size {
		for j := range size {
			if i != j {
				g.peerProxies[[2]int{i, j}] = g.proxy(j)
			}
		}
	}
	for i := range initial {
		g.start(i)
	}
	return g
}

// proxy starts a proxy in front of an instance.
func (g *group) proxy(i int) *coltsproxy.Proxy {
	g.t.Helper()
	p, err := coltsproxy.Start(coltsproxy.Config{Addr: coltssystem.Loopback, Target: g.addrs[i]})
	assert.NilError(g.t, err)
	g.t.Cleanup(p.Close)
	return p
}

// instanceName returns the name of instance i.
func instanceName(i int) string {
	return fmt.Sprintf("control-%d", i+1)
}

// start starts an instance, or restarts it after it was killed.
func (g *group) start(i int) {
	g.t.Helper()
	var replicas []string
	for j := range g.addrs {
		addr := g.addrs[j]
		if i != j {
			addr = g.peerProxies[[2]int{i, j}].Addr()
		}
		replicas = append(replicas, fmt.Sprintf(`{"instance": %q, "address": %q, "joins": %t}`,
			instanceName(j), addr, j >= g.initial))
	}
	g.controls[i] = startProcess(g.t, "coltsfootstall", "control", "--settings", settingsFile(g.t, fmt.Sprintf(`{
		"instance": %q, "data-centre": %q, "log-json": true,
		"control": {
			"address": %q, "operator-address": "127.0.0.1:0",
			"data-folder": %q, "initial-document": %q, "snapshot-every": %d,
			"replicas": [%s],
		},
	}`, instanceName(i), coltssystem.DataCentreName, g.addrs[i], filepath.Join(g.folder, instanceName(i)),
		filepath.Join(g.folder, "document.jsonc"), g.snapshotEvery, strings.Join(replicas, ","))))
	g.controls[i].awaitAddr(g.t, "address")
}

// isolate partitions an instance in both directions: its connections stay open but
// pass no data.
func (g *group) isolate(i int) {
	g.forEachProxy(i, (*coltsproxy.Proxy).SilenceAll)
}

// heal ends the partition of an instance.
func (g *group) heal(i int) {
	g.forEachProxy(i, (*coltsproxy.Proxy).EndSilence)
}

// forEachProxy calls fn on every proxy for a link to or from an instance.
func (g *group) forEachProxy(i int, fn func(*coltsproxy.Proxy)) {
	fn(g.entryProxies[i])
	for pair, p := range g.peerProxies {
		if pair[0] == i || pair[1] == i {
			fn(p)
		}
	}
}

// controlFlag returns the command-line flag --control with the addresses of the
// given instances. With none it uses all instances that were ever started.
func (g *group) controlFlag(instances ...int) string {
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

// awaitLeader waits until one of the given instances reports a leader that is also
// among them, and returns that leader.
func (g *group) awaitLeader(instances ...int) int {
	g.t.Helper()
	found := -1
	err := coltssystem.Await(conditionTimeout, "there is a leader", func() bool {
		for _, i := range instances {
			out, status := runCommand(g.t, "", "status", g.controlFlag(i))
			if status != 0 {
				continue
			}
			for _, j := range instances {
				if strings.Contains(out, "leader "+instanceName(j)+",") {
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

// changePrice proposes, reviews and accepts a new price of the service by way of the
// given instances. It returns the output of the last command, which names the revision.
func (g *group) changePrice(micros int, instances ...int) string {
	g.t.Helper()
	document := strings.ReplaceAll(coltssystem.Document(), `"micros": 250000`,
		fmt.Sprintf(`"micros": %d`, micros))
	file := filepath.Join(g.t.TempDir(), "document.jsonc")
	assert.NilError(g.t, os.WriteFile(file, []byte(document), 0o600))
	id := fmt.Sprintf("price-%d", micros)
	var out string
	for _, step := range []struct{ key, command string }{
		{coltssystem.OperatorKeyAmina, "propose --section=pricing --change=" + id + " " + file},
		{coltssystem.OperatorKeyBerk, "review " + id},
		{coltssystem.OperatorKeyAmina, "accept " + id},
	} {
		args := append([]string{"document"}, strings.Fields(step.command)...)
		args = append(args[:2:2], append([]string{g.controlFlag(instances...)}, args[2:]...)...)
		var status int
		err := coltssystem.Await(conditionTimeout, "the command succeeds", func() bool {
			out, status = runCommand(g.t, step.key, args...)
			return status == 0
		})
		assert.NilError(g.t, err, out)
	}
	return out
}

// others returns the instances of the first configuration without one of them.
func (g *group) others(excluded int) []int {
	var rest []int
	for i := range g.initial {
		if i != excluded {
			rest = append(rest, i)
		}
	}
	return rest
}

// startEntries starts entries, runners and a service that use the group as their
// control instances.
func (g *group) startEntries(entries, runners int) *cluster {
	g.t.Helper()
	c := &cluster{t: g.t, subnet: g.subnet, folder: g.folder}
	var controlAddrs []string
	for _, p := range g.entryProxies {
		controlAddrs = append(controlAddrs, fmt.Sprintf("%q", p.Addr()))
	}
	c.controlAddrs = strings.Join(controlAddrs, ",")
	for i := range entries {
		c.startEntry(i)
	}
	c.startUpstreams(runners)
	return c
}

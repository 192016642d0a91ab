package coltscrowd

// Guards against an OpenAI-style entry that runs out of memory or descriptors because many clients send
// unfinished requests and stay.

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltssystem"
)

// Ports of an entry.
const (
	entryCallerPort   = 7430
	entryUpstreamPort = 7431
	entryPeerPort     = 7432
	entryOperatorPort = 7433
)

// entryInstance is an entry that has the document of coltssystem.
type entryInstance struct {
	t            *testing.T
	process      *process
	callerAddr   netip.AddrPort
	upstreamAddr netip.AddrPort
	operatorAddr netip.AddrPort
}

// startEntry starts a control instance and an entry with small limits, and waits until callers are
// served.
func startEntry(t *testing.T) *entryInstance {
	t.Helper()
	host := newSubnet()(21)
	document := filepath.Join(t.TempDir(), "document")
	assert.NilError(t, os.WriteFile(document, []byte(coltssystem.Document()), 0o600))
	startProcess(t, "control", fmt.Sprintf(`{"instance":"control-1",
"control":{"address":"%[1]s:%[2]d","operator-address":"%[1]s:%[3]d","data-folder":%[4]q,"initial-document":%[5]q}}`,
		host, controlPort, operatorPort, t.TempDir(), document))
	e := &entryInstance{
		t: t, callerAddr: netip.AddrPortFrom(host, entryCallerPort), upstreamAddr: netip.AddrPortFrom(host, entryUpstreamPort),
		operatorAddr: netip.AddrPortFrom(host, entryOperatorPort),
	}
	e.process = startProcess(t, "entry", fmt.Sprintf(`{"instance":"entry-1","entry":{"caller-address":%q,"upstream-address":%q,
"operator-address":%q,"peer-address":"%[4]s:%[5]d","control-addresses":["%[4]s:%[6]d"],%[7]s}}`,
		e.callerAddr, e.upstreamAddr, e.operatorAddr, host, entryPeerPort, controlPort, smallSettings))
	e.assertServes()
	return e
}

// assertServes asserts that the list of models and the readiness check are served.
func (e *entryInstance) assertServes() {
	e.t.Helper()
	for _, url := range []string{"http://" + e.callerAddr.String() + "/v1/models", "http://" + e.operatorAddr.String() + "/ready"} {
		eventually(e.t, url+" is served", func() bool {
			e.process.assertAlive()
			req, err := http.NewRequest(http.MethodGet, url, nil)
			assert.NilError(e.t, err)
			req.Header.Set("Authorization", "Bearer "+coltssystem.KeySeedPaper)
			req.Close = true
			resp, err := http.DefaultClient.Do(req)
			return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
		})
	}
}

// assertEntryWithstands opens a crowd at an address of an entry.
func assertEntryWithstands(t *testing.T, u unfinished, path, key string, addr func(e *entryInstance) netip.AddrPort) {
	t.Helper()
	e := startEntry(t)
	highest := e.process.watchDescriptors()
	head := u.head(path, "Authorization: Bearer "+key)
	openCrowd(t, addr(e), smallCrowd, func() string { return head + u.begin }, u.repeated, u.repeatedBytes)
	e.assertServes()
	assertWithin(t, e.process, smallMemory, smallDescriptors, highest())
}

func TestEntryUnfinishedRequests(t *testing.T) {
	callers := func(e *entryInstance) netip.AddrPort { return e.callerAddr }
	upstreams := func(e *entryInstance) netip.AddrPort { return e.upstreamAddr }
	operators := func(e *entryInstance) netip.AddrPort { return e.operatorAddr }
	all := unfinishedRequests()
	for _, u := range all {
		t.Run(u.name+" as a prompt", func(t *testing.T) {
			assertEntryWithstands(t, u, "/v1/chat/completions", coltssystem.KeySeedPaper, callers)
		})
	}
	u := all[0]
	t.Run(u.name+" as a call", func(t *testing.T) {
		assertEntryWithstands(t, u, "/services/press/runs", coltssystem.KeySeedPaper, callers)
	})
	t.Run(u.name+" with an unknown key", func(t *testing.T) {
		assertEntryWithstands(t, u, "/v1/chat/completions", "unknown", callers)
	})
	t.Run(u.name+" as an announcement", func(t *testing.T) { assertEntryWithstands(t, u, "/colts/v1/announce", "", upstreams) })
	t.Run(u.name+" at the operators' address", func(t *testing.T) { assertEntryWithstands(t, u, "/ready", "", operators) })
}

// Package coltsprocess holds the tests with real processes.
package coltsprocess

// The harness: it builds the programs once, starts them with settings on ports
// that the kernel picks, and reads from their logs where they listen.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltssystem"
)

const (
	// conditionTimeout bounds the wait for a condition that must come.
	conditionTimeout = 30 * time.Second
	// exitTimeout bounds the wait for a process that was asked to stop.
	exitTimeout = 30 * time.Second
)

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "colts-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	out, err := exec.Command("go", "build", "-o", dir, "coltsfootstall/cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, out)
		return 1
	}
	programs = dir
	return m.Run()
}

// process is a running program.
type process struct {
	cmd *exec.Cmd
	// exited is closed when the process has ended; err is then how.
	exited chan struct{}
	err    error

	mu    sync.Mutex
	lines []string
	// started holds the fields of the line that says that it has started.
	started map[string]any
}

// start runs a program until the test ends.
func start(t testing.TB, program string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(programs, program), args...), exited: make(chan struct{})}
	// A process must not outlive a test that dies: it would go on announcing
	// itself to addresses that another test then uses.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := p.cmd.StderrPipe()
	assert.NilError(t, err)
	stdout, err := p.cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.cmd.Start())
	var readers sync.WaitGroup
	readers.Go(func() { p.read(stderr) })
	readers.Go(func() { p.read(stdout) })
	go func() {
		readers.Wait()
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() { p.kill() })
	return p
}

// read takes in the process's lines.
func (p *process) read(r io.Reader) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line := scanner.Text()
		var fields map[string]any
		isStarted := json.Unmarshal([]byte(line), &fields) == nil &&
			strings.HasSuffix(fmt.Sprint(fields["msg"]), ": Started.")
		p.mu.Lock()
		p.lines = append(p.lines, line)
		if isStarted {
			p.started = fields
		}
		if addr, found := strings.CutPrefix(line, "listening on "); found {
			p.started = map[string]any{"address": addr}
		}
		p.mu.Unlock()
	}
}

// field returns a field of the line that says that the process has started.
func (p *process) field(name string) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, err := netip.ParseAddrPort(fmt.Sprint(p.started[name]))
	return addr, err == nil
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// addr waits until the process says where it listens.
func (p *process) addr(t testing.TB, name string) netip.AddrPort {
	t.Helper()
	err := coltssystem.Await(conditionTimeout, "the process has started", func() bool {
		_, ok := p.field(name)
		return ok || p.hasExited()
	})
	assert.NilError(t, err, p.output())
	addr, ok := p.field(name)
	assert.Assert(t, ok, "%s", p.output())
	return addr
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// replaceBy makes this process stand for another, started in its place.
func (p *process) replaceBy(other *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.exited, p.started = other.cmd, other.exited, other.started
}

// kill ends the process at once, as kill -9 does.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// signal sends a signal to the process.
func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s))
}

// waitExit waits until the process has ended by itself and returns its status.
func (p *process) waitExit(t testing.TB) int {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(exitTimeout):
		t.Fatalf("the process did not end: %s", p.output())
	}
	return p.cmd.ProcessState.ExitCode()
}

// settingsFile writes a settings file and returns its path.
func settingsFile(t testing.TB, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run runs a command of the operators' tool and returns what it printed.
func run(t testing.TB, key string, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(programs, "coltsfootstall"), args...)
	cmd.Env = append(os.Environ(), "COLTSFOOTSTALL_OPERATOR_KEY="+key)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// cluster is a small system of processes.
type cluster struct {
	t           testing.TB
	net         uint32
	folder      string
	control     *process
	controlAddr netip.AddrPort
	// controls lists the control instances as entries' settings name them.
	controls string
	entries  []*process
	runners  []*process
	services []*process
}

// startCluster starts control, entries, runners and one service.
func startCluster(t testing.TB, entries, runners int, runnerFlags ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, net: subnet.Add(1), folder: t.TempDir(), controlAddr: coltssystem.Loopback}
	document := filepath.Join(c.folder, "document.jsonc")
	assert.NilError(t, os.WriteFile(document, []byte(coltssystem.Document()), 0o600))
	c.startControl()
	c.controls = fmt.Sprintf("%q", c.controlAddr)
	for i := range entries {
		c.startEntry(i)
	}
	c.startUpstreams(runners, runnerFlags...)
	return c
}

// startUpstreams starts runners and one service.
func (c *cluster) startUpstreams(runners int, runnerFlags ...string) {
	c.t.Helper()
	for i := range runners {
		args := append([]string{
			"runner", "--id", fmt.Sprintf("runner-%d", i+1), "--entries", c.upstreamAddrs(),
			"--serving", coltssystem.ModelName + "@" + coltssystem.ModelVersion,
		}, runnerFlags...)
		c.runners = append(c.runners, start(c.t, "coltsstandin", args...))
	}
	c.services = append(c.services, start(c.t, "coltsstandin", "service", "--id", "service-1",
		"--entries", c.upstreamAddrs(), "--service", coltssystem.ServiceName, "--duration", "5ms"))
	c.awaitUpstreams(runners + 1)
}

// startControl starts the control instance, at its old address after a restart.
func (c *cluster) startControl() {
	c.t.Helper()
	c.control = start(c.t, "coltsfootstall", "control", "--settings", settingsFile(c.t, fmt.Sprintf(`{
		"instance": "control-1", "data-centre": %q, "log-json": true,
		"control": {
			"address": %q, "operator-address": "127.0.0.1:0",
			"data-folder": %q, "initial-document": %q,
			"snapshot-every": 50,
		},
	}`, coltssystem.DataCentreName, c.controlAddr, filepath.Join(c.folder, "data"), filepath.Join(c.folder, "document.jsonc"))))
	c.controlAddr = c.control.addr(c.t, "address")
}

func (c *cluster) startEntry(i int) {
	c.t.Helper()
	c.entries = append(c.entries, c.newEntry(i))
}

// firstEntry is the last byte of the first entry's address.
const firstEntry = 100

// loopback returns an address in a network that no other test uses.
func loopback(net uint32, last byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(net), last})
}

// newEntry starts an entry of a name. It has the same addresses each time, as an
// instance of the platform has, so that upstreams find it again.
func (c *cluster) newEntry(i int) *process {
	c.t.Helper()
	ip := loopback(c.net, byte(firstEntry+i))
	return start(c.t, "coltsfootstall", "entry", "--settings", settingsFile(c.t, fmt.Sprintf(`{
		"instance": "entry-%d", "data-centre": %q, "log-json": true,
		"entry": {
			"caller-address": "%[3]s:8080", "upstream-address": "%[3]s:8081",
			"peer-address": "%[3]s:8082", "operator-address": "%[3]s:8083",
			"control-addresses": [%[4]s],
			"drain-notice": "100ms",
		},
	}`, i+1, coltssystem.DataCentreName, ip, c.controls)))
}

func (c *cluster) upstreamAddrs() string {
	addrs := make([]string, 0, len(c.entries))
	for _, e := range c.entries {
		addrs = append(addrs, e.addr(c.t, "upstreams").String())
	}
	return strings.Join(addrs, ",")
}

// callers returns where an entry serves callers.
func (c *cluster) callers(i int) netip.AddrPort {
	return c.entries[i].addr(c.t, "callers")
}

// metric returns a metric of an entry.
func (c *cluster) metric(i int, name string) float64 {
	c.t.Helper()
	return metricOf(c.t, c.entries[i].addr(c.t, "operators"), name)
}

// metricOf returns a metric that an instance shows to operators.
func metricOf(t testing.TB, operators netip.AddrPort, name string) float64 {
	t.Helper()
	text, _ := get(t, operators, "/debug/vars")
	var values map[string]any
	assert.NilError(t, json.Unmarshal([]byte(text), &values))
	value, ok := values[name].(float64)
	assert.Assert(t, ok, "there is no metric %s", name)
	return value
}

// awaitUpstreams waits until every entry is ready and knows some upstreams.
func (c *cluster) awaitUpstreams(n int) {
	c.t.Helper()
	err := coltssystem.Await(conditionTimeout, "every entry knows every upstream", func() bool {
		for i := range c.entries {
			_, status := get(c.t, c.entries[i].addr(c.t, "operators"), "/ready")
			if status != http.StatusOK || int(c.metric(i, "upstreams")) < n {
				return false
			}
		}
		return true
	})
	assert.NilError(c.t, err)
}

// get returns the body and status of an operators' path; status 0 if nobody
// answers.
func get(t testing.TB, addr netip.AddrPort, path string) (string, int) {
	t.Helper()
	resp, err := http.Get("http://" + addr.String() + path)
	if err != nil {
		return "", 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(body), resp.StatusCode
}

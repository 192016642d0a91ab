// Package coltsprocess contains the tests that run the programs as real processes.
package coltsprocess

// The test harness. It builds the programs once, starts them as processes and reads
// from their logs where they listen. Ports are chosen by the kernel, or are fixed on
// a loopback subnet that only one test uses.

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
	// conditionTimeout is the maximum wait for a condition that a test expects.
	conditionTimeout = 30 * time.Second
	// exitTimeout is the maximum wait for a process to exit after a signal.
	exitTimeout = 30 * time.Second
)

// programFolder is the folder with the built programs.
var programFolder string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs, runs the tests and returns the exit status.
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
	programFolder = dir
	return m.Run()
}

// process is a running program.
type process struct {
	cmd *exec.Cmd
	// exited is closed when the process has exited. From then on err holds the
	// result of Wait.
	exited chan struct{}
	err    error

	mu sync.Mutex
	// lines holds the output so far.
	lines []string
	// startFields holds the fields of the log line that reports the start. Nil until
	// the process has started.
	startFields map[string]any
}

// startProcess starts a program and kills it at the end of the test.
func startProcess(t testing.TB, program string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(programFolder, program), args...), exited: make(chan struct{})}
	// The kernel kills the process if the test process dies. Otherwise it would keep
	// announcing itself to addresses that another test may use later.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := p.cmd.StderrPipe()
	assert.NilError(t, err)
	stdout, err := p.cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.cmd.Start())
	var readers sync.WaitGroup
	readers.Go(func() { p.readLines(stderr) })
	readers.Go(func() { p.readLines(stdout) })
	go func() {
		readers.Wait()
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() { p.kill() })
	return p
}

// readLines reads the process's output and notes the line that reports the start.
func (p *process) readLines(r io.Reader) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line := scanner.Text()
		var fields map[string]any
		isStartLine := json.Unmarshal([]byte(line), &fields) == nil &&
			strings.HasSuffix(fmt.Sprint(fields["msg"]), ": Started.")
		p.mu.Lock()
		p.lines = append(p.lines, line)
		if isStartLine {
			p.startFields = fields
		}
		if addr, found := strings.CutPrefix(line, "listening on "); found {
			p.startFields = map[string]any{"address": addr}
		}
		p.mu.Unlock()
	}
}

// startedAddr returns an address field of the log line that reports the start, and
// reports whether it is there.
func (p *process) startedAddr(name string) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, err := netip.ParseAddrPort(fmt.Sprint(p.startFields[name]))
	return addr, err == nil
}

// output returns the lines that the process has printed so far.
func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// awaitAddr waits until the process has started and returns the listen address in a
// field of the log line that reports the start.
func (p *process) awaitAddr(t testing.TB, name string) netip.AddrPort {
	t.Helper()
	err := coltssystem.Await(conditionTimeout, "the process has started", func() bool {
		_, ok := p.startedAddr(name)
		return ok || p.hasExited()
	})
	assert.NilError(t, err, p.output())
	addr, ok := p.startedAddr(name)
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

// replaceWith makes p refer to the process that was started in its place.
func (p *process) replaceWith(other *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.exited, p.startFields = other.cmd, other.exited, other.startFields
}

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// signal sends a signal to the process.
func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s))
}

// waitExit waits until the process exits and returns its exit status.
func (p *process) waitExit(t testing.TB) int {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(exitTimeout):
		t.Fatalf("the process did not exit: %s", p.output())
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

// runCommand runs a command of the operators' tool with an operator key. It returns
// the combined output and the exit status.
func runCommand(t testing.TB, key string, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(programFolder, "coltsfootstall"), args...)
	cmd.Env = append(os.Environ(), "COLTSFOOTSTALL_OPERATOR_KEY="+key)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// cluster is a small system of processes.
type cluster struct {
	t testing.TB
	// subnet is the number of the cluster's loopback subnet.
	subnet uint32
	folder string
	// control and controlAddr belong to the single control instance. Both are unset
	// if the control instances are a group.
	control     *process
	controlAddr netip.AddrPort
	// controlAddrs is the list of control addresses in the entries' settings: quoted
	// addresses separated by commas.
	controlAddrs string
	entries      []*process
	runners      []*process
	services     []*process
}

// startCluster starts one control instance, entries, runners and one service.
func startCluster(t testing.TB, entries, runners int, runnerFlags ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, subnet: lastSubnet.Add(1), folder: t.TempDir(), controlAddr: coltssystem.Loopback}
	document := filepath.Join(c.folder, "document.jsonc")
	assert.NilError(t, os.WriteFile(document, []byte(coltssystem.Document()), 0o600))
	c.startControl()
	c.controlAddrs = fmt.Sprintf("%q", c.controlAddr)
	for i := range entries {
		c.startEntry(i)
	}
	c.startUpstreams(runners, runnerFlags...)
	return c
}

// startUpstreams starts runners and one service, and waits until every entry knows
// them.
func (c *cluster) startUpstreams(runners int, runnerFlags ...string) {
	c.t.Helper()
	for i := range runners {
		args := append([]string{
			"runner", "--id", fmt.Sprintf("runner-%d", i+1), "--entries", c.upstreamAddrs(),
			"--serving", coltssystem.ModelName + "@" + coltssystem.ModelVersion,
		}, runnerFlags...)
		c.runners = append(c.runners, startProcess(c.t, "coltsstandin", args...))
	}
	c.services = append(c.services, startProcess(c.t, "coltsstandin", "service", "--id", "service-1",
		"--entries", c.upstreamAddrs(), "--service", coltssystem.ServiceName, "--duration", "5ms"))
	c.awaitUpstreams(runners + 1)
}

// startControl starts the control instance. A restart uses the same address.
func (c *cluster) startControl() {
	c.t.Helper()
	c.control = startProcess(c.t, "coltsfootstall", "control", "--settings", settingsFile(c.t, fmt.Sprintf(`{
		"instance": "control-1", "data-centre": %q, "log-json": true,
		"control": {
			"address": %q, "operator-address": "127.0.0.1:0",
			"data-folder": %q, "initial-document": %q,
			"snapshot-every": 50,
		},
	}`, coltssystem.DataCentreName, c.controlAddr, filepath.Join(c.folder, "data"),
		filepath.Join(c.folder, "document.jsonc"))))
	c.controlAddr = c.control.awaitAddr(c.t, "address")
}

// startEntry starts entry i and adds it to the cluster.
func (c *cluster) startEntry(i int) {
	c.t.Helper()
	c.entries = append(c.entries, c.newEntry(i))
}

// firstEntryByte is the last byte of the first entry's IP address.
const firstEntryByte = 100

// loopbackAddr returns the address with this last byte in a loopback subnet. The
// process ID is part of the address, so that test processes that run at the same
// time rarely share addresses.
func loopbackAddr(subnet uint32, lastByte byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(subnet), lastByte})
}

// newEntry starts a process for entry i. A restart uses the same addresses, as it
// does for an instance on the platform, so that upstreams find the entry again.
func (c *cluster) newEntry(i int) *process {
	c.t.Helper()
	ip := loopbackAddr(c.subnet, byte(firstEntryByte+i))
	return startProcess(c.t, "coltsfootstall", "entry", "--settings", settingsFile(c.t, fmt.Sprintf(`{
		"instance": "entry-%d", "data-centre": %q, "log-json": true,
		"entry": {
			"caller-address": "%[3]s:8080", "upstream-address": "%[3]s:8081",
			"peer-address": "%[3]s:8082", "operator-address": "%[3]s:8083",
			"control-addresses": [%[4]s],
			"drain-notice": "100ms",
		},
	}`, i+1, coltssystem.DataCentreName, ip, c.controlAddrs)))
}

// upstreamAddrs returns the addresses where the entries serve upstreams, separated by
// commas.
func (c *cluster) upstreamAddrs() string {
	addrs := make([]string, 0, len(c.entries))
	for _, e := range c.entries {
		addrs = append(addrs, e.awaitAddr(c.t, "upstreams").String())
	}
	return strings.Join(addrs, ",")
}

// callerAddr returns the address where entry i serves callers.
func (c *cluster) callerAddr(i int) netip.AddrPort {
	return c.entries[i].awaitAddr(c.t, "callers")
}

// metric returns the value of a metric of entry i.
func (c *cluster) metric(i int, name string) float64 {
	c.t.Helper()
	return readMetric(c.t, c.entries[i].awaitAddr(c.t, "operators"), name)
}

// readMetric reads the value of a metric from an instance's operator address.
func readMetric(t testing.TB, operatorAddr netip.AddrPort, name string) float64 {
	t.Helper()
	body, _ := httpGet(t, operatorAddr, "/debug/vars")
	var values map[string]any
	assert.NilError(t, json.Unmarshal([]byte(body), &values))
	value, ok := values[name].(float64)
	assert.Assert(t, ok, "no metric named %s", name)
	return value
}

// awaitUpstreams waits until every entry is ready and knows at least n upstreams.
func (c *cluster) awaitUpstreams(n int) {
	c.t.Helper()
	err := coltssystem.Await(conditionTimeout, "every entry knows every upstream", func() bool {
		for i := range c.entries {
			_, status := httpGet(c.t, c.entries[i].awaitAddr(c.t, "operators"), "/ready")
			if status != http.StatusOK || int(c.metric(i, "upstreams")) < n {
				return false
			}
		}
		return true
	})
	assert.NilError(c.t, err)
}

// httpGet returns the body and the status of a GET request, and status 0 if there is
// no response.
func httpGet(t testing.TB, addr netip.AddrPort, path string) (string, int) {
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

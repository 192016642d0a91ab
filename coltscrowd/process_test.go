package coltscrowd

// Starts the program as processes on loopback addresses, with settings of the test's own, and reads
// from the kernel what they use. A crowd is a number of connections that send given bytes and then
// stay open. The checks don't depend on the speed of the machine.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// waitLimit bounds every wait for something that must come.
	waitLimit = 30 * time.Second
	// The ports of the instances. Each test has loopback addresses of its own.
	controlPort  = 7420
	operatorPort = 7421
	servicePort  = 7422
	callerPort   = 7423
	readyPort    = 7424
)

// program is the path of the built program.
var program string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the program, runs the tests and returns the exit status.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "colts-crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "coltsfootstall")
	if out, err := exec.Command("go", "build", "-o", program, "coltsfootstall/cmd/coltsfootstall").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// lastSubnet is the number of the loopback subnet that was last given to a test.
var lastSubnet atomic.Uint32

// newSubnet returns a function for the addresses of a loopback subnet that only this test uses. The ID
// of the test process is part of them, so that two test processes rarely share addresses.
func newSubnet() func(host byte) netip.Addr {
	n := byte(lastSubnet.Add(1))
	return func(host byte) netip.Addr { return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), n, host}) }
}

// process is a running instance.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	log    string
	exited chan struct{}
}

// startProcess starts an instance of a role with the given settings, with the environment that the
// deployment gives to it, and kills it at the end of the test.
func startProcess(t *testing.T, role, settings string) *process {
	t.Helper()
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	p := &process{t: t, cmd: exec.Command(program, role, "--settings", file), log: filepath.Join(dir, "log"), exited: make(chan struct{})}
	log, err := os.Create(p.log)
	assert.NilError(t, err)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), "GOGC=50")
	// The kernel kills the process if the test process dies.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // assertAlive reports that it has ended
		_ = log.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	return p
}

// assertAlive asserts that the process has not ended.
func (p *process) assertAlive() {
	p.t.Helper()
	select {
	case <-p.exited:
		text, _ := os.ReadFile(p.log)
		p.t.Fatalf("the process has ended: %v\n%s", p.cmd.ProcessState, text[max(0, len(text)-4000):])
	default:
	}
}

// peakMemory returns the peak of the process's resident memory in bytes.
func (p *process) peakMemory() int {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	_, text, found := strings.Cut(string(status), "VmHWM:")
	assert.Assert(p.t, found)
	kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
	assert.NilError(p.t, err)
	return kilobytes << 10
}

// descriptors returns the number of the process's open descriptors, 0 if it has ended.
func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

// watchDescriptors samples the number of open descriptors and returns a function that stops it and
// returns the highest.
func (p *process) watchDescriptors() func() int {
	stop, highest := make(chan struct{}), make(chan int)
	go func() {
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		most := 0
		for {
			most = max(most, p.descriptors())
			select {
			case <-stop:
				highest <- most
				return
			case <-ticker.C:
			}
		}
	}()
	return func() int {
		close(stop)
		return <-highest
	}
}

// eventually waits until a condition holds, and fails the test after waitLimit.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !condition(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "timed out waiting for: %s", what)
	}
}

// instances are a control instance, a gateway and a fake upstream that serves every path.
type instances struct {
	t           *testing.T
	control     *process
	gateway     *process
	serviceAddr netip.AddrPort
	callerAddr  netip.AddrPort
}

// limits is the part of the settings of an instance that names the size of its machine.
type limits struct{ memoryMegabytes, descriptors int }

// startInstances starts a control instance and a gateway with limits of their own, and waits until the
// gateway serves both routes of the table.
func startInstances(t *testing.T, control, gateway limits) *instances {
	t.Helper()
	addr := newSubnet()
	c, g := addr(11), addr(101)
	i := &instances{t: t, serviceAddr: netip.AddrPortFrom(c, servicePort), callerAddr: netip.AddrPortFrom(g, callerPort)}
	i.control = startProcess(t, "control", fmt.Sprintf(`{"instance":"control-1","data-centre":"z","memory-megabytes":%d,"descriptors":%d,
"control":{"address":"%[3]s:%[4]d","operator-address":"%[3]s:%[5]d","service-address":%[6]q,"data-folder":%[7]q,"seeds":[%[6]q],"founds":true,"order-wait":"0s"}}`,
		control.memoryMegabytes, control.descriptors, c, controlPort, operatorPort, i.serviceAddr, t.TempDir()))
	i.gateway = startProcess(t, "gateway", fmt.Sprintf(`{"instance":"gateway-1","data-centre":"z","memory-megabytes":%d,"descriptors":%d,
"gateway":{"caller-address":%q,"ready-address":"%[4]s:%[5]d","operator-address":"%[4]s:%[6]d","seeds":[%[7]q],"control-port":%[8]d}}`,
		gateway.memoryMegabytes, gateway.descriptors, i.callerAddr, g, readyPort, operatorPort, i.serviceAddr, controlPort))
	eventually(t, "the route table is acknowledged", func() bool { return i.post("/v1/config/put", routeTable) })
	for _, service := range []string{"app", "llm"} {
		i.report(service, startUpstream(t))
	}
	for _, path := range []string{"/book/", "/once/"} {
		i.assertServed(path, "")
	}
	return i
}

// routeTable has one unsafe and one streaming route, and the limits of requests that are named as those
// of the platform.
const routeTable = `{"version":1,"routes":[
{"name":"book","host":"h.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":15000,"goalMs":300,"priority":1,"service":"app","maxAttempts":2},
{"name":"once","host":"h.example","pathPrefix":"/once/","kind":"streaming","timeoutMs":15000,"goalMs":300,"priority":1,"service":"llm","maxAttempts":3,"gapGoalMs":300}],
"services":[{"name":"app","healthPath":"/health","maxConns":50},{"name":"llm","healthPath":"/health","maxConns":50}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"org","apiKeys":["key-1"],"priority":1}]}`

// post sends a request to control's service address and reports whether it is acknowledged.
func (i *instances) post(path, body string) bool {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Post("http://"+i.serviceAddr.String()+path, "application/json", strings.NewReader(body))
	return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// report reports an upstream of a service to control until the end of the test, and returns when a
// report is acknowledged.
func (i *instances) report(service string, upstream netip.AddrPort) {
	i.t.Helper()
	born, sequence := time.Now().UnixMilli(), 0
	post := func() bool {
		sequence++
		return i.post("/v1/instances/"+service+"-1/heartbeat", fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1",
"slots":8,"state":"ready","coldLeftMs":0,"sequence":%d,"born":%d}`, service, upstream, sequence, born))
	}
	eventually(i.t, "a report is acknowledged", post)
	stop := make(chan struct{})
	i.t.Cleanup(func() { close(stop) })
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				post()
			}
		}
	}()
}

// requestIDs counts the requests, whose IDs must differ.
var requestIDs atomic.Int64

// requestHead returns the head of a POST request of the platform with further header lines.
func requestHead(path string, lines ...string) string {
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Coltsfootstall-Request-Id: crowd-%d\r\n"+
		"X-Coltsfootstall-Deadline-Ms: 12000\r\nAuthorization: Bearer key-1\r\n", path, requestIDs.Add(1))
	return text + strings.Join(append(lines, "\r\n"), "\r\n")
}

// assertServed asserts that an ordinary request with a body is served, on a new connection each time it
// is refused or finds its connection closed.
func (i *instances) assertServed(path, body string) {
	i.t.Helper()
	eventually(i.t, "an ordinary request is answered", func() bool {
		i.gateway.assertAlive()
		status, answer := i.send(requestHead(path, fmt.Sprintf("Content-Length: %d", len(body))) + body)
		return status == http.StatusOK && answer == fmt.Sprintf("got %d bytes", len(body))
	})
}

// send sends the text of a request to the gateway over a new connection and returns the status and body
// of the response, status 0 for none.
func (i *instances) send(text string) (int, string) {
	nc, err := net.Dial("tcp", i.callerAddr.String())
	if err != nil {
		return 0, ""
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(waitLimit)) // an error shows in the response
	_, _ = io.WriteString(nc, text)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, ""
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// startUpstream starts an upstream that responds to each request with the length of its body, and
// returns its address.
func startUpstream(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		w.Header()["X-Coltsfootstall-Request-Id"] = r.Header["X-Coltsfootstall-Request-Id"]
		w.Header().Set("X-Coltsfootstall-Server-Seal", "seal")
		w.Header().Set("Content-Type", "text/plain")
		_, _ = fmt.Fprintf(w, "got %d bytes", n)
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// openCrowd opens n connections to an address at once. Each sends the text that begins returns and then
// repeats a text, up to a number of bytes, and stays open until the end of the test unless the other end
// closes it. It returns when all have sent what they can.
func openCrowd(t *testing.T, addr netip.AddrPort, n int, begin func() string, repeated string, repeatedBytes int) {
	t.Helper()
	var sent sync.WaitGroup
	var conns sync.Map
	t.Cleanup(func() {
		conns.Range(func(nc, _ any) bool { return nc.(net.Conn).Close() == nil || true })
	})
	block := strings.Repeat(repeated, 1+64<<10/max(1, len(repeated)))
	for range n {
		sent.Go(func() {
			nc, err := net.Dial("tcp", addr.String())
			if err != nil {
				return
			}
			conns.Store(nc, nil)
			// A process that reads no more may let a client wait, but not end or exceed its limits.
			_ = nc.SetWriteDeadline(time.Now().Add(waitLimit / 2))
			_, err = io.WriteString(nc, begin())
			for rest := repeatedBytes; rest > 0 && err == nil; rest -= len(block) {
				_, err = io.WriteString(nc, block[:min(rest, len(block))])
			}
		})
	}
	sent.Wait()
}

// metric returns the value of a metric at an operator address.
func metric(t *testing.T, addr netip.AddrPort, name string) float64 {
	t.Helper()
	resp, err := http.Get("http://" + addr.String() + "/debug/vars")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	values := map[string]any{}
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&values))
	value, ok := values[name].(float64)
	assert.Assert(t, ok, "there is no metric %s", name)
	return value
}

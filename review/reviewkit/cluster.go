//go:build review

// Package reviewkit starts the project's control and gateway processes on loopback addresses, and
// provides stand-ins for the platform's operator, runners and consumers.
package reviewkit

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site pos-seedpress that the settings of the processes and the checks use.
const (
	Drain     = 2 * time.Second
	Grace     = 8 * time.Second
	Apply     = 2 * time.Second
	Contact   = 3 * time.Second
	Heartbeat = 1200 * time.Millisecond
)

// Machine is one simulated machine: a loopback address with one process of the system.
type Machine struct {
	Name     string
	Role     string
	IP       string
	settings string
	// disk is the number of the disk that the machine has; each is a folder of its own.
	disk int
	// bootstrap is set while the machine starts together with the whole system for the first time.
	bootstrap bool
	log       *os.File
	cmd       *exec.Cmd
	exited    chan struct{}
}

// Cluster is a small deployment.
type Cluster struct {
	Record   *Record
	Controls []*Machine
	Gateways []*Machine

	dir       string
	binary    string
	port      int
	prefix    string
	seeds     string
	tolerated int
}

// Config configures a cluster.
type Config struct {
	// Binary is the program that the deploy file builds.
	Binary   string
	Record   *Record
	Controls int
	Gateways int
	// Tolerated is the number of control machines that may be lost at once.
	Tolerated int
}

// Ports of a machine, as offsets from the first one.
const (
	portPeers = iota
	portOperator
	portService
	portFront
	portReady
	// PortRunner is the port of the stand-ins.
	PortRunner
	portCount
)

// Start starts the processes.
func Start(cfg Config) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "coltsfootstall-review-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Record: cfg.Record, dir: dir, binary: cfg.Binary, tolerated: cfg.Tolerated}
	c.prefix = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
	if c.port, err = freePorts(c.prefix + ".1"); err != nil {
		return c, err
	}
	for i := range cfg.Controls {
		c.Controls = append(c.Controls, &Machine{Name: fmt.Sprintf("core-%d", i+1), Role: "control", IP: c.Addr(11 + i), bootstrap: true})
	}
	for i := range cfg.Gateways {
		c.Gateways = append(c.Gateways, &Machine{Name: fmt.Sprintf("front-%d", i+1), Role: "gateway", IP: c.Addr(51 + i)})
	}
	c.seeds = c.seedList()
	for _, m := range c.Processes() {
		if err := c.StartProcess(m); err != nil {
			return c, err
		}
	}
	return c, nil
}

// AddControl starts a further control machine, which was not there when the system started.
func (c *Cluster) AddControl() (*Machine, error) {
	n := len(c.Controls)
	m := &Machine{Name: fmt.Sprintf("core-%d", n+1), Role: "control", IP: c.Addr(11 + n)}
	c.Controls = append(c.Controls, m)
	return m, c.StartProcess(m)
}

// RestartEmpty starts the process of a machine that has ended, at its old address with an empty disk.
func (c *Cluster) RestartEmpty(m *Machine) error {
	m.disk++
	return c.StartProcess(m)
}

// Addr returns the address of host n of the cluster's network.
func (c *Cluster) Addr(n int) string { return fmt.Sprintf("%s.%d", c.prefix, n) }

// RunnerPort returns the port on which stand-ins listen.
func (c *Cluster) RunnerPort() int { return c.port + PortRunner }

// freePorts returns the first of several consecutive ports that are free at an address.
func freePorts(ip string) (int, error) {
	for range 50 {
		first := 20000 + rand.IntN(10000)
		free := true
		for i := range portCount {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+i))
			if err != nil {
				free = false
				break
			}
			if ln.Close() != nil {
				free = false
				break
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

// seedList returns the seeds that all machines are told at the first start.
func (c *Cluster) seedList() string {
	var seeds []string
	for _, m := range c.Controls[:min(3, len(c.Controls))] {
		seeds = append(seeds, fmt.Sprintf("%q", c.service(m)))
	}
	return strings.Join(seeds, ",")
}

func (c *Cluster) service(m *Machine) string { return fmt.Sprintf("%s:%d", m.IP, c.port+portService) }

// Front returns the address on which a gateway serves consumers.
func (c *Cluster) Front(m *Machine) string { return fmt.Sprintf("%s:%d", m.IP, c.port+portFront) }

// writeSettings writes what the templates of the deploy file give for a machine.
func (c *Cluster) writeSettings(m *Machine) error {
	var text string
	if m.Role == "control" {
		text = fmt.Sprintf(`{"instance": %q, "data-centre": "laventille", "log-json": true, "control": {
  "address": "%s:%d", "operator-address": "%s:%d", "service-address": "%s:%d", "data-folder": %q,
  "seeds": [%s], "founds": %t, "tolerated-losses": %d, "order-wait": "3000ms", "silent-after": "5s",
  "segment-bytes": 4194304, "snapshot-every": 200}}`,
			m.Name, m.IP, c.port+portPeers, m.IP, c.port+portOperator, m.IP, c.port+portService,
			filepath.Join(c.dir, fmt.Sprintf("%s.data-%d", m.Name, m.disk)), c.seeds, m.bootstrap, c.tolerated)
	} else {
		text = fmt.Sprintf(`{"instance": %q, "data-centre": "laventille", "log-json": true, "gateway": {
  "caller-address": "%s:%d", "ready-address": "%s:%d", "operator-address": "%s:%d", "seeds": [%s],
  "weights-due": "6000ms", "retry-ratio": 0.2, "retry-slack": 52, "retry-window": "10s", "grace": "8s",
  "control-port": %d}}`,
			m.Name, m.IP, c.port+portFront, m.IP, c.port+portReady, m.IP, c.port+portOperator, c.seeds, c.port+portPeers)
	}
	m.settings = filepath.Join(c.dir, m.Name+".jsonc")
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// StartProcess starts the process of a machine with the command of the deploy file.
func (c *Cluster) StartProcess(m *Machine) error {
	err := c.writeSettings(m)
	if err != nil {
		return err
	}
	if m.log == nil {
		if m.log, err = os.Create(filepath.Join(c.dir, m.Name+".log")); err != nil {
			return err
		}
	}
	cmd := exec.Command(c.binary, m.Role, "--settings", m.settings, "--await-settings")
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir}
	if m.Role == "gateway" {
		cmd.Env = append(cmd.Env, "GOGC=50")
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.bootstrap = false
	m.cmd, m.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait() // how it ended does not matter
		close(exited)
	}(m.exited)
	c.Record.Logf("start %s", m.Name)
	return nil
}

// Signal sends a signal to the process of a machine.
func (c *Cluster) Signal(m *Machine, s syscall.Signal) {
	c.Record.Logf("signal %s to %s", s, m.Name)
	_ = m.cmd.Process.Signal(s) // the process may have ended
}

// Exited returns a channel that is closed when the process of a machine has ended.
func (m *Machine) Exited() <-chan struct{} { return m.exited }

// Log returns what the processes of a machine have written.
func (m *Machine) Log() string {
	content, err := os.ReadFile(m.log.Name())
	if err != nil {
		return ""
	}
	return string(content)
}

// Stop ends all processes and removes the folder.
func (c *Cluster) Stop() {
	for _, m := range c.Processes() {
		if m.cmd == nil {
			continue
		}
		_ = m.cmd.Process.Kill() // the process may have ended
		<-m.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir) // a folder that is left over does no harm
	} else {
		fmt.Println("kept", c.dir)
	}
}

// client calls control. Its timeout is that of the platform's callers.
var client = &http.Client{Timeout: time.Second}

// Call sends an order of the operator to the control machines in turn until one accepts it. It
// returns an error for a 4xx, or if none accepts it in time.
func (c *Cluster) Call(path, body string, within time.Duration) error {
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		m := c.Controls[i%len(c.Controls)]
		resp, err := client.Post("http://"+c.service(m)+path, "application/json", strings.NewReader(body))
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			c.Record.Logf("operator %s acknowledged by %s", path, m.Name)
			return nil
		}
		if resp.StatusCode < 500 && resp.StatusCode != 408 && resp.StatusCode != 429 {
			return fmt.Errorf("%s: status %d: %s", path, resp.StatusCode, text)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s was not acknowledged within %s", path, within)
}

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Logf adds a line with the time since the start.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Processes returns all machines of the cluster.
func (c *Cluster) Processes() []*Machine {
	return append(append([]*Machine{}, c.Controls...), c.Gateways...)
}

// ReadConfig reads the config back from the control machines in turn. It returns the first 200, or the last
// other answer when the time is over.
func (c *Cluster) ReadConfig(within time.Duration) (string, error) {
	deadline := time.Now().Add(within)
	last := errors.New("no answer")
	for i := 0; time.Now().Before(deadline); i++ {
		m := c.Controls[i%len(c.Controls)]
		resp, err := client.Get("http://" + c.service(m) + "/v1/config/get")
		if err == nil {
			text, readErr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK && readErr == nil {
				return string(text), nil
			}
			err = fmt.Errorf("%s answered status %d: %s", m.Name, resp.StatusCode, text)
		}
		last = err
		time.Sleep(200 * time.Millisecond)
	}
	return "", last
}

// Descriptors returns the number of open descriptors of a machine's process.
func (m *Machine) Descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}

// Ready asks a gateway whether it is ready, on a kept channel, as the platform does once a second.
func (c *Cluster) Ready(m *Machine) bool {
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", m.IP, c.port+portReady))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

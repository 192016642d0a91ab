//go:build review

package main

// The processes of a small deployment: control instances that form a group from seeds, and gateways.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// contactTime and versionTime are the bounds contactMs and versionMs.
	contactTime = 3 * time.Second
	versionTime = 6 * time.Second
	// program is what the build line of the deploy file makes.
	program = "target/coltsfootstall"
)

// process is one instance of the project's program.
type process struct {
	name     string
	role     string
	ip       string
	settings string
	env      []string
	cmd      *exec.Cmd
	log      *os.File
	// ended is closed when the process has ended. killed is set before it is ended here.
	ended  chan struct{}
	killed atomic.Bool
}

// cluster is the deployment and the record of the case.
type cluster struct {
	dir       string
	startedAt time.Time
	controls  []*process
	gateways  []*process
	// peerPort is the first port of the range between instances, operatorPort the second. servicePort is where
	// control serves the platform, frontPort and readyPort where gateways do.
	peerPort, operatorPort, servicePort, frontPort, readyPort int
	client                                                    *http.Client

	mu      sync.Mutex
	record  *os.File
	runners []*runner
	closed  bool
}

func newCluster(file string) (*cluster, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	record, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, startedAt: time.Now(), record: record, client: &http.Client{
		Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	ports := freePorts(5)
	c.peerPort, c.operatorPort, c.servicePort, c.frontPort, c.readyPort = ports[0], ports[1], ports[2], ports[3], ports[4]
	return c, nil
}

// freePorts returns ports that are free on all loopback addresses. They are below those that the system gives to
// clients, which could take one before it is used here.
func freePorts(n int) []int {
	const lowest, count = 12000, 16000
	var ports []int
	for len(ports) < n {
		port := lowest + rand.IntN(count)
		ln, err := net.Listen("tcp4", fmt.Sprintf("0.0.0.0:%d", port))
		if err != nil || slices.Contains(ports, port) {
			continue
		}
		_ = ln.Close()
		ports = append(ports, port)
	}
	return ports
}

// logf writes a line to the record.
func (c *cluster) logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func controlIP(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }
func gatewayIP(i int) string { return fmt.Sprintf("127.0.0.%d", 31+i) }

func (c *cluster) seeds() []string {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", controlIP(i), c.servicePort))
	}
	return seeds
}

// start starts n control instances, of which failures may be lost, and m gateways.
func (c *cluster) start(n, failures, m int) error {
	for i := range n {
		ip := controlIP(i)
		p := &process{name: fmt.Sprintf("core-%d", i+1), role: "control", ip: ip}
		p.settings = c.write(p.name, map[string]any{
			"instance": p.name, "data-centre": "z1", "log-json": true, "memory-megabytes": 280, "descriptors": 4096,
			"control": map[string]any{
				"address": fmt.Sprintf("%s:%d", ip, c.peerPort), "operator-address": fmt.Sprintf("%s:%d", ip, c.operatorPort),
				"service-address": fmt.Sprintf("%s:%d", ip, c.servicePort), "data-folder": filepath.Join(c.dir, p.name),
				"seeds": c.seeds(), "founds": true, "tolerated-losses": failures, "order-wait": "3000ms", "await-commit": false,
				"silent-after": "5s", "segment-bytes": 4194304, "snapshot-every": 200,
			},
		})
		c.controls = append(c.controls, p)
	}
	for i := range m {
		ip := gatewayIP(i)
		p := &process{name: fmt.Sprintf("front-%d", i+1), role: "gateway", ip: ip, env: []string{"GOGC=50"}}
		p.settings = c.write(p.name, map[string]any{
			"instance": p.name, "data-centre": "z1", "log-json": true, "memory-megabytes": 134, "descriptors": 4100,
			"gateway": map[string]any{
				"caller-address": fmt.Sprintf("%s:%d", ip, c.frontPort), "ready-address": fmt.Sprintf("%s:%d", ip, c.readyPort),
				"operator-address": fmt.Sprintf("%s:%d", ip, c.operatorPort), "seeds": c.seeds(), "load-estimate": "averaged",
				"weights-due": "6000ms", "retry-ratio": 0.2, "retry-slack": 58, "retry-window": "10s", "grace": "8s",
				"control-port": c.peerPort,
			},
		})
		c.gateways = append(c.gateways, p)
	}
	for _, p := range slices.Concat(c.controls, c.gateways) {
		if err := c.run(p); err != nil {
			return err
		}
	}
	return nil
}

// write writes the settings of an instance and returns the name of the file.
func (c *cluster) write(name string, settings map[string]any) string {
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		panic(err)
	}
	file := filepath.Join(c.dir, name+".jsonc")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		panic(err)
	}
	return file
}

// run starts a process with the command of its role in the deploy file.
func (c *cluster) run(p *process) error {
	var err error
	if p.log == nil {
		if p.log, err = os.Create(filepath.Join(c.dir, p.name+".log")); err != nil {
			return err
		}
	}
	p.cmd = exec.Command(program, p.role, "--settings", p.settings, "--await-settings")
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	c.logf("start %s", p.name)
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.killed.Store(false)
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		if !p.killed.Load() {
			c.logf("%s has ended by itself: %v", p.name, err)
		}
		close(ended)
	}(p.cmd, p.ended)
	return nil
}

// kill ends a process and waits for its end.
func (p *process) kill() {
	if p.ended == nil {
		return
	}
	p.killed.Store(true)
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// check returns an error if a process has ended by itself.
func (c *cluster) check() error {
	for _, p := range slices.Concat(c.controls, c.gateways) {
		select {
		case <-p.ended:
			return fmt.Errorf("%s has ended by itself", p.name)
		default:
		}
	}
	return nil
}

// restart kills a process and starts it again after a pause.
func (c *cluster) restart(p *process, pause time.Duration) error {
	c.logf("kill %s", p.name)
	p.kill()
	time.Sleep(pause)
	return c.run(p)
}

// close ends all that was started.
func (c *cluster) close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	runners := c.runners
	c.mu.Unlock()
	for _, r := range runners {
		r.stop()
	}
	for _, p := range slices.Concat(c.controls, c.gateways) {
		p.kill()
	}
	if keep := os.Getenv("RIG3_LOGS"); keep != "" {
		for _, p := range slices.Concat(c.controls, c.gateways) {
			if text, err := os.ReadFile(p.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(keep, p.name+".log"), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(c.dir)
}

// post sends a call of the platform to control, to one instance after the other, until one gives a 2xx.
func (c *cluster) post(path string, body any, deadline time.Time) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	for i := 0; time.Now().Before(deadline); i++ {
		url := fmt.Sprintf("http://%s:%d%s", controlIP(i%len(c.controls)), c.servicePort, path)
		resp, err := c.client.Post(url, "application/json", bytes.NewReader(text))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("no confirmation of %s", path)
}

// await waits until all gateways report themselves ready.
func (c *cluster) await(deadline time.Time) error {
	for _, p := range c.gateways {
		for {
			resp, err := c.client.Get(fmt.Sprintf("http://%s:%d/v1/ready", p.ip, c.readyPort))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

//go:build review

// Package rig2 starts a small deployment of the project's programs as separate processes on loopback
// addresses, with stand-ins for the platform's runners and operator, for the cases 6 and later.
package rig2

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ExitHeld, ExitBroken and ExitUnusable are the exit codes of a case.
const (
	ExitHeld     = 0
	ExitBroken   = 1
	ExitUnusable = 2
)

// Bounds are the bounds of the site that a case names.
type Bounds struct {
	LeaseMs, VersionMs, RetrySlack, RetryWindowS, GraceS int
	RetryRatio                                           float64
	// EvacuateMs is 0 for a site without this bound; ColdExcess and ColdSlack belong to it.
	EvacuateMs, ColdSlack int
	ColdExcess            float64
	// FrontMemoryMb and CoreMemoryMb are the machines' memory.
	FrontMemoryMb, CoreMemoryMb int
}

// Rig is a deployment with its record.
type Rig struct {
	// Trouble is false if the case runs without its disruption.
	Trouble bool

	bounds   Bounds
	dir      string
	binary   string
	prefix   string
	ports    ports
	controls int

	mu     sync.Mutex
	record *os.File
	began  time.Time
	procs  map[string]*process
}

type ports struct{ control, operator, service, front, ready int }

type process struct {
	cmd    *exec.Cmd
	ended  chan struct{}
	frozen bool
}

// New returns a rig without processes. The binary is the one of the deploy file's build, below the current
// folder; record.txt is written into the case's folder.
func New(caseDir string, controls int, b Bounds) (*Rig, error) {
	binary, err := filepath.Abs("target/coltsfootstall")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("build the deploy file first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	r := &Rig{
		Trouble: os.Getenv("TROUBLE") != "0", bounds: b, dir: dir, binary: binary, controls: controls,
		prefix: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%64, os.Getpid()/64%256),
		record: record, began: time.Now(), procs: map[string]*process{},
	}
	if r.ports, err = r.freePorts(); err != nil {
		return nil, err
	}
	r.Note("trouble %v", r.Trouble)
	return r, nil
}

// freePorts returns ports that are free on all addresses of the deployment.
func (r *Rig) freePorts() (ports, error) {
	var p ports
	for _, port := range []*int{&p.control, &p.operator, &p.service, &p.front, &p.ready} {
		l, err := net.Listen("tcp", r.ControlIP(0)+":0")
		if err != nil {
			return p, err
		}
		*port = l.Addr().(*net.TCPAddr).Port
		defer l.Close()
	}
	return p, nil
}

// Note writes a line with the time since the start to the record.
func (r *Rig) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Seconds returns the time since the start of the case.
func (r *Rig) Seconds() float64 { return time.Since(r.began).Seconds() }

// ControlIP returns the address of a control instance, from 0.
func (r *Rig) ControlIP(i int) string { return fmt.Sprintf("%s.%d", r.prefix, 10+i) }

func (r *Rig) gatewayIP(i int) string { return fmt.Sprintf("%s.%d", r.prefix, 100+i) }

// RunnerIP returns the address of a runner or store stand-in, from 0.
func (r *Rig) RunnerIP(i int) string { return fmt.Sprintf("%s.%d", r.prefix, 150+i) }

// Service returns the address at which a control instance serves runners and the operator.
func (r *Rig) Service(i int) string { return fmt.Sprintf("%s:%d", r.ControlIP(i), r.ports.service) }

// Services returns the addresses of all control instances.
func (r *Rig) Services() []string {
	var all []string
	for i := range r.controls {
		all = append(all, r.Service(i))
	}
	return all
}

// Front returns the address at which a gateway serves consumers.
func (r *Rig) Front(i int) string { return fmt.Sprintf("%s:%d", r.gatewayIP(i), r.ports.front) }

// Ready returns the address of a gateway's readiness check.
func (r *Rig) Ready(i int) string { return fmt.Sprintf("%s:%d", r.gatewayIP(i), r.ports.ready) }

func (r *Rig) seeds() string {
	var seeds []string
	for i := range min(3, r.controls) {
		seeds = append(seeds, fmt.Sprintf("%q", r.Service(i)))
	}
	return strings.Join(seeds, ",")
}

// StartControl starts a control instance with the settings of deploy/control.jsonc.
func (r *Rig) StartControl(i int, zone string, founds bool) error {
	name := fmt.Sprintf("core-%d", i)
	var s strings.Builder
	fmt.Fprintf(&s, "{\n  \"instance\": %q,\n  \"data-centre\": %q,\n  \"log-json\": true,\n", name, zone)
	fmt.Fprintf(&s, "  \"memory-megabytes\": %d,\n  \"descriptors\": 4096,\n  \"control\": {\n", r.bounds.CoreMemoryMb)
	fmt.Fprintf(&s, "    \"address\": \"%s:%d\",\n", r.ControlIP(i), r.ports.control)
	fmt.Fprintf(&s, "    \"operator-address\": \"%s:%d\",\n", r.ControlIP(i), r.ports.operator)
	fmt.Fprintf(&s, "    \"service-address\": %q,\n", r.Service(i))
	fmt.Fprintf(&s, "    \"data-folder\": %q,\n    \"seeds\": [%s],\n", filepath.Join(r.dir, name), r.seeds())
	if founds {
		s.WriteString("    \"founds\": true,\n")
	}
	fmt.Fprintf(&s, "    \"tolerated-losses\": 2,\n    \"order-wait\": \"%dms\",\n", r.bounds.LeaseMs)
	if r.bounds.EvacuateMs == 0 {
		s.WriteString("    \"await-commit\": false,\n")
	} else {
		fmt.Fprintf(&s, "    \"cold-excess\": %v,\n    \"cold-slack\": %d,\n", r.bounds.ColdExcess, r.bounds.ColdSlack)
	}
	s.WriteString("    \"silent-after\": \"5s\",\n    \"segment-bytes\": 4194304,\n    \"snapshot-every\": 200\n  }\n}\n")
	return r.start(name, "control", s.String(), nil)
}

// StartGateway starts a gateway with the settings of deploy/gateway.jsonc.
func (r *Rig) StartGateway(i int, zone string) error {
	name := fmt.Sprintf("front-%d", i)
	var s strings.Builder
	fmt.Fprintf(&s, "{\n  \"instance\": %q,\n  \"data-centre\": %q,\n  \"log-json\": true,\n", name, zone)
	fmt.Fprintf(&s, "  \"memory-megabytes\": %d,\n  \"descriptors\": 4100,\n  \"gateway\": {\n", r.bounds.FrontMemoryMb)
	fmt.Fprintf(&s, "    \"caller-address\": %q,\n    \"ready-address\": %q,\n", r.Front(i), r.Ready(i))
	fmt.Fprintf(&s, "    \"operator-address\": \"%s:%d\",\n", r.gatewayIP(i), r.ports.operator)
	fmt.Fprintf(&s, "    \"seeds\": [%s],\n    \"load-estimate\": \"averaged\",\n", r.seeds())
	fmt.Fprintf(&s, "    \"weights-due\": \"%dms\",\n    \"retry-ratio\": %v,\n", r.bounds.VersionMs, r.bounds.RetryRatio)
	fmt.Fprintf(&s, "    \"retry-slack\": %d,\n    \"retry-window\": \"%ds\",\n", r.bounds.RetrySlack, r.bounds.RetryWindowS)
	fmt.Fprintf(&s, "    \"grace\": \"%ds\",\n", r.bounds.GraceS)
	if r.bounds.ColdExcess > 0 {
		s.WriteString("    \"load-report\": \"prefill\",\n")
	}
	fmt.Fprintf(&s, "    \"control-port\": %d\n  }\n}\n", r.ports.control)
	return r.start(name, "gateway", s.String(), []string{"GOGC=50"})
}

func (r *Rig) start(name, role, settings string, env []string) error {
	file := filepath.Join(r.dir, name+".jsonc")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(r.binary, role, "--settings", file, "--await-settings")
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	r.mu.Lock()
	r.procs[name] = p
	r.mu.Unlock()
	r.Note("%s starts", name)
	return nil
}

// Signal sends a signal to a process that this rig started.
func (r *Rig) Signal(name string, s syscall.Signal) error {
	r.mu.Lock()
	p := r.procs[name]
	r.mu.Unlock()
	r.Note("%s gets %v", name, s)
	return p.cmd.Process.Signal(s)
}

// Ended reports whether a process has ended.
func (r *Rig) Ended(name string) bool {
	r.mu.Lock()
	p := r.procs[name]
	r.mu.Unlock()
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// PeakMemoryMb returns the greatest resident memory of a process so far.
func (r *Rig) PeakMemoryMb(name string) int {
	r.mu.Lock()
	p := r.procs[name]
	r.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			var kb int
			_, _ = fmt.Sscan(rest, &kb)
			return kb / 1024
		}
	}
	return 0
}

// Log returns what a process has written.
func (r *Rig) Log(name string) string {
	text, _ := os.ReadFile(filepath.Join(r.dir, name+".log"))
	return string(text)
}

// Stop ends all processes and removes the temporary folder, unless KEEP is set.
func (r *Rig) Stop() {
	r.mu.Lock()
	procs := make([]*process, 0, len(r.procs))
	for _, p := range r.procs {
		procs = append(procs, p)
	}
	r.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range procs {
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
}

// Run runs a case and exits with its code. A case that takes too long can't run.
func (r *Rig) Run(limit time.Duration, run func() (broken bool, err error)) {
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run()
		done <- result{broken, err}
	}()
	res := result{err: fmt.Errorf("the case took more than %s", limit)}
	select {
	case res = <-done:
	case <-time.After(limit):
	}
	code := ExitHeld
	switch {
	case res.err != nil:
		code = ExitUnusable
		r.Note("the case could not run: %v", res.err)
		fmt.Println("could not run:", res.err)
	case res.broken:
		code = ExitBroken
		r.Note("the rule was broken")
		fmt.Println("the rule was broken")
	default:
		r.Note("the rule held")
		fmt.Println("the rule held")
	}
	r.Stop()
	os.Exit(code)
}

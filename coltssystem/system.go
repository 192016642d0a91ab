// Package coltssystem runs a small but complete system in one process on the
// loopback interface: a control instance, entries, and simulated upstreams
// (package coltsstandin). The tests, coltstry and coltsload use it.
package coltssystem

// Every listener uses a port chosen by the kernel, so ports need no cleanup and
// several systems can run at the same time.

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltscontrol"
	"coltsfootstall/coltsentry"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsproxy"
	"coltsfootstall/coltssettings"
	"coltsfootstall/coltsstandin"
)

// Loopback is the listen address of every server: 127.0.0.1 with a port chosen
// by the kernel.
var Loopback = netip.MustParseAddrPort("127.0.0.1:0")

const (
	// announcePeriod is the interval between a simulated upstream's announcements.
	announcePeriod = 200 * time.Millisecond
	// readyTimeout is the maximum time that Start waits for the system to be ready.
	readyTimeout = 20 * time.Second
	// pollPeriod is the interval at which Await checks its condition.
	pollPeriod = 10 * time.Millisecond
)

// Config configures a System.
type Config struct {
	// DataFolder is the folder for the control instance's state.
	DataFolder string
	// Document is the initial configuration document. Empty means Document().
	Document string
	// Entries, Runners, Stores and Services are the numbers of entries and of simulated
	// upstreams to start.
	Entries  int
	Runners  int
	Stores   int
	Services int
	// Runner, Store and Service are the templates for the simulated upstreams of
	// each kind. Start sets their identities and addresses, and what each of them serves.
	Runner  coltsstandin.RunnerConfig
	Store   coltsstandin.StoreConfig
	Service coltsstandin.ServiceConfig
	// Proxied puts a fault-injecting proxy in front of each runner and service.
	Proxied bool
	// AdjustSettings, if not nil, changes the settings of entry i before it starts.
	AdjustSettings func(i int, s *coltssettings.Settings)
	// Dial opens the entries' connections to upstreams; nil for TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Log receives the log lines of control and entries. Nil discards them.
	Log *coltslog.Log
}

// System is a running system.
type System struct {
	Control  *coltscontrol.Control
	Entries  []*coltsentry.Entry
	Runners  []*coltsstandin.Runner
	Stores   []*coltsstandin.Store
	Services []*coltsstandin.Service
	// Proxies holds the fault-injecting proxy of each proxied upstream.
	Proxies map[coltsidentity.Upstream]*coltsproxy.Proxy
	cfg     Config
}

// Keys and names used in Document: the keys of its organisations and operators,
// the model with its version, the service and the data centre.
const (
	KeySeedPaper     = "key-of-seed-paper"
	KeySaltRoad      = "key-of-salt-road"
	OperatorKeyAmina = "operator-key-of-amina"
	OperatorKeyBerk  = "operator-key-of-berk"
	ModelName        = "batch-writer"
	ModelVersion     = "w1"
	ServiceName      = "press"
	DataCentreName   = "data-centre-1"
)

// KeyDigest returns the SHA-256 digest of a key in hex, the form that the document uses.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Document returns a small document with two organisations and two operators.
func Document() string {
	return fmt.Sprintf(`{
  "organisations": [
    {"id": "seed-paper", "key-digests": [%q], "models": [{"model": %q}], "services": [%q], "weight": 2},
    {"id": "salt-road", "key-digests": [%q], "models": [{"model": %q}], "services": [%q], "weight": 1}
  ],
  "models": [{"id": %q, "current": %q, "versions": [%q]}],
  "pricing": {
    "models": [{"model": %q, "computed-micros": 400, "reused-micros": 40, "generated-micros": 1200}],
    "services": [{"service": %q, "micros": 250000}]
  },
  "upstreams": {"trusted": [
    {"network": "127.0.0.0/8", "kind": "runner", "data-centre": %[12]q, "checks-fencing": true},
    {"network": "127.0.0.0/8", "kind": "store", "data-centre": %[12]q},
    {"network": "127.0.0.0/8", "kind": "service", "data-centre": %[12]q}
  ]},
  "objectives": [{"name": "first-token", "first-token": "460ms", "per-mille": 950}],
  "operators": [
    {"id": "amina", "key-digest": %[13]q, "sections": ["organisations", "models", "pricing", "upstreams", "objectives", "operators"]},
    {"id": "berk", "key-digest": %[14]q, "sections": ["organisations", "models", "pricing", "upstreams", "objectives", "operators"]}
  ]
}`,
		KeyDigest(KeySeedPaper), ModelName, ServiceName,
		KeyDigest(KeySaltRoad), ModelName, ServiceName,
		ModelName, ModelVersion, ModelVersion,
		ModelName, ServiceName, DataCentreName,
		KeyDigest(OperatorKeyAmina), KeyDigest(OperatorKeyBerk))
}

// Start starts the system and waits until every entry is ready and knows every
// upstream. On an error it stops what it has started.
func Start(cfg Config) (*System, error) {
	if cfg.Log == nil {
		cfg.Log = coltslog.Discard()
	}
	if cfg.Document == "" {
		cfg.Document = Document()
	}
	s := &System{cfg: cfg, Proxies: map[coltsidentity.Upstream]*coltsproxy.Proxy{}}
	for _, step := range []func() error{s.startControl, s.startEntries, s.startStandins, s.waitReady} {
		if err := step(); err != nil {
			s.Stop()
			return nil, err
		}
	}
	return s, nil
}

func (s *System) startControl() error {
	settings := coltssettings.Default()
	settings.Instance = "control-1"
	settings.DataCentre = DataCentreName
	settings.Control.Addr = Loopback
	settings.Control.OperatorAddr = Loopback
	settings.Control.DataFolder = s.cfg.DataFolder
	control, err := coltscontrol.New(coltscontrol.Config{
		Settings:        settings,
		Log:             s.cfg.Log,
		InitialDocument: []byte(s.cfg.Document),
	})
	if err != nil {
		return err
	}
	s.Control = control
	return control.Start()
}

func (s *System) startEntries() error {
	for i := range s.cfg.Entries {
		entry, err := s.startEntry(i)
		if err != nil {
			return err
		}
		s.Entries = append(s.Entries, entry)
	}
	return nil
}

func (s *System) startEntry(i int) (*coltsentry.Entry, error) {
	settings := coltssettings.Default()
	settings.Instance = fmt.Sprintf("entry-%d", i+1)
	settings.DataCentre = DataCentreName
	settings.Entry.CallerAddr = Loopback
	settings.Entry.UpstreamAddr = Loopback
	settings.Entry.PeerAddr = Loopback
	settings.Entry.OperatorAddr = Loopback
	settings.Entry.ControlAddrs = []netip.AddrPort{s.Control.Addr()}
	settings.Entry.DrainNotice = 0
	if s.cfg.AdjustSettings != nil {
		s.cfg.AdjustSettings(i, &settings)
	}
	entry, err := coltsentry.New(coltsentry.Config{Settings: settings, Log: s.cfg.Log, Dial: s.cfg.Dial})
	if err != nil {
		return nil, err
	}
	return entry, entry.Start()
}

func (s *System) startStandins() error {
	for i := range s.cfg.Runners {
		c := s.cfg.Runner
		c.Config = s.standinConfig("runner", i)
		c.Serving = []coltsfleet.ModelVersion{{Model: ModelName, Version: ModelVersion}}
		r, err := coltsstandin.StartRunner(c)
		if err != nil {
			return err
		}
		s.Runners = append(s.Runners, r)
	}
	for i := range s.cfg.Stores {
		c := s.cfg.Store
		c.Config = s.standinConfig("store", i)
		store, err := coltsstandin.StartStore(c)
		if err != nil {
			return err
		}
		s.Stores = append(s.Stores, store)
	}
	for i := range s.cfg.Services {
		c := s.cfg.Service
		c.Config = s.standinConfig("service", i)
		c.Service = ServiceName
		service, err := coltsstandin.StartService(c)
		if err != nil {
			return err
		}
		s.Services = append(s.Services, service)
	}
	return nil
}

func (s *System) standinConfig(kind string, i int) coltsstandin.Config {
	cfg := coltsstandin.Config{
		ID:             coltsidentity.Upstream(fmt.Sprintf("%s-%d", kind, i+1)),
		DataCentre:     DataCentreName,
		Addr:           Loopback,
		AnnouncePeriod: announcePeriod,
	}
	for _, e := range s.Entries {
		cfg.Entries = append(cfg.Entries, e.UpstreamAddr())
	}
	if s.cfg.Proxied && kind != "store" {
		cfg.Advertise = func(addr netip.AddrPort) netip.AddrPort { return s.proxy(cfg.ID, addr) }
	}
	return cfg
}

// proxy starts a proxy in front of an upstream and returns the proxy's address.
func (s *System) proxy(id coltsidentity.Upstream, target netip.AddrPort) netip.AddrPort {
	p, err := coltsproxy.Start(coltsproxy.Config{Addr: Loopback, Target: target})
	if err != nil {
		// Fall back to the upstream's own address: a test that needs the proxy
		// then fails because it is missing.
		return target
	}
	s.Proxies[id] = p
	return p.Addr()
}

// waitReady waits until every entry is ready and knows every upstream.
func (s *System) waitReady() error {
	upstreams := len(s.Runners) + len(s.Stores) + len(s.Services)
	return Await(readyTimeout, "every entry knows every upstream", func() bool {
		for _, e := range s.Entries {
			if !e.Ready() || e.Upstreams() < upstreams {
				return false
			}
		}
		return true
	})
}

// Await polls holds until it returns true. After timeout it returns an error that
// contains condition, a clause such as "every entry is ready".
func Await(timeout time.Duration, condition string, holds func() bool) error {
	deadline := time.Now().Add(timeout)
	for !holds() {
		if time.Now().After(deadline) {
			return errors.Errorf("condition %q not met within %v", condition, timeout)
		}
		time.Sleep(pollPeriod)
	}
	return nil
}

// Stop stops all parts of the system, entries first. It ignores shutdown errors,
// because no caller can act on them.
func (s *System) Stop() {
	for _, e := range s.Entries {
		_ = e.Shutdown()
	}
	for _, r := range s.Runners {
		_ = r.Close()
	}
	for _, st := range s.Stores {
		_ = st.Close()
	}
	for _, sv := range s.Services {
		_ = sv.Close()
	}
	for _, p := range s.Proxies {
		p.Close()
	}
	if s.Control != nil {
		_ = s.Control.Shutdown()
	}
}

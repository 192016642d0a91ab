package coltsstandin

// A service counts the calls of each idempotency key, so that a test can check whether a
// call ran twice.

import (
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
)

// ServiceConfig configures a service.
type ServiceConfig struct {
	Config
	// Service is the name of the service, which several upstreams may share.
	Service coltsidentity.Service
	// Duration is how long a call takes.
	Duration time.Duration
}

// Service is a stand-in for a plain service.
type Service struct {
	base
	faultSwitches
	service ServiceConfig
	runs    runCounter
}

// runCounter counts the calls that ran, by idempotency key.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// add counts a call and returns how many ran with its key, including this one.
func (c *runCounter) add(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[key]++
	return c.runs[key]
}

func (c *runCounter) copy() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := make(map[string]int, len(c.runs))
	for k, n := range c.runs {
		runs[k] = n
	}
	return runs
}

// StartService starts a service.
func StartService(cfg ServiceConfig) (*Service, error) {
	s := &Service{service: cfg, runs: runCounter{runs: map[string]int{}}}
	err := s.start(cfg.Config, s.serve, func() coltsfleet.Announcement {
		a := announcementOf(coltsdocument.KindService)
		a.Service = cfg.Service
		return a
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Runs returns how many calls ran with each idempotency key.
func (s *Service) Runs() map[string]int {
	return s.runs.copy()
}

func (s *Service) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathFaults:
		serveFaults(ctx, &s.faultSwitches)
	case PathRuns:
		writeJSON(ctx, s.Runs())
	default:
		s.serveCall(ctx, s.Faults())
	}
}

func (s *Service) serveCall(ctx *fasthttp.RequestCtx, faults Faults) {
	if faults.Refuse {
		refuse(ctx, "busy")
		return
	}
	time.Sleep(faults.slowed(s.service.Duration))
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	runs := s.runs.add(key)
	if faults.DropAnswer {
		// The connection is closed on purpose, so an error doesn't matter.
		_ = ctx.Conn().Close()
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString(fmt.Sprintf(`{"service":"%s","path":"%s","runs":%d}`+"\n", s.service.Service, ctx.Path(), runs))
}

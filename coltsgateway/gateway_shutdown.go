package coltsgateway

// On shutdown, a gateway first fails its readiness check but keeps serving until the load
// balancer has noticed. Then it accepts what is waiting at its listener and nothing more, serves
// the requests that have reached it, closes the connections, and stops before its grace period
// ends. Requests that come late on kept connections are taken only if they end by then, and those
// that are still being served then are answered that their outcome is not known.

import (
	"time"

	"coltsfootstall/coltsdrain"
	"coltsfootstall/coltslog"
)

const (
	// drainDelay is how long new connections are accepted after the readiness check begins to
	// fail. The load balancer checks once a second and acts on the second failure.
	drainDelay = 2500 * time.Millisecond
	// maxDrainShare is the largest share of the grace period that this may take.
	maxDrainShare = 0.4
	// exitMargin is how long before the end of the grace period the process stops, so that it
	// exits by itself instead of being killed.
	exitMargin = 300 * time.Millisecond
	// lastAnswersTimeout bounds the wait for the answers that are sent at the end. It is shorter than
	// exitMargin.
	lastAnswersTimeout = 150 * time.Millisecond
)

// Shutdown stops the instance gracefully.
func (g *Gateway) Shutdown() error {
	grace := g.settings.ShutdownGracePeriod
	notice := min(drainDelay, time.Duration(maxDrainShare*float64(grace)))
	endBy := g.now().Add(grace - exitMargin)
	g.drainPlan.Store(&coltsdrain.Plan{LateFrom: g.now().Add(notice + closeLinger), EndBy: endBy})
	g.log.Info("Stopping.", coltslog.Fields{
		"connections": g.openConns.count(), "end-by": endBy.Format(time.RFC3339Nano),
	})
	time.Sleep(notice)
	_ = g.callerListener.Close() // on an error too, no further connections are accepted
	g.accepting.Wait()
	g.closing.Store(true)
	g.openConns.closeIdle()
	done := make(chan struct{})
	go func() {
		g.callers.Wait()
		close(done)
	}()
	timer := time.NewTimer(endBy.Sub(g.now()))
	defer timer.Stop()
	timedOut := false
	select {
	case <-done:
	case <-timer.C:
		timedOut = true
	}
	g.stop()
	timer.Reset(lastAnswersTimeout)
	select {
	case <-done:
	case <-timer.C:
	}
	g.pool.CloseIdle()
	g.log.Info("Stopped.", coltslog.Fields{"cut-short": timedOut})
	return nil
}

// isDraining reports whether the instance is being stopped.
func (g *Gateway) isDraining() bool { return g.drainPlan.Load() != nil }

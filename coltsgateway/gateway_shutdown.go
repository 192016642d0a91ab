package coltsgateway

// On shutdown, a gateway first fails its readiness check but keeps serving until the load
// balancer has noticed. Then it closes idle connections, lets responses in progress finish,
// and stops before its grace period ends.

import (
	"time"

	"coltsfootstall/coltslog"
)

const (
	// drainDelay is how long new connections are accepted after the readiness check begins to
	// fail. The load balancer checks once a second and acts on the second failure.
	drainDelay = 2500 * time.Millisecond
	// exitMargin is how long before the end of the grace period the process stops, so that it
	// exits by itself instead of being killed.
	exitMargin = 300 * time.Millisecond
)

// Shutdown stops the instance gracefully.
func (g *Gateway) Shutdown() error {
	endBy := g.now().Add(g.settings.ShutdownGracePeriod - exitMargin)
	g.draining.Store(true)
	g.log.Info("Stopping.", coltslog.Fields{
		"connections": g.openConns.count(), "end-by": endBy.Format(time.RFC3339Nano),
	})
	time.Sleep(drainDelay)
	_ = g.callerListener.Close() // on an error too, no further connections are accepted
	g.openConns.closeIdle()
	done := make(chan struct{})
	go func() {
		g.requests.Wait()
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
	g.pool.CloseIdle()
	g.log.Info("Stopped.", coltslog.Fields{"cut-short": timedOut})
	return nil
}

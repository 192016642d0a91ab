package coltsgateway

// A gateway that is asked to stop first says that it is not ready, and goes on serving
// while the balancer takes that in. Then it closes the connections that are idle, lets
// answers under way end, and stops before its grace is over.

import (
	"time"

	"coltsfootstall/coltslog"
)

const (
	// noticeTime is how long new connections are still taken after readiness ends:
	// a balancer asks once a second and believes the second answer.
	noticeTime = 2500 * time.Millisecond
	// endMargin is how long before the end of the grace the process stops, so that
	// it ends by itself.
	endMargin = 300 * time.Millisecond
)

// Shutdown stops the instance gracefully.
func (g *Gateway) Shutdown() error {
	endBy := g.now().Add(g.settings.Grace - endMargin)
	g.draining.Store(true)
	g.log.Info("Stopping.", coltslog.Fields{"connections": g.open.count(), "end-by": endBy.Format(time.RFC3339Nano)})
	time.Sleep(noticeTime)
	_ = g.callers.Close() // a listener that fails to close takes nobody either
	g.open.closeIdle()
	done := make(chan struct{})
	go func() {
		g.requests.Wait()
		close(done)
	}()
	timer := time.NewTimer(endBy.Sub(g.now()))
	defer timer.Stop()
	cut := false
	select {
	case <-done:
	case <-timer.C:
		cut = true
	}
	g.stop()
	g.pool.CloseIdle()
	g.log.Info("Stopped.", coltslog.Fields{"cut-short": cut})
	return nil
}

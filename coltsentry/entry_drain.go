package coltsentry

// A shutdown first fails the readiness probe and waits, so that the load balancer stops
// sending requests before connections are refused. Running requests then finish
// normally; they are aborted only when the drain times out.

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsdrain"
	"coltsfootstall/coltslog"
)

// finalReportTimeout bounds the last messages to control and the closing of the other
// listeners.
const finalReportTimeout = 3 * time.Second

// Shutdown stops the entry gracefully. It returns an error if requests were still running
// when the drain timed out.
func (e *Entry) Shutdown() error {
	lateFrom := e.cfg.Now().Add(e.settings.DrainNotice)
	e.drainPlan.Store(&coltsdrain.Plan{LateFrom: lateFrom, EndBy: lateFrom.Add(e.settings.DrainTimeout)})
	e.log.Info("Draining.", coltslog.Fields{"under-way": e.listeners.openCallerConns()})
	time.Sleep(e.settings.DrainNotice)
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.DrainTimeout)
	defer cancel()
	err := e.listeners.closeCallers(ctx)
	e.attempts.StopAndWait()
	e.background.StopAndWait()
	e.stop()
	e.loops.Wait()
	finalCtx, cancelFinal := context.WithTimeout(context.Background(), finalReportTimeout)
	defer cancelFinal()
	e.flushUsage(finalCtx)
	e.control.leave(finalCtx)
	e.listeners.closeOthers(finalCtx)
	e.client.Close()
	e.log.Info("Stopped.", nil)
	return errors.Wrap(err, "drain callers")
}

// isDraining reports whether the instance is being stopped.
func (e *Entry) isDraining() bool { return e.drainPlan.Load() != nil }

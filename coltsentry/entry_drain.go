package coltsentry

// A shutdown first fails readiness and waits, so that the balancer stops sending
// before a connection is refused; then the running requests end by themselves.
// Nothing is cut short unless the drain's own deadline passes.

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltslog"
)

// lastReportTimeout bounds the last messages to control.
const lastReportTimeout = 3 * time.Second

// Shutdown ends the entry gracefully. It returns an error if requests had to be
// cut short when the drain's time was over.
func (e *Entry) Shutdown() error {
	e.draining.Store(true)
	e.log.Info("Draining.", coltslog.Fields{"under-way": e.listeners.underWay()})
	time.Sleep(e.settings.DrainNotice)
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.DrainTimeout)
	defer cancel()
	err := e.listeners.closeCallers(ctx)
	e.attempts.StopAndWait()
	e.background.StopAndWait()
	e.stop()
	e.loops.Wait()
	last, cancelLast := context.WithTimeout(context.Background(), lastReportTimeout)
	defer cancelLast()
	e.flushUsage(last)
	e.control.leave(last)
	e.listeners.closeOthers(last)
	e.client.Close()
	e.log.Info("Stopped.", nil)
	return errors.Wrap(err, "drain callers")
}

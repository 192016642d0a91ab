package coltsentry

// Work that no caller waits for runs on the background pool. If the pool's queue is
// full, exports and cancellations are dropped. A dropped export costs a recomputation
// later. A dropped cancellation usually makes no difference, since closing the
// connection also cancels the request.

import (
	"context"
	"net/netip"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsloop"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsrequest"
)

const (
	// exportTimeout bounds one export of pieces to a store.
	exportTimeout = time.Minute
	// cancelTimeout bounds one cancellation.
	cancelTimeout = 2 * time.Second
	// usageReportInterval is how often usage is reported to control.
	usageReportInterval = time.Second
)

func (e *Entry) countAttempt(attempt int) {
	e.metrics.Add(coltsmetric.Attempts, 1)
	if attempt > 1 {
		e.metrics.Add(coltsmetric.Retries, 1)
	}
}

// export asks a runner, in the background, to copy pieces to the store that lacks them.
func (e *Entry) export(x coltsrequest.Export) {
	if len(x.Pieces) == 0 {
		return
	}
	task := func() {
		e.metrics.Add(coltsmetric.Exports, 1)
		startedAt := e.cfg.Now()
		stored, err := e.client.Export(
			context.Background(), x.RunnerAddr, x.StoreAddr, x.Pieces, startedAt.Add(exportTimeout))
		if err != nil {
			e.metrics.Add(coltsmetric.ExportsFailed, 1)
			e.log.Debug("An export failed.", coltslog.Fields{"runner": x.Runner, "store": x.Store, "error": err})
		}
		e.coordinator.ExportDone(x, stored, startedAt, e.cfg.Now())
	}
	if _, queued := e.background.TrySubmit(task); !queued {
		e.metrics.Add(coltsmetric.ExportsFailed, 1)
		e.coordinator.ExportDone(x, 0, e.cfg.Now(), e.cfg.Now())
	}
}

// cancelAttempt cancels a request at its runner, in the background.
func (e *Entry) cancelAttempt(id coltsidentity.Request, runner netip.AddrPort) {
	if !runner.IsValid() {
		return
	}
	e.background.TrySubmit(func() {
		err := e.client.Cancel(context.Background(), runner, id, e.cfg.Now().Add(cancelTimeout))
		if err != nil {
			e.log.Debug("A cancellation failed.", coltslog.Fields{"request": id, "error": err})
		}
	})
}

// reportUsage reports usage to control periodically until ctx ends.
func (e *Entry) reportUsage(ctx context.Context) {
	coltsloop.Every(ctx, usageReportInterval, func() { e.flushUsage(ctx) })
}

// flushUsage sends the pending usage batches and stops at the first that fails.
func (e *Entry) flushUsage(ctx context.Context) {
	for {
		batch, more := e.batcher.Next()
		if !more {
			return
		}
		sendCtx, cancel := context.WithTimeout(ctx, ledgerTimeout)
		err := e.control.reportUsage(sendCtx, batch)
		cancel()
		if err != nil {
			e.log.Warn("A usage batch could not be reported; it will be sent again.",
				coltslog.Fields{"batch": batch.Number, "error": err})
			return
		}
		e.metrics.Add(coltsmetric.UsageBatches, 1)
		e.batcher.Acknowledge(batch.Number)
	}
}

package coltsentry

// What no caller waits for runs on the background pool. If the pool is full,
// an export or a cancel is dropped: the first costs a recompute later, the second
// is also said by the closed connection.

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
	// exportTimeout bounds an order to copy pieces.
	exportTimeout = time.Minute
	// cancelTimeout bounds an order to cancel.
	cancelTimeout = 2 * time.Second
	// usagePeriod is how often use is reported to control.
	usagePeriod = time.Second
)

func (e *Entry) countAttempt(attempt int) {
	e.metrics.Add(coltsmetric.Attempts, 1)
	if attempt > 1 {
		e.metrics.Add(coltsmetric.Retries, 1)
	}
}

// export orders a runner to copy what the store lacks.
func (e *Entry) export(x coltsrequest.Export) {
	if len(x.Pieces) == 0 {
		return
	}
	task := func() {
		e.metrics.Add(coltsmetric.Exports, 1)
		begun := e.cfg.Now()
		exported, err := e.client.Export(context.Background(), x.RunnerAddr, x.StoreAddr, x.Pieces, begun.Add(exportTimeout))
		if err != nil {
			e.metrics.Add(coltsmetric.ExportsFailed, 1)
			e.log.Debug("An export failed.", coltslog.Fields{"runner": x.Runner, "store": x.Store, "error": err})
		}
		e.coordinator.ExportDone(x, exported, begun, e.cfg.Now())
	}
	if _, queued := e.background.TrySubmit(task); !queued {
		e.metrics.Add(coltsmetric.ExportsFailed, 1)
		e.coordinator.ExportDone(x, 0, e.cfg.Now(), e.cfg.Now())
	}
}

// cancelAttempt tells a runner that nobody waits for a request any more.
func (e *Entry) cancelAttempt(id coltsidentity.Request, runner netip.AddrPort) {
	if !runner.IsValid() {
		return
	}
	e.background.TrySubmit(func() {
		err := e.client.Cancel(context.Background(), runner, id, e.cfg.Now().Add(cancelTimeout))
		if err != nil {
			e.log.Debug("A cancel failed.", coltslog.Fields{"request": id, "error": err})
		}
	})
}

// reportUsage hands over what was used until ctx ends.
func (e *Entry) reportUsage(ctx context.Context) {
	coltsloop.Every(ctx, usagePeriod, func() { e.flushUsage(ctx) })
}

// flushUsage sends the batches that wait, until one fails.
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
			e.log.Warn("Use could not be reported; it is sent again.", coltslog.Fields{"batch": batch.Number, "error": err})
			return
		}
		e.metrics.Add(coltsmetric.UsageBatches, 1)
		e.batcher.Acknowledge(batch.Number)
	}
}

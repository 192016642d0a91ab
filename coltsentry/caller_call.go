package coltsentry

// Calls to plain services: the driver carries out the actions of a call's life.

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsrequest"
	"coltsfootstall/coltsupstream"
)

const (
	// ledgerTimeout bounds the wait for the ledger, before and after a call.
	ledgerTimeout = 3 * time.Second
	// settleTimeout is how long a settlement is sent again in the background.
	settleTimeout = 5 * time.Minute
	// maxTriesAtShutdown is how often a settlement is sent by an instance that is
	// shutting down.
	maxTriesAtShutdown = 5
	// settlePause is the pause between two tries to settle.
	settlePause = 500 * time.Millisecond
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
)

func serveService(e *Entry, ctx *fasthttp.RequestCtx, org coltsdocument.Organisation) {
	rest := strings.TrimPrefix(string(ctx.Path()), servicePath)
	service, path, _ := strings.Cut(rest, "/")
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	if len(key) > maxKeyBytes {
		e.refuse(ctx, coltsattempt.NotRun(coltsattempt.ReasonBadRequest,
			"the idempotency key is longer than %d bytes", maxKeyBytes))
		return
	}
	d := &callDriver{e: e, call: coltsrequest.Call{
		ID:           newRequest(ctx),
		Organisation: org,
		Service:      coltsidentity.Service(service),
		Method:       string(ctx.Method()),
		Path:         "/" + path,
		ContentType:  string(ctx.Request.Header.ContentType()),
		Body:         slices.Clone(ctx.PostBody()),
		Key:          coltsidentity.IdempotencyKey(key),
		Repeatable:   ctx.IsGet() || ctx.IsHead(),
		Deadline:     e.cfg.Now().Add(e.settings.RequestTimeout),
	}}
	if query := ctx.QueryArgs().QueryString(); len(query) > 0 {
		d.call.Path += "?" + string(query)
	}
	e.answerCall(ctx, d)
}

func (e *Entry) answerCall(ctx *fasthttp.RequestCtx, d *callDriver) {
	var end coltsrequest.CallAction
	task := e.attempts.Submit(func() { end = d.run() })
	if err := task.Wait(); err != nil {
		e.refuse(ctx, coltsattempt.NotRun(coltsattempt.ReasonOverloaded,
			"this instance serves as many requests as it may").WithRetryAt(e.cfg.Now()))
		return
	}
	if end.Kind == coltsrequest.CallRefuse {
		e.refuse(ctx, end.Refusal)
		return
	}
	if end.Replayed {
		e.metrics.Add(coltsmetric.Replays, 1)
		ctx.Response.Header.Set(coltscodec.HeaderReplayed, "true")
	}
	ctx.SetStatusCode(end.Answer.Status)
	ctx.SetContentType(end.Answer.ContentType)
	ctx.Response.Header.Set(coltscodec.HeaderOutcome, string(coltsattempt.OutcomeRan))
	ctx.SetBody(end.Answer.Body)
}

// callDriver drives one call. A caller that hangs up does not end it: once the
// call may have run, its end must be recorded.
type callDriver struct {
	e    *Entry
	call coltsrequest.Call
	life *coltsrequest.CallLife
}

// run carries out the call and returns its last action.
func (d *callDriver) run() coltsrequest.CallAction {
	var action coltsrequest.CallAction
	d.life, action = d.e.coordinator.BeginCall(d.call, d.e.id(), d.e.cfg.Now())
	for {
		switch action.Kind {
		case coltsrequest.CallGrant:
			action = d.grant(action.Grant)
		case coltsrequest.CallDispatch:
			action = d.send(action.Dispatch)
		case coltsrequest.CallSettle:
			d.settle(action.Settle)
			action = *action.Next
		case coltsrequest.CallWithdraw:
			d.withdraw(action.Grant)
			action = *action.Next
		default:
			return action
		}
	}
}

func (d *callDriver) grant(r coltsbooking.Request) coltsrequest.CallAction {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	decision, err := d.e.control.grant(ctx, r)
	var reused *coltsbooking.KeyReusedError
	if errors.As(err, &reused) {
		return d.life.KeyReused(d.e.cfg.Now())
	}
	if err != nil {
		d.e.log.Warn("A grant was not answered.", coltslog.Fields{"request": d.call.ID, "error": err})
		return d.life.Undecided(d.e.cfg.Now())
	}
	if decision.Granted {
		d.e.metrics.Add(coltsmetric.Grants, 1)
	}
	return d.life.Decided(decision, d.e.cfg.Now())
}

func (d *callDriver) send(to coltsrequest.CallDispatchTo) coltsrequest.CallAction {
	d.e.countAttempt(to.Attempt)
	answer, failure := d.e.client.Do(context.Background(), coltsupstream.Request{
		ID:          d.call.ID,
		Addr:        to.Addr,
		Method:      d.call.Method,
		Path:        d.call.Path,
		ContentType: d.call.ContentType,
		Body:        d.call.Body,
		Headers: map[string]string{
			"Idempotency-Key": string(d.call.Key),
		},
		Deadline: to.Deadline,
		Once:     !d.call.Repeatable,
		Unheard:  true,
	})
	now := d.e.cfg.Now()
	if failure != nil {
		return d.life.Failed(failure.Failure, now)
	}
	return d.life.Answered(coltsbooking.Answer{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body:        answer.Body,
	}, now)
}

// settle records the end of a call before its caller is answered. If the ledger
// can't be reached in time, the caller is answered all the same, since what ran
// has run, and the settlement goes on in the background.
func (d *callDriver) settle(s coltsbooking.Settlement) {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	if err := d.e.control.settle(ctx, s); err == nil {
		return
	}
	d.e.inBackground(func(ctx context.Context) error { return d.e.control.settle(ctx, s) })
}

func (d *callDriver) withdraw(r coltsbooking.Request) {
	d.e.inBackground(func(ctx context.Context) error { return d.e.control.withdraw(ctx, r) })
}

// triedEnough says that an instance which shuts down has tried often enough: it must
// not be held up for minutes by a ledger that is out of reach.
func (e *Entry) triedEnough(tries int) bool {
	return tries >= maxTriesAtShutdown && e.draining.Load()
}

// inBackground sends a command again and again until control has taken it in.
func (e *Entry) inBackground(send func(context.Context) error) {
	giveUpAt := e.cfg.Now().Add(settleTimeout)
	task := func() {
		for tries := 0; e.cfg.Now().Before(giveUpAt) && !e.triedEnough(tries); tries++ {
			e.metrics.Add(coltsmetric.SettleRetries, 1)
			ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
			err := send(ctx)
			cancel()
			if err == nil {
				return
			}
			time.Sleep(settlePause)
		}
		e.log.Error("A settlement was given up; the ledger will hold the call as unknown.", nil)
	}
	if err := e.background.Go(task); err != nil {
		e.log.Error("A settlement could not be queued.", coltslog.Fields{"error": err})
	}
}

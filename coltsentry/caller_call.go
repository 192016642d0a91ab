package coltsentry

// Calls to plain services: callDriver carries out the actions of a
// coltsrequest.CallLifecycle.

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbody"
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
	// ledgerTimeout bounds one command to control: a grant before a call, a settlement
	// after it, or a usage batch.
	ledgerTimeout = 3 * time.Second
	// settleRetryTimeout is how long a settlement or withdrawal is retried in the
	// background.
	settleRetryTimeout = 5 * time.Minute
	// maxSettleTriesAtShutdown is the number of tries after which an instance that is
	// shutting down stops retrying.
	maxSettleTriesAtShutdown = 5
	// settleRetryDelay is the delay between two tries.
	settleRetryDelay = 500 * time.Millisecond
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255
)

func serveService(e *Entry, ctx *fasthttp.RequestCtx, org coltsdocument.Organisation, body *coltsbody.Body) {
	defer body.Release()
	rest := strings.TrimPrefix(string(ctx.Path()), servicePath)
	service, path, _ := strings.Cut(rest, "/")
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	if len(key) > maxKeyBytes {
		e.refuse(ctx, coltsattempt.NotRun(coltsattempt.ReasonBadRequest,
			"the idempotency key is longer than %d bytes", maxKeyBytes))
		return
	}
	d := &callDriver{e: e, call: coltsrequest.Call{
		ID:           newRequestID(ctx),
		Organisation: org,
		Service:      coltsidentity.Service(service),
		Method:       string(ctx.Method()),
		Path:         "/" + path,
		ContentType:  string(ctx.Request.Header.ContentType()),
		Body:         body.Bytes,
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
	var final coltsrequest.CallAction
	task := e.attempts.Submit(func() { final = d.run() })
	if err := task.Wait(); err != nil {
		e.refuse(ctx, e.poolRefusal(err))
		return
	}
	if final.Kind == coltsrequest.CallRefuse {
		e.refuse(ctx, final.Refusal)
		return
	}
	if final.Replayed {
		e.metrics.Add(coltsmetric.Replays, 1)
		ctx.Response.Header.Set(coltscodec.HeaderReplayed, "true")
	}
	ctx.SetStatusCode(final.Answer.Status)
	ctx.SetContentType(final.Answer.ContentType)
	ctx.Response.Header.Set(coltscodec.HeaderOutcome, string(coltsattempt.OutcomeRan))
	ctx.SetBody(final.Answer.Body)
}

// callDriver executes one call. It continues if the caller disconnects: once the call may
// have run, its outcome must be recorded.
type callDriver struct {
	e         *Entry
	call      coltsrequest.Call
	lifecycle *coltsrequest.CallLifecycle
}

// run executes the call and returns its final action, a refusal or an answer.
func (d *callDriver) run() coltsrequest.CallAction {
	var action coltsrequest.CallAction
	d.lifecycle, action = d.e.coordinator.BeginCall(d.call, d.e.id(), d.e.cfg.Now())
	for {
		switch action.Kind {
		case coltsrequest.CallGrant:
			action = d.grant(action.Grant)
		case coltsrequest.CallDispatch:
			action = d.sendAttempt(action.Dispatch)
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
		return d.lifecycle.KeyReused(d.e.cfg.Now())
	}
	if err != nil {
		d.e.log.Warn("The ledger did not answer a grant request.",
			coltslog.Fields{"request": d.call.ID, "error": err})
		return d.lifecycle.GrantUnanswered(d.e.cfg.Now())
	}
	if decision.Granted {
		d.e.metrics.Add(coltsmetric.Grants, 1)
	}
	return d.lifecycle.GrantDecided(decision, d.e.cfg.Now())
}

func (d *callDriver) sendAttempt(attempt coltsrequest.CallAttempt) coltsrequest.CallAction {
	answer, failure := d.e.client.Do(context.Background(), coltsupstream.Request{
		ID:          d.call.ID,
		Addr:        attempt.Addr,
		Method:      d.call.Method,
		Path:        d.call.Path,
		ContentType: d.call.ContentType,
		Body:        d.call.Body,
		Headers: map[string]string{
			"Idempotency-Key": string(d.call.Key),
		},
		Deadline:      attempt.Deadline,
		OnSent:        func() { d.e.countAttempt(attempt.Attempt) },
		NotRepeatable: !d.call.Repeatable,
		NoHeartbeats:  true,
	})
	now := d.e.cfg.Now()
	if failure != nil {
		return d.lifecycle.Failed(failure.Failure, now)
	}
	return d.lifecycle.Answered(coltsbooking.Answer{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body:        answer.Body,
	}, now)
}

// settle records the outcome of a call before the caller is answered. If the ledger
// does not answer within ledgerTimeout, the caller is answered anyway, since the call has
// already run, and the settlement is retried in the background.
func (d *callDriver) settle(s coltsbooking.Settlement) {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	if err := d.e.control.settle(ctx, s); err == nil {
		return
	}
	d.e.retryInBackground(func(ctx context.Context) error { return d.e.control.settle(ctx, s) })
}

func (d *callDriver) withdraw(r coltsbooking.Request) {
	d.e.retryInBackground(func(ctx context.Context) error { return d.e.control.withdraw(ctx, r) })
}

// shutdownTriesExhausted reports whether the instance is shutting down and has made the
// maximum number of tries. An unreachable ledger must not delay a shutdown by minutes.
func (e *Entry) shutdownTriesExhausted(tries int) bool {
	return tries >= maxSettleTriesAtShutdown && e.isDraining()
}

// retryInBackground sends a command repeatedly until control accepts it,
// settleRetryTimeout passes, or the tries at a shutdown are exhausted.
func (e *Entry) retryInBackground(send func(context.Context) error) {
	giveUpAt := e.cfg.Now().Add(settleRetryTimeout)
	task := func() {
		for tries := 0; e.cfg.Now().Before(giveUpAt) && !e.shutdownTriesExhausted(tries); tries++ {
			e.metrics.Add(coltsmetric.SettleRetries, 1)
			ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
			err := send(ctx)
			cancel()
			if err == nil {
				return
			}
			time.Sleep(settleRetryDelay)
		}
		e.log.Error("Gave up sending a settlement; the ledger will record the outcome of the call as unknown.", nil)
	}
	if err := e.background.Go(task); err != nil {
		e.log.Error("A settlement could not be queued.", coltslog.Fields{"error": err})
	}
}

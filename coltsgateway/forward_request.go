package coltsgateway

// A forwarding takes one request from its caller through its attempts to its end. The
// decisions are those of coltsforward and coltsbalance; this is the order in which
// they are asked and the bytes that follow from them.

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstore"
)

// forwarding is one request under way.
type forwarding struct {
	g      *Gateway
	conn   *callerConn
	req    *fasthttp.Request
	life   *coltsforward.Request
	table  *coltsroute.Index
	choice coltsbalance.Choice
	plan   coltsstore.Plan
	// closes says that the connection ends with this request.
	closes bool
	// lastEvent is the newest event that the caller has, where a stream goes on.
	lastEvent string
	// headSent says that a part of the answer is on its way to the caller.
	headSent bool
	// held is an answer with a failure that is passed on if no attempt does better.
	held []byte
	// status, firstAt and endedWell are for the log.
	status    int
	firstAt   time.Time
	endedWell bool
	// passedAt is when events were last passed on, pause the longest time between
	// two such times.
	passedAt time.Time
	pause    time.Duration
	// waited is how long it waited for room.
	waited time.Duration
	from   []coltsidentity.Upstream
}

// serve serves the request and says whether the connection may serve another.
func (f *forwarding) serve() bool {
	now := f.g.now()
	f.g.metrics.Add(coltsmetric.Requests, 1)
	asked, err := f.g.dialect.ReadRequest(&f.req.Header)
	if err != nil {
		refused := coltsattempt.NotRun(coltsattempt.ReasonBadRequest, "%v", err)
		return f.refuse(asked.ID, refused)
	}
	f.table = f.awaitTable(now)
	f.life, err = coltsforward.Begin(asked, f.table, now)
	if err != nil {
		return f.refuseError(asked.ID, err)
	}
	f.lastEvent = asked.LastEvent
	if refused := f.blocked(now); refused != nil {
		return f.refuse(asked.ID, refused)
	}
	f.g.budget.CountRequest(f.life.Service, now)
	ctx, cancel := context.WithCancel(f.g.running)
	defer cancel()
	f.conn.nc.Watch(cancel)
	keep := f.attempts(ctx)
	f.conn.nc.Unwatch()
	f.clear()
	f.report(ctx)
	return keep && !f.g.draining.Load()
}

// attempts makes attempts until one ends the request.
func (f *forwarding) attempts(ctx context.Context) bool {
	for {
		choice, err := f.choose(ctx)
		if ctx.Err() != nil {
			return false
		}
		if err != nil {
			return f.giveUp(f.life.NoUpstream(err, f.g.now()))
		}
		f.choice = choice
		failure := f.attempt(ctx)
		if failure == nil {
			return f.endedWell && !f.closes
		}
		if ctx.Err() != nil {
			return false
		}
		f.noteCrash(ctx, failure)
		now := f.g.now()
		verdict := f.life.RecordFailure(failure.Failure, f.takeRetry, now)
		f.logAttempt(failure, verdict)
		if verdict == coltsattempt.VerdictFail {
			return f.giveUp(f.life.Refusal(failure.Failure, now))
		}
		f.g.metrics.Add(coltsmetric.Retries, 1)
	}
}

func (f *forwarding) takeRetry() bool {
	return f.g.budget.Retry(f.life.Service, int(f.g.instances.Load()), f.g.now())
}

// giveUp ends a request for which there is no further attempt.
func (f *forwarding) giveUp(refused *coltsattempt.RefusedError) bool {
	if f.headSent {
		// An answer that ends early must not look whole: the connection just ends.
		f.g.metrics.Add(coltsmetric.StreamsBroken, 1)
		return false
	}
	if f.held != nil {
		return f.write(f.held) && !f.closes
	}
	return f.refuse(f.life.Asked.ID, refused)
}

// attempt makes one attempt at the chosen upstream; nil if the request has ended.
func (f *forwarding) attempt(ctx context.Context) *attemptError {
	choice := f.choice
	f.from = append(f.from, choice.Upstream.ID)
	if choice.Home {
		f.g.metrics.Add(coltsmetric.CacheHome, 1)
	}
	f.g.metrics.Add(coltsmetric.Attempts, 1)
	f.life.CountAttempt(choice.Upstream.ID)
	failure := f.exchange(ctx)
	choice = f.choice
	outcome := coltsbalance.OutcomeAnswered
	if failure != nil {
		outcome = failure.outcome
		if failure.misdirected {
			f.life.Misdirected()
		}
	}
	f.g.balancer.Done(choice, outcome, f.g.now())
	f.g.room.Broadcast()
	return failure
}

// exchange sends the request to the chosen upstream and passes its answer on.
func (f *forwarding) exchange(ctx context.Context) *attemptError {
	x, failure := f.g.exchangeWith(ctx, f.choice, f.outgoing())
	if failure != nil {
		return failure
	}
	defer x.close()
	if f.life.Route.Kind == coltsroute.KindStreaming && x.resp.StatusCode() == fasthttp.StatusOK {
		return f.stream(x)
	}
	if f.headSent {
		return failed(coltsattempt.PhaseSent, coltsbalance.OutcomeAnswered,
			"upstream %s answered status %d where a stream was to go on", f.choice.Upstream.ID, x.resp.StatusCode())
	}
	return f.plain(x)
}

func (f *forwarding) outgoing() outgoing {
	now := f.g.now()
	deadline := f.life.Deadline()
	sending := Sending{
		Upstream:     f.choice.Upstream.ID,
		Organisation: f.life.Organisation.Name,
		Remaining:    deadline.Sub(now),
		Rank:         f.life.Priority(),
		Weights:      f.choice.WeightsVersion(f.life.Asked.Model),
		CacheScope:   f.cacheScope(),
		LastEvent:    f.lastEvent,
	}
	f.planMoves(&sending)
	head := f.g.dialect.AppendRequest(nil, &f.req.Header, sending)
	body := f.req.Body()
	head = bodyLines(head, len(body), len(body) > 0 || f.req.Header.ContentLength() >= 0 || !isBodiless(&f.req.Header))
	return outgoing{id: f.life.Asked.ID, head: head, body: body, deadline: deadline, noBody: f.req.Header.IsHead()}
}

// isBodiless says whether requests of a method usually have no body, so that none is
// announced where the caller announced none.
func isBodiless(h *fasthttp.RequestHeader) bool {
	return h.IsGet() || h.IsHead() || h.IsDelete() || h.IsOptions() || h.IsTrace()
}

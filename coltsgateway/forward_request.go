package coltsgateway

// A forwarding handles one caller's request, from its parsed head to the end of its response. The
// decisions are made by coltsforward and coltsbalance; this file calls them in order and does
// the resulting I/O.

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsbuffer"
	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltspoison"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstore"
)

// writeGrace is how long after its deadline a request's last bytes may wait for the caller to read
// them. The final response to a request that reached its deadline is sent in that time.
const writeGrace = 200 * time.Millisecond

// forwarding is one request in progress.
type forwarding struct {
	g    *Gateway
	conn *callerConn
	// req is the request as it was received, lifecycle its route, deadlines and attempts so far.
	req       *fasthttp.Request
	lifecycle *coltsforward.Request
	// parts are the parts of the prompt that are observed for crashes.
	parts  []coltspoison.Part
	table  *coltsroute.Index
	choice coltsbalance.Choice
	plan   coltsstore.Plan
	// closeConn is set if the connection is to be closed after this request.
	closeConn bool
	// lastEventID is the ID of the newest event sent to the caller, or the one after which the
	// caller asked to resume; empty for none.
	lastEventID string
	// headSent is set once the head of a streamed response is being sent to the caller.
	headSent bool
	// fallback is an upstream's error response that is passed on if no later attempt succeeds;
	// nil for none.
	fallback []byte
	// fallbackRest is the second part of that response.
	fallbackRest []byte
	// status is the status of the response, firstAt when its first part was ready to be passed
	// on. Both are for the log.
	status  int
	firstAt time.Time
	// completed is set once the whole response has been sent to the caller.
	completed bool
	// isTrial is set if the request is quarantined and runs as a trial, which is not repeated. sentAt is when the
	// current attempt began.
	isTrial bool
	sentAt  time.Time
	// crashes is the number of attempts at whose beginning the upstream crashed.
	crashes int
	// eventReads is the number of times that events of the current attempt's response were passed on.
	eventReads int
	// lastForwardedAt is when events were last passed on, longestPause the longest time
	// between two such times.
	lastForwardedAt time.Time
	longestPause    time.Duration
	// waited is the time spent waiting for a route table and for upstream capacity.
	waited time.Duration
	// tried are the upstreams of the attempts so far, in order.
	tried []coltsidentity.Upstream
	// buffered is what the response of the current attempt takes of the memory for buffers,
	// fallbackBuffered what fallback takes.
	buffered         *coltsbuffer.Share
	fallbackBuffered *coltsbuffer.Share
}

// serve serves the request and reports whether the connection can serve another.
func (f *forwarding) serve() bool {
	now := f.g.now()
	f.g.metrics.Add(coltsmetric.Requests, 1)
	incoming, err := f.g.dialect.ParseRequest(&f.req.Header)
	if err != nil {
		refused := coltsattempt.NotRun(coltsattempt.ReasonBadRequest, "%v", err)
		return f.refuse(incoming.ID, refused)
	}
	f.table = f.awaitTable(now)
	f.lifecycle, err = coltsforward.NewRequest(incoming, f.table, now)
	if err != nil {
		return f.refuseError(incoming.ID, err)
	}
	f.parts = f.lifecycle.ObservedParts()
	f.lastEventID = incoming.LastEventID
	if refused := f.g.drainPlan.Load().Refusal(now, f.lifecycle.Deadline()); refused != nil {
		return f.refuse(incoming.ID, refused)
	}
	f.conn.nc.SetWriteLimit(f.lifecycle.Deadline().Add(writeGrace))
	defer f.conn.nc.SetWriteLimit(time.Time{})
	if refused := f.quarantineRefusal(); refused != nil {
		return f.refuse(incoming.ID, refused)
	}
	f.g.budget.CountRequest(f.lifecycle.Service, now)
	ctx, cancel := context.WithCancel(f.g.ctx)
	defer cancel()
	f.conn.nc.StartWatch(cancel)
	reusable := f.runAttempts(ctx)
	f.conn.nc.StopWatch()
	f.clearSuspicion()
	f.report(f.callerLeft(ctx))
	// During a shutdown too, only a connection whose caller was told so is closed here.
	return reusable
}

// runAttempts makes attempts until one ends the request, and reports whether the connection can
// serve another.
func (f *forwarding) runAttempts(ctx context.Context) bool {
	for {
		choice, err := f.choose(ctx)
		if f.callerLeft(ctx) {
			if err == nil {
				// The choice counts at its upstream already.
				f.g.balancer.Done(choice, coltsbalance.OutcomeNeutral, f.g.now())
				f.g.capacityFreed.Broadcast()
			}
			return false
		}
		if err != nil {
			return f.giveUp(f.lifecycle.NoUpstreamRefusal(err, f.g.now()))
		}
		f.choice = choice
		failure := f.attempt(ctx)
		if failure == nil {
			return f.completed && !f.closeConn
		}
		if f.callerLeft(ctx) {
			return false
		}
		f.recordCrash(ctx, failure)
		now := f.g.now()
		verdict := f.lifecycle.RecordFailure(failure.Failure, f.takeRetry, now)
		if ctx.Err() != nil || f.isTrial {
			verdict = coltsattempt.VerdictFail
		}
		f.logAttempt(failure, verdict)
		if verdict == coltsattempt.VerdictFail {
			return f.giveUp(f.lifecycle.Refusal(failure.Failure, now))
		}
		f.g.metrics.Add(coltsmetric.Retries, 1)
	}
}

// callerLeft reports whether ctx, the request's, has ended because its caller disconnected. It also ends
// when the instance stops serving; the caller can be answered then.
func (f *forwarding) callerLeft(ctx context.Context) bool {
	return ctx.Err() != nil && f.g.ctx.Err() == nil
}

// takeRetry takes one retry from the retry budget that the instances share, and reports whether
// one was left.
func (f *forwarding) takeRetry() bool {
	return f.g.budget.TakeRetry(f.lifecycle.Service, int(f.g.instances.Load()), f.g.now())
}

// giveUp ends a request that gets no further attempt, and reports whether the connection can
// serve another.
func (f *forwarding) giveUp(refused *coltsattempt.RefusedError) bool {
	if f.headSent {
		// A truncated response must not look complete, so the connection is closed without the
		// last chunk.
		f.g.metrics.Add(coltsmetric.StreamsBroken, 1)
		return false
	}
	if f.fallback != nil {
		return f.writeResponse(f.fallback, f.fallbackRest) && !f.closeConn
	}
	return f.refuse(f.lifecycle.Inbound.ID, refused)
}

// attempt makes one attempt at the chosen upstream. It returns nil if the request has ended.
func (f *forwarding) attempt(ctx context.Context) *attemptError {
	choice := f.choice
	f.tried = append(f.tried, choice.Upstream.ID)
	f.eventReads = 0
	f.sentAt = f.g.now()
	if choice.Home {
		f.g.metrics.Add(coltsmetric.RequestsAtHome, 1)
	}
	f.g.metrics.Add(coltsmetric.Attempts, 1)
	f.lifecycle.CountAttempt(choice.Upstream.ID)
	outcome := coltsbalance.OutcomeNeutral
	defer func() {
		f.g.balancer.Done(f.choice, outcome, f.g.now())
		f.g.capacityFreed.Broadcast()
	}()
	failure := f.exchange(ctx)
	// Of the response, nothing is kept but the fallback.
	f.buffered.Release()
	outcome = coltsbalance.OutcomeAnswered
	if failure != nil {
		outcome = failure.outcome
		if failure.misdirected {
			f.lifecycle.UncountAttempt()
		}
	}
	return failure
}

// exchange sends the request to the chosen upstream and passes on the response.
func (f *forwarding) exchange(ctx context.Context) *attemptError {
	x, failure := f.g.startExchange(ctx, f.choice, f.buildRequest())
	if failure != nil {
		return failure
	}
	defer x.close()
	if f.lifecycle.Route.Kind == coltsroute.KindStreaming && !f.req.Header.IsHead() && x.resp.StatusCode() == fasthttp.StatusOK && mayBeEvents(x.resp) {
		return f.forwardStream(x)
	}
	if f.headSent {
		return newAttemptError(coltsattempt.PhaseSent, coltsbalance.OutcomeAnswered,
			"upstream %s answered status %d of type %q instead of resuming the stream",
			f.choice.Upstream.ID, x.resp.StatusCode(), x.resp.ContentType())
	}
	return f.forwardBuffered(x)
}

// buildRequest encodes the request for the chosen upstream.
func (f *forwarding) buildRequest() outgoingRequest {
	now := f.g.now()
	deadline := f.lifecycle.Deadline()
	meta := RequestMetadata{
		Upstream:       f.choice.Upstream.ID,
		Organisation:   f.lifecycle.Organisation.Name,
		Remaining:      deadline.Sub(now),
		Priority:       f.lifecycle.Priority(),
		WeightsVersion: f.choice.WeightsVersion(f.lifecycle.Inbound.Model),
		CacheScope:     f.cacheScope(),
		LastEventID:    f.lastEventID,
	}
	f.planTransfers(&meta)
	head := f.g.dialect.AppendRequestHead(nil, &f.req.Header, meta)
	body := f.req.Body()
	head = appendBodyFraming(head, len(body),
		len(body) > 0 || f.req.Header.ContentLength() >= 0 || !isBodiless(&f.req.Header))
	return outgoingRequest{
		id: f.lifecycle.Inbound.ID, head: head, body: body, deadline: deadline, noBody: f.req.Header.IsHead(),
	}
}

// isBodiless reports whether the request's method usually has no body. Such a request gets no
// Content-Length if the caller sent none.
func isBodiless(h *fasthttp.RequestHeader) bool {
	return h.IsGet() || h.IsHead() || h.IsDelete() || h.IsOptions() || h.IsTrace()
}

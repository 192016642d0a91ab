package coltsgateway

// A forwarding takes one request from its caller through its attempts to its end. The
// decisions are those of coltsforward and coltsbalance; this is the order in which
// they are asked and the bytes that follow from them.

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsforward"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltsweights"
)

// forwarding is one request under way.
type forwarding struct {
	g      *Gateway
	conn   *callerConn
	req    *fasthttp.Request
	life   *coltsforward.Life
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
	f.table = f.g.routes.Current()
	asked, err := f.g.dialect.ReadRequest(&f.req.Header)
	if err != nil {
		refused := coltsattempt.NotRun(coltsattempt.ReasonBadRequest, "%v", err)
		return f.refuse(asked.ID, refused)
	}
	f.life, err = coltsforward.Begin(asked, f.table, now)
	if err != nil {
		return f.refuseError(asked.ID, err)
	}
	f.lastEvent = asked.LastEvent
	if refused := f.blocked(now); refused != nil {
		return f.refuse(asked.ID, refused)
	}
	f.g.budget.Request(f.life.Service, now)
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
		verdict := f.life.Failed(failure.Failure, f.takeRetry, now)
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
	f.life.Sending(choice.Upstream.ID)
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
	f.g.room.Fire()
	return failure
}

// homeBonus is how much fuller than the emptiest runner the home of a prompt may be: less
// than what reading the prompt's shared parts again would take of a runner's memory.
const homeBonus = 0.1

const (
	// longShare is the share of a runner's memory from which a prompt counts as long.
	longShare = 0.04
	// readingBias is how many times more the tokens count that are not read yet: they
	// hold up the streams at their runner.
	readingBias = 3
	// firstWeights is the version that models have before one is named.
	firstWeights = 1
	// fullShare is the share of a runner's memory up to which long prompts are sent to
	// it: at more, what it keeps and fetches is pushed out before it is used, and short
	// prompts find no room.
	fullShare = 0.9
)

// nearBonus is how much fuller than the emptiest runner one may be that is in the data
// centre of the store with the prompt's parts: a transfer from elsewhere takes both links
// twice as long.
const nearBonus = 0.1

// demand is what the request asks of an upstream. Work is measured in tokens of memory
// at model runners and in requests elsewhere.
func (f *forwarding) demand() coltsbalance.Demand {
	d := coltsbalance.Demand{
		Service: f.life.Service, Weight: 1, Capacity: 1, Exclude: f.life.Tried(),
		Model: f.life.Asked.Model, Least: f.leastWeights(),
	}
	service, known := f.table.Service(f.life.Service)
	if !known || service.Engine == nil {
		return d
	}
	d.Capacity = float64(service.Engine.CacheTokens)
	d.Weight = float64(f.life.Asked.PromptTokens + f.life.Asked.OutputTokens)
	if d.Weight > longShare*d.Capacity {
		d.Limit = fullShare
	}
	if f.life.Route.Sticky {
		d.Affinity, d.HomeBonus = []byte(f.life.Affinity()), homeBonus
		d.Near, d.NearBonus = f.near(), nearBonus
		d.Reading, d.ReadingBias = float64(f.reads()), readingBias
	}
	return d
}

// reads returns how many tokens of the prompt a runner has to read that keeps none of it.
func (f *forwarding) reads() int {
	number := max(firstWeights, f.g.weights.Wanted(f.life.Asked.Model).Number)
	scope := coltsforward.CacheScope(number, f.life.Organisation)
	return f.life.Asked.PromptTokens - f.g.stores.Held(f.wanted(scope), f.g.now())
}

// near returns the data centre of the store that the prompt's parts are in, empty if they
// are in none.
func (f *forwarding) near() coltsidentity.DataCentre {
	store := f.g.stores.Near(f.wanted(""), f.table.Stores())
	service, known := f.table.Service(store)
	if !known || service.Store == nil {
		return ""
	}
	return service.Store.DataCentre
}

// wanted returns the prompt's shared parts within a scope.
func (f *forwarding) wanted(scope string) []coltsstore.Wanted {
	parts := f.life.SharedParts()
	wanted := make([]coltsstore.Wanted, len(parts))
	for i, part := range parts {
		wanted[i] = coltsstore.Wanted{Key: coltsstore.Key{Scope: scope, Part: part.ID}, Tokens: part.Tokens}
	}
	return wanted
}

// weightsMargin is how long before a named version is due requests stop going to runners
// without it: they may wait there before they begin.
const weightsMargin = time.Second

// leastWeights returns the lowest version that may serve the request, 0 for any.
func (f *forwarding) leastWeights() coltsweights.Number {
	due := f.g.settings.WeightsDue
	if due == 0 {
		return 0
	}
	return f.g.weights.NamedBy(f.life.Asked.Model, f.g.now().Add(weightsMargin-due))
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
		Weights:      f.choice.Weights(f.life.Asked.Model),
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

// planMoves decides which parts of the prompt are fetched from stores and which are saved
// there.
func (f *forwarding) planMoves(s *Sending) {
	wanted := f.wanted(s.CacheScope)
	if len(wanted) == 0 || !f.g.settings.KeepCache {
		return
	}
	f.plan = f.g.stores.Plan(wanted, f.table.Stores(), f.g.now())
	s.Fetch = f.storeAddrs(f.plan.Fetch)
	s.Save = f.storeAddrs(f.plan.Save)
}

// storeAddrs returns the addresses of transfers, one for each part of the prompt; nil if
// there is no transfer.
func (f *forwarding) storeAddrs(moves []coltsstore.Move) []netip.AddrPort {
	var addrs []netip.AddrPort
	for i, move := range moves {
		service, known := f.table.Service(move.Store)
		if !known || service.Store == nil {
			continue
		}
		if addrs == nil {
			addrs = make([]netip.AddrPort, len(f.life.Asked.Parts))
		}
		addrs[i] = service.Store.Addr
	}
	return addrs
}

// cacheScope keeps kept cache apart by weight version and isolated organisation.
func (f *forwarding) cacheScope() string {
	return coltsforward.CacheScope(f.choice.Weights(f.life.Asked.Model), f.life.Organisation)
}

// plain passes on an answer that is read whole first.
func (f *forwarding) plain(x *exchange) *attemptError {
	content, err := x.body.readAll(maxPlainBytes)
	if err != nil {
		return x.readFailure(coltsattempt.PhaseSent, err)
	}
	status := x.resp.StatusCode()
	if f.firstAt.IsZero() {
		f.firstAt = f.g.now()
	}
	if x.meta.PromisesNotRun && !f.life.Route.Idempotent() {
		return failed(coltsattempt.PhaseSent, coltsbalance.OutcomeAnswered,
			"upstream %s answered status %d and may have run the request", f.choice.Upstream.ID, status)
	}
	text := f.answerText(x, status, content)
	if status >= fasthttp.StatusInternalServerError && f.life.Route.Idempotent() {
		f.held, f.status = text, status
		return failed(coltsattempt.PhaseSent, coltsbalance.OutcomeAnswered, "upstream %s answered status %d", f.choice.Upstream.ID, status)
	}
	f.status = status
	f.endedWell = f.write(text)
	return nil
}

func (f *forwarding) answerText(x *exchange, status int, content []byte) []byte {
	text := appendHead(make([]byte, 0, len(content)+512), status)
	text = f.g.dialect.AppendAnswer(text, x.resp)
	f.closes = f.closes || f.g.draining.Load()
	if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return appendConnection(text, f.closes)
	}
	n := len(content)
	if f.req.Header.IsHead() {
		n = max(0, x.resp.ContentLength())
	}
	return append(appendLength(text, n, f.closes), content...)
}

// write sends text to the caller and says whether it was taken.
func (f *forwarding) write(text []byte) bool {
	if _, err := f.conn.nc.Write(text); err != nil {
		f.g.metrics.Add(coltsmetric.CallerLeft, 1)
		return false
	}
	return true
}

// refuseError refuses a request for one of the aggregates' rules.
func (f *forwarding) refuseError(id string, err error) bool {
	var refused *coltsattempt.RefusedError
	if !errors.As(err, &refused) {
		refused = coltsattempt.Unknown(coltsattempt.ReasonUpstream, "%v", err)
	}
	return f.refuse(id, refused)
}

// refuse tells the caller that its request is refused and says whether the connection
// may serve another.
func (f *forwarding) refuse(id string, refused *coltsattempt.RefusedError) bool {
	now := f.g.now()
	metric := coltsmetric.FailedUnknown
	if refused.Outcome == coltsattempt.OutcomeNotRun {
		metric = coltsmetric.RefusedNotRun
	}
	f.g.metrics.Add(coltsmetric.Refused, 1)
	f.g.metrics.Add(metric, 1)
	r := f.g.dialect.Refusal(refused, now)
	f.status = r.Status
	f.logRefusal(id, refused, r)
	f.closes = f.closes || f.g.draining.Load()
	text := f.g.dialect.AppendRefusal(appendHead(nil, r.Status), r, id)
	text = append(appendLength(text, len(r.Text), f.closes), r.Text...)
	if f.req.Header.IsHead() {
		text = bytes.TrimSuffix(text, []byte(r.Text))
	}
	return f.write(text) && !f.closes
}

// logFields are what every line on the request has.
func (f *forwarding) logFields(id string) coltslog.Fields {
	now := f.g.now()
	fields := coltslog.Fields{
		"request": id, "control-age-ms": f.g.watcher.age(now).Milliseconds(),
	}
	if f.table != nil {
		fields["routes"] = f.table.Table.Version
	}
	if f.life != nil {
		fields["route"], fields["service"] = f.life.Route.Name, f.life.Service
		fields["elapsed-ms"] = now.Sub(f.life.Arrived).Milliseconds()
		fields["attempts"] = f.life.Attempts()
	}
	return fields
}

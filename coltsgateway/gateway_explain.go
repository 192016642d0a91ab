package coltsgateway

// Explains to operators where a request would go now, without sending it. The request is given as its head,
// as a caller would send it, and goes through the same decisions as a real one up to the choice.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsforward"
)

// Explanation is the answer to an operator, as JSON. Times are in milliseconds, loads in KV cache tokens or
// requests, costs shares of an upstream's capacity.
type Explanation struct {
	Route        string  `json:"route,omitempty"`
	Service      string  `json:"service,omitempty"`
	Organisation string  `json:"organisation,omitempty"`
	RouteTable   uint64  `json:"route-table"`
	Weight       float64 `json:"weight"`
	Capacity     float64 `json:"capacity"`
	// Limit is the load up to which an upstream gets the request, as a share of its capacity; 0 for any.
	Limit float64 `json:"limit"`
	// Outcome is send, wait or refuse.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// WaitMillis is how long the request would wait at most, RetryAfterMillis the Retry-After of a refusal.
	WaitMillis       int64               `json:"wait-ms,omitempty"`
	RetryAfterMillis int64               `json:"retry-after-ms,omitempty"`
	ControlAgeMillis int64               `json:"control-age-ms"`
	Queued           int                 `json:"queued"`
	Compared         int                 `json:"compared"`
	Upstreams        []ExplainedUpstream `json:"upstreams"`
}

// ExplainedUpstream is one upstream of the service.
type ExplainedUpstream struct {
	Upstream   string  `json:"upstream"`
	DataCentre string  `json:"data-centre"`
	Excluded   string  `json:"excluded,omitempty"`
	Home       bool    `json:"home,omitempty"`
	Cost       float64 `json:"cost"`
	Load       float64 `json:"load-cost"`
	HomeBonus  float64 `json:"home-bonus"`
	StoreBonus float64 `json:"data-centre-bonus"`
	Cold       float64 `json:"cold-cost"`
	Pace       float64 `json:"pace-cost"`
	Prefill    float64 `json:"prefill-cost"`
	OwnLoad    float64 `json:"own-load"`
	PeerLoad   float64 `json:"peer-load"`
	// PeerLoadAgeMillis is how long ago the load of the other instances came; -1 if it is not used any more.
	PeerLoadAgeMillis int64 `json:"peer-load-age-ms"`
}

// ExplainPath is the path on the operators' address.
const ExplainPath = "/debug/explain"

// maxExplainedBytes is the length of the longest head that is explained.
const maxExplainedBytes = 32 << 10

// The outcomes of an explained request.
const (
	outcomeSend   = "send"
	outcomeWait   = "wait"
	outcomeRefuse = "refuse"
)

// serveExplanation answers a request whose body is the head of a caller's request.
func (g *Gateway) serveExplanation(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Error("the head of a request must be sent with POST", fasthttp.StatusMethodNotAllowed)
		return
	}
	head, err := readExplainedHead(ctx)
	if err == nil && len(head) > maxExplainedBytes {
		err = errors.Errorf("the head of the request has more than %d bytes", maxExplainedBytes)
	}
	var e Explanation
	if err == nil {
		e, err = g.explain(head)
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	text, err := json.Marshal(e)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

// readExplainedHead reads the body of a request of an operator, up to a byte over maxExplainedBytes.
func readExplainedHead(ctx *fasthttp.RequestCtx) ([]byte, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, errors.New("the request has no body, expected the head of a request")
	}
	return io.ReadAll(io.LimitReader(stream, maxExplainedBytes+1))
}

// explain returns what would happen to a request with the given head. It returns an error if the head can't
// be read.
func (g *Gateway) explain(head []byte) (Explanation, error) {
	req := &fasthttp.Request{}
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	if err := req.Header.Read(bufio.NewReaderSize(bytes.NewReader(head), len(head)+1)); err != nil {
		return Explanation{}, err
	}
	if err := checkFraming(&req.Header); err != nil {
		return Explanation{}, err
	}
	incoming, err := g.dialect.ParseRequest(&req.Header)
	if err != nil {
		return Explanation{}, err
	}
	now := g.now()
	f := &forwarding{g: g, req: req, table: g.routes.Current()}
	e := Explanation{ControlAgeMillis: g.watcher.staleness(now).Milliseconds()}
	f.lifecycle, err = coltsforward.NewRequest(incoming, f.table, now)
	if err != nil {
		e.refuse(asRefusal(err), now)
		return e, nil
	}
	f.explainChoice(&e, now)
	return e, nil
}

// asRefusal returns err as a refusal.
func asRefusal(err error) *coltsattempt.RefusedError {
	var refused *coltsattempt.RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return coltsattempt.NotRun(coltsattempt.ReasonBadRequest, "%v", err)
}

func (e *Explanation) refuse(refused *coltsattempt.RefusedError, now time.Time) {
	e.Outcome, e.Reason = outcomeRefuse, string(refused.Reason)+": "+refused.Detail
	if !refused.RetryAt.IsZero() {
		e.RetryAfterMillis = refused.RetryAt.Sub(now).Milliseconds()
	}
}

func (e *Explanation) wait(reason string, until, now time.Time) {
	e.Outcome, e.Reason, e.WaitMillis = outcomeWait, reason, until.Sub(now).Milliseconds()
}

// explainChoice explains the choice of the request's upstream.
func (f *forwarding) explainChoice(e *Explanation, now time.Time) {
	g, demand := f.g, f.demand()
	e.Route, e.Service, e.Organisation = f.lifecycle.Route.Name, string(f.lifecycle.Service), string(f.lifecycle.Organisation.Name)
	e.RouteTable = uint64(f.lifecycle.Version)
	e.Weight, e.Capacity, e.Limit = demand.Weight, demand.Capacity, demand.Limit
	e.Queued = g.queue.Len(f.lifecycle.Service)
	explanation := g.balancer.Explain(demand, now)
	e.Compared = explanation.Compared
	for _, u := range explanation.Upstreams {
		e.Upstreams = append(e.Upstreams, encodeExplained(u, now))
	}
	mustQueue := demand.Limit > 0 && g.queue.MustWait(f.lifecycle.Service, f.lifecycle.Priority(), now)
	switch {
	case f.explainRefusal(e, now):
	case mustQueue:
		e.wait("requests that go first are queued", f.lifecycle.QueueDeadline(), now)
	case f.mayWait(explanation.Err):
		e.wait(explanation.Err.Error(), f.lifecycle.QueueDeadline(), now)
	case explanation.Err != nil:
		e.refuse(f.lifecycle.NoUpstreamRefusal(explanation.Err, now), now)
	default:
		e.Outcome = outcomeSend
	}
}

// explainRefusal explains a refusal for a part of the prompt or a shutdown, and reports whether there is one.
func (f *forwarding) explainRefusal(e *Explanation, now time.Time) bool {
	if err := f.g.poison.Check(f.lifecycle.ObservedParts(), now); err != nil {
		e.refuse(f.lifecycle.NoUpstreamRefusal(err, now), now)
		return true
	}
	if refused := f.g.drainPlan.Load().Refusal(now, f.lifecycle.Deadline()); refused != nil {
		e.refuse(refused, now)
		return true
	}
	return false
}

func encodeExplained(u coltsbalance.Explained, now time.Time) ExplainedUpstream {
	e := ExplainedUpstream{
		Upstream: string(u.Upstream), DataCentre: string(u.DataCentre), Excluded: string(u.Excluded), Home: u.Home,
		Cost: u.Terms.Sum(), Load: u.Terms.Load, HomeBonus: u.Terms.HomeBonus, StoreBonus: u.Terms.DataCentreBonus,
		Cold: u.Terms.Cold, Pace: u.Terms.Pace, Prefill: u.Terms.Prefill, OwnLoad: u.OwnLoad, PeerLoad: u.PeerLoad,
		PeerLoadAgeMillis: -1,
	}
	if now.Before(u.PeerLoadUntil) {
		e.PeerLoadAgeMillis = now.Sub(u.PeerLoadAt).Milliseconds()
	}
	return e
}

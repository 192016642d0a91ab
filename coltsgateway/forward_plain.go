package coltsgateway

// Answers that are read whole before their first byte goes to the caller, and refusals.

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsmetric"
)

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

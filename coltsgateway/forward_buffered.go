package coltsgateway

// Responses that are buffered in full before they are passed on, and refusals of requests.

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsbuffer"
	"coltsfootstall/coltsmetric"
)

// forwardBuffered passes on a response after reading all of it.
func (f *forwarding) forwardBuffered(x *exchange) *attemptError {
	content, err := x.body.ReadAll(maxBufferedBytes, f.buffered.Grow)
	if err != nil {
		f.countExhausted(err)
		return x.readFailure(coltsattempt.PhaseSent, err)
	}
	status := x.resp.StatusCode()
	if f.firstAt.IsZero() {
		f.firstAt = f.g.now()
	}
	if x.meta.ImpliesNotRun && !f.lifecycle.Route.Idempotent() {
		return newAttemptError(coltsattempt.PhaseSent, coltsbalance.OutcomeAnswered,
			"upstream %s answered status %d and may have run the request", f.choice.Upstream.ID, status)
	}
	text, rest := f.encodeResponse(x, status, content)
	if status >= fasthttp.StatusInternalServerError && f.lifecycle.Route.Idempotent() {
		f.fallback, f.fallbackRest, f.status = text, rest, status
		f.buffered, f.fallbackBuffered = f.fallbackBuffered, f.buffered
		return newAttemptError(coltsattempt.PhaseSent, coltsbalance.OutcomeAnswered,
			"upstream %s answered status %d", f.choice.Upstream.ID, status)
	}
	f.status = status
	if status < fasthttp.StatusMultipleChoices {
		f.g.poison.RecordAnswer(f.parts, f.g.now())
	}
	f.completed = f.writeResponse(text, rest)
	return nil
}

// countExhausted counts err if it is the lack of memory for buffers.
func (f *forwarding) countExhausted(err error) {
	var exhausted *coltsbuffer.ExhaustedError
	if errors.As(err, &exhausted) {
		f.g.metrics.Add(coltsmetric.BuffersExhausted, 1)
	}
}

// copiedBytes is the longest content that is copied behind the head of its response, so that both are
// sent with one write. A longer one would take its memory twice.
const copiedBytes = 32 << 10

// encodeResponse returns a buffered response as it is sent to the caller, in two parts: the second one is
// empty or the content.
func (f *forwarding) encodeResponse(x *exchange, status int, content []byte) (text, rest []byte) {
	copied := content
	if len(content) > copiedBytes {
		copied, rest = nil, content
	}
	text = appendStatusLine(make([]byte, 0, len(copied)+512), status)
	text = f.g.dialect.AppendResponseHeaders(text, x.resp)
	f.closeConn = f.closeConn || f.g.isDraining()
	if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return finishHead(text, f.closeConn), nil
	}
	n := len(content)
	if f.req.Header.IsHead() {
		n = max(0, x.resp.ContentLength())
	}
	return append(finishHeadWithLength(text, n, f.closeConn), copied...), rest
}

// writeResponse sends both parts of a response to the caller and reports whether that succeeded.
func (f *forwarding) writeResponse(text, rest []byte) bool {
	return f.write(text) && (len(rest) == 0 || f.write(rest))
}

// write sends text to the caller and reports whether that succeeded.
func (f *forwarding) write(text []byte) bool {
	if _, err := f.conn.nc.Write(text); err != nil {
		f.g.metrics.Add(coltsmetric.CallerDisconnects, 1)
		return false
	}
	return true
}

// refuseError refuses a request because of err; an error other than a RefusedError counts as
// an upstream failure with unknown outcome.
func (f *forwarding) refuseError(id string, err error) bool {
	var refused *coltsattempt.RefusedError
	if !errors.As(err, &refused) {
		refused = coltsattempt.Unknown(coltsattempt.ReasonUpstream, "%v", err)
	}
	return f.refuse(id, refused)
}

// refuse sends the caller an error response and reports whether the connection can serve
// another request.
func (f *forwarding) refuse(id string, refused *coltsattempt.RefusedError) bool {
	now := f.g.now()
	metric := coltsmetric.FailedUnknown
	if refused.Outcome == coltsattempt.OutcomeNotRun {
		metric = coltsmetric.RefusedNotRun
	}
	f.g.metrics.Add(coltsmetric.Refused, 1)
	f.g.metrics.Add(metric, 1)
	r := f.g.dialect.BuildErrorResponse(refused, now)
	f.status = r.Status
	f.logRefusal(id, refused, r)
	f.closeConn = f.closeConn || f.g.isDraining()
	text := f.g.dialect.AppendErrorHeaders(appendStatusLine(nil, r.Status), r, id)
	text = append(finishHeadWithLength(text, len(r.Message), f.closeConn), r.Message...)
	if f.req.Header.IsHead() {
		text = bytes.TrimSuffix(text, []byte(r.Message))
	}
	return f.write(text) && !f.closeConn
}

package coltsentry

// All paths that callers may use are routed here, after checks that apply to every
// request: authentication, and whether the instance has a document to serve with.

import (
	"bytes"
	"crypto/sha256"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbody"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsmetric"
)

// servicePath is the path prefix of calls to plain services: /services/NAME/...
const servicePath = "/services/"

// callerHandler handles requests to one path by an authenticated organisation. It releases the body.
type callerHandler func(e *Entry, ctx *fasthttp.RequestCtx, org coltsdocument.Organisation, body *coltsbody.Body)

// callerHandlers holds the handlers by exact path. Paths that start with servicePath are
// handled by serveService.
var callerHandlers = map[string]callerHandler{
	"/v1/chat/completions": serveChat,
	"/v1/completions":      serveCompletion,
	"/v1/models":           serveModels,
}

// serveCaller handles all requests to the callers' listener.
func (e *Entry) serveCaller(ctx *fasthttp.RequestCtx) {
	e.metrics.Add(coltsmetric.Requests, 1)
	e.metrics.Add(coltsmetric.RequestsUnderWay, 1)
	defer e.metrics.Add(coltsmetric.RequestsUnderWay, -1)
	if e.isDraining() {
		ctx.SetConnectionClose()
	}
	now := e.cfg.Now()
	if refusal := e.drainPlan.Load().Refusal(now, now.Add(e.settings.RequestTimeout)); refusal != nil {
		e.refuse(ctx, refusal)
		return
	}
	handler, refusal := e.callerHandler(ctx)
	if refusal != nil {
		e.refuse(ctx, refusal)
		return
	}
	org, refusal := e.authenticate(ctx)
	if refusal != nil {
		e.refuse(ctx, refusal)
		return
	}
	body, refusal := e.readBody(ctx)
	if refusal != nil {
		e.refuse(ctx, refusal)
		return
	}
	handled := false
	defer func() {
		if !handled {
			body.Release()
		}
	}()
	handler(e, ctx, org, body)
	handled = true
}

// bodyRefusals maps the reasons for which a body is refused to those that callers get.
var bodyRefusals = map[coltsbody.Refusal]coltsattempt.Reason{
	coltsbody.RefusalTooLong: coltsattempt.ReasonTooLong,
	coltsbody.RefusalTooSlow: coltsattempt.ReasonTooSlow,
	coltsbody.RefusalNoRoom:  coltsattempt.ReasonOverloaded,
	coltsbody.RefusalBroken:  coltsattempt.ReasonBadRequest,
}

// readBody reads the body of a request.
func (e *Entry) readBody(ctx *fasthttp.RequestCtx) (*coltsbody.Body, *coltsattempt.RefusedError) {
	body, err := e.listeners.callers.ReadBody(ctx)
	var refused *coltsbody.RefusedError
	if !errors.As(err, &refused) {
		return body, nil
	}
	refusal := coltsattempt.NotRun(bodyRefusals[refused.Reason], "%v", err)
	if refused.Reason == coltsbody.RefusalNoRoom {
		refusal = refusal.WithRetryAt(e.cfg.Now())
	}
	return nil, refusal
}

func (e *Entry) callerHandler(ctx *fasthttp.RequestCtx) (callerHandler, *coltsattempt.RefusedError) {
	path := string(ctx.Path())
	if handler, known := callerHandlers[path]; known {
		return handler, nil
	}
	if strings.HasPrefix(path, servicePath) {
		return serveService, nil
	}
	return nil, coltsattempt.NotRun(coltsattempt.ReasonUnknownPath, "there is no path %s", path)
}

// authenticate returns the organisation to which the request's bearer key belongs.
func (e *Entry) authenticate(ctx *fasthttp.RequestCtx) (coltsdocument.Organisation, *coltsattempt.RefusedError) {
	index := e.index.Load()
	if index.Document.Revision == 0 {
		return coltsdocument.Organisation{}, coltsattempt.NotRun(coltsattempt.ReasonNotReady,
			"this instance has not received the operators' document yet").WithRetryAt(e.cfg.Now())
	}
	key, found := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), []byte("Bearer "))
	if !found {
		return coltsdocument.Organisation{}, coltsattempt.NotRun(coltsattempt.ReasonUnknownKey,
			"the request has no bearer key")
	}
	org, known := index.Organisation(sha256.Sum256(bytes.TrimSpace(key)))
	if !known {
		return coltsdocument.Organisation{}, coltsattempt.NotRun(coltsattempt.ReasonUnknownKey,
			"the bearer key is not known")
	}
	return org, nil
}

// refuse writes a refusal as the response.
func (e *Entry) refuse(ctx *fasthttp.RequestCtx, r *coltsattempt.RefusedError) {
	e.metrics.Add(coltsmetric.Refused, 1)
	ctx.SetStatusCode(coltscodec.RefusalStatus(r))
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(coltscodec.HeaderOutcome, string(r.Outcome))
	if !r.RetryAt.IsZero() {
		wait := max(0, r.RetryAt.Sub(e.cfg.Now()))
		// Retry-After takes whole seconds, so the wait is rounded up.
		seconds := int64(wait.Seconds()) + 1
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	ctx.SetBody(coltscodec.EncodeRefusal(r))
}

// newRequestID returns a new request ID and sets it in the response headers.
func newRequestID(ctx *fasthttp.RequestCtx) coltsidentity.Request {
	id := coltsidentity.NewRequest()
	ctx.Response.Header.Set("X-Request-Id", id.String())
	return id
}

// serveModels lists the model versions that the organisation may use. The current version
// of a model is also listed under the model's plain name.
func serveModels(e *Entry, ctx *fasthttp.RequestCtx, org coltsdocument.Organisation, body *coltsbody.Body) {
	body.Release()
	names := make([]string, 0, len(org.Models))
	for _, m := range e.document().Sections.Models {
		for _, v := range m.Versions {
			if org.MayUse(m.ID, v) && v == m.Current {
				names = append(names, string(m.ID))
			}
			if org.MayUse(m.ID, v) {
				names = append(names, string(m.ID)+"@"+string(v))
			}
		}
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(coltscodec.EncodeModels(names))
}

package coltsentry

// A prompt is served in two phases. Up to the first token it runs on the attempts pool,
// which bounds the number of concurrent prompts. After that, the goroutine that writes
// the response to the caller reads the runner's stream.

import (
	"context"
	"io"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsaccept"
	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbody"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsrequest"
	"coltsfootstall/coltsupstream"
	"coltsfootstall/coltswatch"
)

func serveChat(e *Entry, ctx *fasthttp.RequestCtx, org coltsdocument.Organisation, body *coltsbody.Body) {
	e.servePrompt(ctx, org, body, coltscodec.DecodeChat)
}

func serveCompletion(e *Entry, ctx *fasthttp.RequestCtx, org coltsdocument.Organisation, body *coltsbody.Body) {
	e.servePrompt(ctx, org, body, coltscodec.DecodeCompletion)
}

func (e *Entry) servePrompt(
	ctx *fasthttp.RequestCtx, org coltsdocument.Organisation, body *coltsbody.Body,
	decode func([]byte) (coltscodec.PromptRequest, error),
) {
	decoded, err := decode(body.Bytes)
	if err != nil {
		body.Release()
		e.refuse(ctx, coltsattempt.NotRun(coltsattempt.ReasonBadRequest, "%v", err))
		return
	}
	d := e.newPromptDriver(ctx, org, decoded, body)
	conn := watchedConn(ctx)
	conn.StartWatch(d.cancel)
	if decoded.Stream {
		e.serveStreamed(ctx, d, conn)
		return
	}
	defer d.cancel()
	defer body.Release()
	defer conn.StopWatch()
	e.serveBuffered(ctx, d)
}

func (e *Entry) newPromptDriver(
	ctx *fasthttp.RequestCtx, org coltsdocument.Organisation, decoded coltscodec.PromptRequest, body *coltsbody.Body,
) *promptDriver {
	now := e.cfg.Now()
	d := &promptDriver{
		e:    e,
		path: string(ctx.Path()),
		body: body,
		prompt: coltsrequest.Prompt{
			ID:           newRequestID(ctx),
			Organisation: org,
			Model:        decoded.Model,
			Version:      decoded.Version,
			Adapter:      decoded.Adapter,
			Text:         decoded.Text,
			Stream:       decoded.Stream,
			MaxTokens:    decoded.MaxTokens,
			ArrivedAt:    now,
			Deadline:     now.Add(e.settings.RequestTimeout),
		},
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// begin creates the request's lifecycle on the attempts pool, calls run with its first
// action and returns the result of run. It returns a refusal if the pool is full.
func (d *promptDriver) begin(run func(coltsrequest.Action) *coltsattempt.RefusedError) *coltsattempt.RefusedError {
	var refusal *coltsattempt.RefusedError
	task := d.e.attempts.Submit(func() {
		var action coltsrequest.Action
		d.lifecycle, action = d.e.coordinator.Begin(d.prompt, d.e.cfg.Now())
		refusal = run(action)
	})
	if err := task.Wait(); err != nil {
		return d.e.poolRefusal(err)
	}
	return refusal
}

// poolRefusal returns the refusal of a request for which the attempts pool reported err: the pool is
// full, or the request's task panicked.
func (e *Entry) poolRefusal(err error) *coltsattempt.RefusedError {
	if errors.Is(err, pond.ErrPanic) {
		e.metrics.Add(coltsmetric.Panics, 1)
		e.log.Error("An unexpected error ended a request.", coltslog.Fields{"error": err})
		return coltsattempt.Unknown(coltsattempt.ReasonUnexpected, "an unexpected error ended the request")
	}
	return coltsattempt.NotRun(coltsattempt.ReasonOverloaded,
		"this instance is serving its maximum number of requests").WithRetryAt(e.cfg.Now())
}

// serveStreamed serves a request whose answer is streamed to the caller.
func (e *Entry) serveStreamed(ctx *fasthttp.RequestCtx, d *promptDriver, conn *coltswatch.Conn) {
	body := &answerBody{d: d, conn: conn}
	refusal := d.begin(body.readFirstPart)
	if refusal != nil {
		conn.StopWatch()
		d.body.Release()
		d.cancel()
		e.refuse(ctx, refusal)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.Header.Set(coltscodec.HeaderUpstream, string(d.dispatch.Upstream))
	e.metrics.Add(coltsmetric.RequestsUnderWay, 1)
	ctx.SetBodyStream(body, -1)
}

// answerBody is the body of a streamed response, which fasthttp reads. Read returns
// parts as soon as they arrive instead of filling its buffer, so that each part is written
// to the caller immediately.
type answerBody struct {
	d    *promptDriver
	conn *coltswatch.Conn
	// pending is the part of buffer that Read has not returned yet.
	pending []byte
	// atEnd is set once pending holds the end of the answer.
	atEnd  bool
	buffer []byte
}

// readFirstPart carries out actions until the first part of the answer has arrived. A
// request that is refused before that gets an ordinary response with an error status.
func (b *answerBody) readFirstPart(action coltsrequest.Action) *coltsattempt.RefusedError {
	for {
		refusal := b.d.openStream(action)
		if refusal != nil {
			return refusal
		}
		part, next, failure := b.d.awaitFirstPart()
		switch {
		case failure != nil:
			b.d.closeStream()
			action = b.d.handleFailure(failure)
		case part == nil:
			action = next
		default:
			b.buffer = append(b.buffer, part...)
			b.pending = b.buffer
			return nil
		}
	}
}

// awaitFirstPart waits for the first part of the answer and returns it. If the first token
// is overdue and the lifecycle moves the request to another upstream, it returns a nil
// part and the action of the new attempt.
func (d *promptDriver) awaitFirstPart() ([]byte, coltsrequest.Action, *coltsupstream.Failure) {
	for {
		event, failure := d.stream.NextBy(d.dispatch.OverdueAt)
		if failure != nil {
			return nil, coltsrequest.Action{}, failure
		}
		switch event.Kind {
		case coltsupstream.EventOverdue:
			d.dispatch.OverdueAt = time.Time{}
			if next, move := d.lifecycle.FirstTokenOverdue(d.e.cfg.Now()); move {
				d.closeStream()
				return nil, next, nil
			}
		case coltsupstream.EventPrefill:
			d.dispatch.OverdueAt = time.Time{}
			d.lifecycle.Prefilled(event.Prefill, d.e.cfg.Now())
		case coltsupstream.EventPart:
			d.lifecycle.Prefilled(coltsrequest.PrefillResult{}, d.e.cfg.Now())
			d.lifecycle.PartsDelivered(1)
			return event.Part, coltsrequest.Action{}, nil
		case coltsupstream.EventUsage:
			d.generated = event.GeneratedTokens
		case coltsupstream.EventEnd:
			d.finish()
			return []byte("data: [DONE]\n\n"), coltsrequest.Action{}, nil
		}
	}
}

// Read returns the parts received so far, or waits for the next one if there are none. fasthttp
// closes the connection without the end of the response if Read fails.
func (b *answerBody) Read(p []byte) (n int, err error) {
	defer func() {
		b.d.e.log.HandlePanic(recover(), coltslog.Fields{"request": b.d.prompt.ID}, func() {
			b.d.e.metrics.Add(coltsmetric.Panics, 1)
			n, err = 0, errors.New("an unexpected error ended the response")
		})
	}()
	if len(b.pending) == 0 {
		if b.atEnd || b.d.ended {
			return 0, io.EOF
		}
		var more bool
		b.buffer, more = b.d.appendParts(b.buffer[:0])
		b.pending = b.buffer
		b.atEnd = !more
	}
	n = copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// Close is called by fasthttp when the answer has been written or the caller has
// disconnected.
func (b *answerBody) Close() error {
	b.conn.StopWatch()
	b.d.body.Release()
	b.d.callerDisconnected(b.d.e.cfg.Now())
	b.d.cancel()
	b.d.e.metrics.Add(coltsmetric.RequestsUnderWay, -1)
	return nil
}

// serveBuffered serves a request whose answer is sent to the caller in one piece.
func (e *Entry) serveBuffered(ctx *fasthttp.RequestCtx, d *promptDriver) {
	var answer coltsupstream.Answer
	refusal := d.begin(func(action coltsrequest.Action) *coltsattempt.RefusedError {
		var refusal *coltsattempt.RefusedError
		answer, refusal = d.runBuffered(action)
		return refusal
	})
	if refusal != nil {
		e.refuse(ctx, refusal)
		return
	}
	ctx.SetContentType(answer.ContentType)
	ctx.Response.Header.Set(coltscodec.HeaderUpstream, string(d.dispatch.Upstream))
	ctx.SetBody(answer.Body)
}

// watchedConn returns the caller's connection, which watches for a disconnection.
func watchedConn(ctx *fasthttp.RequestCtx) *coltswatch.Conn {
	if accepted, ok := ctx.Conn().(*coltsaccept.Conn); ok {
		if c, ok := accepted.NetConn().(*coltswatch.Conn); ok {
			return c
		}
	}
	// Prompts are served only on the callers' listener, which accepts watched connections.
	panic("the caller's connection is not a *coltswatch.Conn")
}

package coltsentry

// Prompts are served in two phases: up to the first token on the pool of
// attempts, so that their number is bounded, and from then on by the goroutine
// that writes to the caller, which reads the runner's stream as it goes.

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsrequest"
	"coltsfootstall/coltsupstream"
	"coltsfootstall/coltswatch"
)

func serveChat(e *Entry, ctx *fasthttp.RequestCtx, org coltsdocument.Organisation) {
	e.servePrompt(ctx, org, coltscodec.DecodeChat)
}

func serveCompletion(e *Entry, ctx *fasthttp.RequestCtx, org coltsdocument.Organisation) {
	e.servePrompt(ctx, org, coltscodec.DecodeCompletion)
}

func (e *Entry) servePrompt(
	ctx *fasthttp.RequestCtx, org coltsdocument.Organisation,
	decode func([]byte) (coltscodec.PromptRequest, error),
) {
	read, err := decode(ctx.PostBody())
	if err != nil {
		e.refuse(ctx, coltsattempt.NotRun(coltsattempt.ReasonBadRequest, "%v", err))
		return
	}
	d := e.newPromptDriver(ctx, org, read)
	conn := watchedOf(ctx)
	conn.StartWatch(d.cancel)
	if read.Stream {
		e.streamAnswer(ctx, d, conn)
		return
	}
	defer d.cancel()
	defer conn.StopWatch()
	e.wholeAnswer(ctx, d)
}

func (e *Entry) newPromptDriver(
	ctx *fasthttp.RequestCtx, org coltsdocument.Organisation, read coltscodec.PromptRequest,
) *promptDriver {
	now := e.cfg.Now()
	d := &promptDriver{
		e:    e,
		path: string(ctx.Path()),
		// The stream is read after the handler has returned, when the request's
		// own buffer may serve another.
		body: slices.Clone(ctx.PostBody()),
		prompt: coltsrequest.Prompt{
			ID:           newRequest(ctx),
			Organisation: org,
			Model:        read.Model,
			Version:      read.Version,
			Adapter:      read.Adapter,
			Text:         read.Text,
			Stream:       read.Stream,
			MaxTokens:    read.MaxTokens,
			ArrivedAt:    now,
			Deadline:     now.Add(e.settings.RequestTimeout),
		},
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// begin starts the life on the pool of attempts and waits for what run makes of
// its first action. It returns a refusal if the pool is full.
func (d *promptDriver) begin(run func(coltsrequest.Action) *coltsattempt.RefusedError) *coltsattempt.RefusedError {
	var refusal *coltsattempt.RefusedError
	task := d.e.attempts.Submit(func() {
		var action coltsrequest.Action
		d.life, action = d.e.coordinator.Begin(d.prompt, d.e.cfg.Now())
		refusal = run(action)
	})
	if err := task.Wait(); err != nil {
		return coltsattempt.NotRun(coltsattempt.ReasonOverloaded, "this instance serves as many requests as it may").
			WithRetryAt(d.e.cfg.Now())
	}
	return refusal
}

// streamAnswer serves a request whose answer is streamed.
func (e *Entry) streamAnswer(ctx *fasthttp.RequestCtx, d *promptDriver, conn *coltswatch.Conn) {
	body := &answerBody{d: d, conn: conn}
	refusal := d.begin(body.readFirst)
	if refusal != nil {
		conn.StopWatch()
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

// answerBody is a streamed answer as the server reads it: each Read gives what
// has come, so that each part is written to the caller at once.
type answerBody struct {
	d    *promptDriver
	conn *coltswatch.Conn
	// pending are bytes not yet handed out; last says that none follow.
	pending []byte
	last    bool
	buffer  []byte
}

// readFirst goes on from an action until the first part of the answer has come,
// so that a refusal before it is an ordinary response with its status.
func (b *answerBody) readFirst(action coltsrequest.Action) *coltsattempt.RefusedError {
	for {
		refusal := b.d.open(action)
		if refusal != nil {
			return refusal
		}
		part, next, failure := b.d.firstPart()
		switch {
		case failure != nil:
			b.d.closeStream()
			action = b.d.fail(failure)
		case part == nil:
			action = next
		default:
			b.buffer = append(b.buffer, part...)
			b.pending = b.buffer
			return nil
		}
	}
}

// firstPart waits for the first part of the answer and returns it, or the action
// that takes the place of an attempt that is overdue.
func (d *promptDriver) firstPart() ([]byte, coltsrequest.Action, *coltsupstream.Failure) {
	for {
		event, failure := d.stream.NextBy(d.dispatch.OverdueAt)
		if failure != nil {
			return nil, coltsrequest.Action{}, failure
		}
		switch event.Kind {
		case coltsupstream.EventOverdue:
			d.dispatch.OverdueAt = time.Time{}
			if next, move := d.life.Overdue(d.e.cfg.Now()); move {
				d.closeStream()
				return nil, next, nil
			}
		case coltsupstream.EventPrefill:
			d.dispatch.OverdueAt = time.Time{}
			d.life.Prefilled(event.Prefill, d.e.cfg.Now())
		case coltsupstream.EventPart:
			d.life.Prefilled(coltsrequest.PrefillResult{}, d.e.cfg.Now())
			d.life.Progressed(1)
			return event.Part, coltsrequest.Action{}, nil
		case coltsupstream.EventUsage:
			d.generated = event.Generated
		case coltsupstream.EventEnd:
			d.finish()
			return []byte("data: [DONE]\n\n"), coltsrequest.Action{}, nil
		}
	}
}

// Read hands out what has come, or waits for the next part.
func (b *answerBody) Read(p []byte) (int, error) {
	if len(b.pending) == 0 {
		if b.last || b.d.ended {
			return 0, io.EOF
		}
		var more bool
		b.buffer, more = b.d.appendParts(b.buffer[:0])
		b.pending = b.buffer
		b.last = !more
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// Close is called when the answer was written or the caller is gone.
func (b *answerBody) Close() error {
	b.conn.StopWatch()
	b.d.callerLeft(b.d.e.cfg.Now())
	b.d.cancel()
	b.d.e.metrics.Add(coltsmetric.RequestsUnderWay, -1)
	return nil
}

// wholeAnswer serves a request whose answer is sent at once.
func (e *Entry) wholeAnswer(ctx *fasthttp.RequestCtx, d *promptDriver) {
	var answer coltsupstream.Answer
	refusal := d.begin(func(action coltsrequest.Action) *coltsattempt.RefusedError {
		var refusal *coltsattempt.RefusedError
		answer, refusal = d.whole(action)
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

// watchedOf returns the caller's connection.
func watchedOf(ctx *fasthttp.RequestCtx) *coltswatch.Conn {
	c, ok := ctx.Conn().(*coltswatch.Conn)
	if !ok {
		// Only servers of watchListener serve prompts.
		panic("caller's connection can't be watched")
	}
	return c
}

package coltsentry

// The driver carries out the actions of one request's life and tells it what
// came of them. It holds no rule: what follows a failure, a break or a hang-up is
// the life's answer.

import (
	"context"
	"strconv"
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsrequest"
	"coltsfootstall/coltsupstream"
)

// promptDriver drives one request. It is used by one goroutine at a time.
type promptDriver struct {
	e      *Entry
	prompt coltsrequest.Prompt
	// path and body are passed on to the runner as they came.
	path string
	body []byte
	life *coltsrequest.Lifecycle

	// ctx ends when the caller hangs up; cancel ends the attempt under way.
	ctx    context.Context
	cancel context.CancelFunc

	dispatch coltsrequest.Dispatch
	stream   *coltsupstream.Stream
	// failure is one that came behind parts which had to be passed on first.
	failure *coltsupstream.Failure
	// generated is what the runner says it has generated in this attempt.
	generated int64
	ended     bool
}

// open goes on from an action until a stream is open that has its first part, or
// the request is refused.
func (d *promptDriver) open(action coltsrequest.Action) *coltsattempt.RefusedError {
	for {
		switch action.Kind {
		case coltsrequest.ActionLookup:
			action = d.lookup(action.Lookup)
		case coltsrequest.ActionDispatch:
			failure := d.send(action.Dispatch)
			if failure == nil {
				return nil
			}
			action = d.fail(failure)
		default:
			d.ended = true
			return action.Refusal
		}
	}
}

func (d *promptDriver) lookup(l coltsrequest.Lookup) coltsrequest.Action {
	d.e.metrics.Add(coltsmetric.Lookups, 1)
	held, err := d.e.client.Lookup(d.ctx, l.Addr, l.Pieces, l.Deadline)
	if err != nil {
		d.e.log.Debug("A lookup failed.", coltslog.Fields{"store": l.Store, "error": err})
	}
	return d.life.Located(held, d.e.cfg.Now())
}

// send opens the stream of an attempt.
func (d *promptDriver) send(to coltsrequest.Dispatch) *coltsupstream.Failure {
	d.dispatch = to
	d.generated = 0
	d.e.countAttempt(to.Attempt)
	if to.ResumeAt > 0 {
		d.e.metrics.Add(coltsmetric.Resumes, 1)
	}
	stream, failure := d.e.client.Open(d.ctx, d.request(to))
	if failure != nil {
		return failure
	}
	d.stream = stream
	if queued, said := stream.Queued(); said {
		d.life.Taken(queued, d.e.cfg.Now())
	}
	return nil
}

// request is the message of an attempt.
func (d *promptDriver) request(to coltsrequest.Dispatch) coltsupstream.Request {
	headers := map[string]string{
		coltscodec.HeaderAttempt: strconv.Itoa(to.Attempt),
		coltscodec.HeaderVersion: string(d.life.Version()),
	}
	if len(to.Pieces) > 0 {
		headers[coltscodec.HeaderPieces] = coltsupstream.PiecesHeader(to.Pieces)
	}
	if to.Restore.UpTo > 0 {
		headers[coltscodec.HeaderRestore] = coltsupstream.RestoreHeader(to.Restore)
	}
	if to.ResumeAt > 0 {
		headers[coltscodec.HeaderResumeAt] = strconv.FormatInt(to.ResumeAt, 10)
	}
	return coltsupstream.Request{
		ID:          d.prompt.ID,
		Addr:        to.Addr,
		Method:      "POST",
		Path:        d.path,
		ContentType: "application/json",
		Body:        d.body,
		Headers:     headers,
		Deadline:    to.Deadline,
	}
}

// appendParts appends the next parts of the answer to b: it waits for one and
// takes along those that are there already. It returns false after the last.
func (d *promptDriver) appendParts(b []byte) ([]byte, bool) {
	start := len(b)
	for {
		event, failure := d.next()
		if failure != nil {
			if len(b) > start {
				d.failure = failure
				return b, true
			}
			refusal := d.recover(failure)
			if refusal != nil {
				return append(b, coltscodec.EncodeRefusalEvent(refusal)...), false
			}
			continue
		}
		switch event.Kind {
		case coltsupstream.EventPrefill:
			d.life.Prefilled(event.Prefill, d.e.cfg.Now())
		case coltsupstream.EventUsage:
			d.generated = event.Generated
		case coltsupstream.EventPart:
			b = append(b, event.Part...)
			d.life.Progressed(1)
		case coltsupstream.EventEnd:
			d.finish()
			return append(b, "data: [DONE]\n\n"...), false
		}
		if len(b) > start && !d.stream.Buffered() {
			return b, true
		}
	}
}

// next returns the next event, or the failure that was put off.
func (d *promptDriver) next() (coltsupstream.Event, *coltsupstream.Failure) {
	if d.failure != nil {
		failure := d.failure
		d.failure = nil
		return coltsupstream.Event{}, failure
	}
	return d.stream.Next()
}

// recover goes on after a broken stream, or returns the refusal that ends it.
func (d *promptDriver) recover(failure *coltsupstream.Failure) *coltsattempt.RefusedError {
	d.closeStream()
	return d.open(d.fail(failure))
}

// fail tells the life of a failure, or of the caller's leaving if that was its
// cause.
func (d *promptDriver) fail(failure *coltsupstream.Failure) coltsrequest.Action {
	now := d.e.cfg.Now()
	if d.ctx.Err() != nil {
		d.callerLeft(now)
		return coltsrequest.Action{
			Kind:    coltsrequest.ActionRefuse,
			Refusal: coltsattempt.Ran(coltsattempt.ReasonCallerLeft, "the caller hung up"),
		}
	}
	d.e.log.Debug("An attempt failed.", coltslog.Fields{
		"request":  d.prompt.ID,
		"upstream": d.dispatch.Upstream,
		"detail":   failure.Detail,
	})
	return d.life.Failed(failure.Failure, now)
}

// finish takes in the end of a whole answer.
func (d *promptDriver) finish() {
	d.ended = true
	generated := d.generated
	if generated == 0 {
		// A runner that does not say is taken by the parts that it sent.
		generated = d.life.Delivered()
	}
	d.e.metrics.Add(coltsmetric.Tokens, d.life.Delivered())
	action := d.life.Finished(generated, d.e.cfg.Now())
	d.e.charge(action.Done.Charge)
	d.e.export(action.Done.Export)
	d.closeStream()
}

// callerLeft ends the life and the attempt of a caller that hung up.
func (d *promptDriver) callerLeft(now time.Time) {
	if d.ended {
		return
	}
	d.ended = true
	d.e.metrics.Add(coltsmetric.CallerLeft, 1)
	d.e.charge(d.life.CallerLeft(now))
	d.closeStream()
	d.e.cancelAttempt(d.prompt.ID, d.dispatch.Addr)
}

func (d *promptDriver) closeStream() {
	if d.stream != nil {
		d.stream.Close()
	}
	d.stream = nil
}

// whole carries out a request whose answer is not streamed and returns it.
func (d *promptDriver) whole(action coltsrequest.Action) (coltsupstream.Answer, *coltsattempt.RefusedError) {
	for {
		switch action.Kind {
		case coltsrequest.ActionLookup:
			action = d.lookup(action.Lookup)
		case coltsrequest.ActionDispatch:
			answer, failure := d.sendWhole(action.Dispatch)
			if failure == nil {
				return answer, nil
			}
			action = d.fail(failure)
		default:
			d.ended = true
			return coltsupstream.Answer{}, action.Refusal
		}
	}
}

func (d *promptDriver) sendWhole(to coltsrequest.Dispatch) (coltsupstream.Answer, *coltsupstream.Failure) {
	d.dispatch = to
	d.e.countAttempt(to.Attempt)
	answer, failure := d.e.client.Complete(d.ctx, d.request(to))
	if failure != nil {
		return coltsupstream.Answer{}, failure
	}
	d.ended = true
	now := d.e.cfg.Now()
	usage := coltscodec.DecodeUsage(answer.Body)
	d.life.Prefilled(coltsrequest.PrefillResult{PromptTokens: usage.Prompt, Cached: usage.Cached}, now)
	action := d.life.Finished(usage.Generated, now)
	d.e.charge(action.Done.Charge)
	d.e.export(action.Done.Export)
	return answer, nil
}

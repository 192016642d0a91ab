package coltsentry

// promptDriver carries out the actions of a coltsrequest.Lifecycle and reports their
// results to it. The driver makes no decisions: the lifecycle decides what to do after a
// failed attempt, a broken stream or a caller's disconnection.

import (
	"context"
	"strconv"
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbody"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsrequest"
	"coltsfootstall/coltsupstream"
)

// promptDriver executes one request. It is used by one goroutine at a time.
type promptDriver struct {
	e      *Entry
	prompt coltsrequest.Prompt
	// path and body are forwarded to the runner unchanged.
	path      string
	body      *coltsbody.Body
	lifecycle *coltsrequest.Lifecycle

	// ctx ends when the caller disconnects or cancel is called, which aborts the current
	// attempt.
	ctx    context.Context
	cancel context.CancelFunc

	// dispatch is the current attempt.
	dispatch coltsrequest.Dispatch
	// stream is the open stream of the current attempt; nil if there is none.
	stream *coltsupstream.Stream
	// deferredFailure is a failure that followed parts which must be delivered first.
	deferredFailure *coltsupstream.Failure
	// generated is the number of tokens that the runner reports as generated in the
	// current attempt; zero if it has not reported any.
	generated int64
	// ended is set once the request was answered in full, refused or abandoned.
	ended bool
}

// openStream carries out actions until an attempt's stream is open or the request is
// refused.
func (d *promptDriver) openStream(action coltsrequest.Action) *coltsattempt.RefusedError {
	for {
		switch action.Kind {
		case coltsrequest.ActionLookup:
			action = d.lookup(action.Lookup)
		case coltsrequest.ActionDispatch:
			failure := d.sendAttempt(action.Dispatch)
			if failure == nil {
				return nil
			}
			action = d.handleFailure(failure)
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
	return d.lifecycle.LookupDone(held, d.e.cfg.Now())
}

// sendAttempt opens the stream of an attempt.
func (d *promptDriver) sendAttempt(dispatch coltsrequest.Dispatch) *coltsupstream.Failure {
	d.dispatch = dispatch
	d.generated = 0
	if dispatch.ResumeAt > 0 {
		d.e.metrics.Add(coltsmetric.Resumes, 1)
	}
	stream, failure := d.e.client.Open(d.ctx, d.upstreamRequest(dispatch))
	if failure != nil {
		return failure
	}
	d.stream = stream
	if queued, reported := stream.QueuedTokens(); reported {
		d.lifecycle.Accepted(queued, d.e.cfg.Now())
	}
	return nil
}

// upstreamRequest returns the request that is sent to the upstream for an attempt.
func (d *promptDriver) upstreamRequest(dispatch coltsrequest.Dispatch) coltsupstream.Request {
	headers := map[string]string{
		coltscodec.HeaderAttempt: strconv.Itoa(dispatch.Attempt),
		coltscodec.HeaderVersion: string(d.lifecycle.Version()),
	}
	if len(dispatch.Pieces) > 0 {
		headers[coltscodec.HeaderPieces] = coltsupstream.FormatPiecesHeader(dispatch.Pieces)
	}
	if dispatch.Restore.UpTo > 0 {
		headers[coltscodec.HeaderRestore] = coltsupstream.FormatRestoreHeader(dispatch.Restore)
	}
	if dispatch.ResumeAt > 0 {
		headers[coltscodec.HeaderResumeAt] = strconv.FormatInt(dispatch.ResumeAt, 10)
	}
	return coltsupstream.Request{
		ID:          d.prompt.ID,
		Addr:        dispatch.Addr,
		Method:      "POST",
		Path:        d.path,
		ContentType: "application/json",
		Body:        d.body.Bytes,
		Headers:     headers,
		Deadline:    dispatch.Deadline,
		OnSent:      func() { d.e.countAttempt(dispatch.Attempt) },
	}
}

// appendParts appends the next parts of the answer to b: it waits for one part and adds
// those that are already buffered. The result reports whether more parts follow.
func (d *promptDriver) appendParts(b []byte) ([]byte, bool) {
	start := len(b)
	for {
		event, failure := d.nextEvent()
		if failure != nil {
			if len(b) > start {
				d.deferredFailure = failure
				return b, true
			}
			refusal := d.resumeAfter(failure)
			if refusal != nil {
				return append(b, coltscodec.EncodeRefusalEvent(refusal)...), false
			}
			continue
		}
		switch event.Kind {
		case coltsupstream.EventPrefill:
			d.lifecycle.Prefilled(event.Prefill, d.e.cfg.Now())
		case coltsupstream.EventUsage:
			d.generated = event.GeneratedTokens
		case coltsupstream.EventPart:
			b = append(b, event.Part...)
			d.lifecycle.PartsDelivered(1)
		case coltsupstream.EventEnd:
			d.finish()
			return append(b, "data: [DONE]\n\n"...), false
		}
		if len(b) > start && !d.stream.Buffered() {
			return b, true
		}
	}
}

// nextEvent returns the deferred failure, if any, or else the next event of the stream.
func (d *promptDriver) nextEvent() (coltsupstream.Event, *coltsupstream.Failure) {
	if d.deferredFailure != nil {
		failure := d.deferredFailure
		d.deferredFailure = nil
		return coltsupstream.Event{}, failure
	}
	return d.stream.Next()
}

// resumeAfter opens the stream of a new attempt after a broken one. If the request can't be
// continued, it returns the refusal.
func (d *promptDriver) resumeAfter(failure *coltsupstream.Failure) *coltsattempt.RefusedError {
	d.closeStream()
	return d.openStream(d.handleFailure(failure))
}

// handleFailure reports a failed attempt to the lifecycle and returns the next action. If
// the attempt failed because the caller disconnected, it reports the disconnection
// instead, and the action is a refusal.
func (d *promptDriver) handleFailure(failure *coltsupstream.Failure) coltsrequest.Action {
	now := d.e.cfg.Now()
	if d.ctx.Err() != nil {
		d.callerDisconnected(now)
		return coltsrequest.Action{
			Kind:    coltsrequest.ActionRefuse,
			Refusal: coltsattempt.Ran(coltsattempt.ReasonCallerLeft, "the caller disconnected"),
		}
	}
	d.e.log.Debug("An attempt failed.", coltslog.Fields{
		"request":  d.prompt.ID,
		"upstream": d.dispatch.Upstream,
		"detail":   failure.Detail,
	})
	return d.lifecycle.Failed(failure.Failure, now)
}

// finish ends a request whose answer was streamed in full.
func (d *promptDriver) finish() {
	d.ended = true
	generated := d.generated
	if generated == 0 {
		// A runner that reports no count is assumed to send one token per part.
		generated = d.lifecycle.Delivered()
	}
	d.e.metrics.Add(coltsmetric.StreamedParts, d.lifecycle.Delivered())
	action := d.lifecycle.Finished(generated, d.e.cfg.Now())
	d.e.recordUsage(action.Done.Charge)
	d.e.export(action.Done.Export)
	d.closeStream()
}

// callerDisconnected ends the lifecycle and the current attempt because the caller has
// disconnected. It does nothing if the request has already ended.
func (d *promptDriver) callerDisconnected(now time.Time) {
	if d.ended {
		return
	}
	d.ended = true
	d.e.metrics.Add(coltsmetric.CallerDisconnects, 1)
	d.e.recordUsage(d.lifecycle.CallerDisconnected(now))
	d.closeStream()
	d.e.cancelAttempt(d.prompt.ID, d.dispatch.Addr)
}

func (d *promptDriver) closeStream() {
	if d.stream != nil {
		d.stream.Close()
	}
	d.stream = nil
}

// runBuffered executes a request whose answer is not streamed and returns the answer.
func (d *promptDriver) runBuffered(action coltsrequest.Action) (coltsupstream.Answer, *coltsattempt.RefusedError) {
	for {
		switch action.Kind {
		case coltsrequest.ActionLookup:
			action = d.lookup(action.Lookup)
		case coltsrequest.ActionDispatch:
			answer, failure := d.sendBuffered(action.Dispatch)
			if failure == nil {
				return answer, nil
			}
			action = d.handleFailure(failure)
		default:
			d.ended = true
			return coltsupstream.Answer{}, action.Refusal
		}
	}
}

func (d *promptDriver) sendBuffered(dispatch coltsrequest.Dispatch) (coltsupstream.Answer, *coltsupstream.Failure) {
	d.dispatch = dispatch
	answer, failure := d.e.client.Complete(d.ctx, d.upstreamRequest(dispatch))
	if failure != nil {
		return coltsupstream.Answer{}, failure
	}
	d.ended = true
	now := d.e.cfg.Now()
	usage := coltscodec.DecodeUsage(answer.Body)
	d.lifecycle.Prefilled(coltsrequest.PrefillResult{PromptTokens: usage.PromptTokens, Cached: usage.CachedTokens}, now)
	action := d.lifecycle.Finished(usage.GeneratedTokens, now)
	d.e.recordUsage(action.Done.Charge)
	d.e.export(action.Done.Export)
	return answer, nil
}

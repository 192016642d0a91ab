package coltsstandin

// The runner's answers: words that follow from the prompt alone, streamed or at
// once, with signs of life while there is nothing to say.

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"coltsfootstall/coltscodec"
)

// Word returns a word of the answer to a prompt's text.
func Word(seed uint64, i int) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%d/%d", seed, i)
	return fmt.Sprintf("w%04x ", h.Sum32()&0xffff)
}

// Answer returns the whole answer to a prompt's text.
func Answer(text []byte, tokens int) string {
	h := fnv.New64a()
	_, _ = h.Write(text)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Word(h.Sum64(), i))
	}
	return b.String()
}

// begin runs the part of a job before its first token, with signs of life.
func (r *Runner) begin(j job, alive func() error) (context.Context, prefillResult, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	r.active.add(j.id, cancel)
	r.engine.enter()
	end := func() {
		r.engine.leave()
		r.active.remove(j.id)
		cancel()
	}
	done := make(chan prefillResult, 1)
	go func() { done <- r.prefill(ctx, j) }()
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		select {
		case result := <-done:
			return ctx, result, end, result.err
		case <-ticker.C:
			if err := alive(); err != nil {
				r.active.end(j.id)
				<-done
				return ctx, prefillResult{}, end, err
			}
		}
	}
}

// stream answers a request by server-sent events.
func (r *Runner) stream(w *bufio.Writer, j job) {
	ctx, result, end, err := r.begin(j, func() error {
		_, _ = w.WriteString(": heartbeat\n\n")
		return w.Flush()
	})
	defer end()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "%sprompt=%d cached=%d restored=%d restore-ms=%d\n\n", coltscodec.CommentPrefill,
		result.prompt, result.cached, result.restored, result.restoreTook.Milliseconds())
	for i := j.resumeAt; i < j.tokens; i++ {
		if sent := i - j.resumeAt; r.breaks(ctx, w, j, sent) {
			return
		}
		writePart(w, j, i)
		if err := w.Flush(); err != nil {
			r.active.end(j.id)
			return
		}
		if err := r.pause(ctx); err != nil {
			return
		}
	}
	writeEnd(w, j, result)
	_, _ = fmt.Fprintf(w, "%sgenerated=%d\n\n", coltscodec.CommentUsage, j.tokens)
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// breaks applies the faults of a stream and says whether it must end here.
func (r *Runner) breaks(ctx context.Context, w *bufio.Writer, j job, sent int) bool {
	if j.faults.BreakAfterParts > 0 && sent >= j.faults.BreakAfterParts {
		return true
	}
	if j.faults.SilentAfterParts > 0 && sent >= j.faults.SilentAfterParts {
		_ = w.Flush()
		<-ctx.Done()
		return true
	}
	return false
}

// pause waits for the next token.
func (r *Runner) pause(ctx context.Context) error {
	if r.runner.TokenPeriod <= 0 {
		return ctx.Err()
	}
	return sleepUntil(ctx, time.Now().Add(r.Faults().slowed(r.runner.TokenPeriod)))
}

// writePart writes one word of the answer.
func writePart(w *bufio.Writer, j job, i int) {
	field := `"delta":{"content":"` + Word(j.seed, i) + `"}`
	_, _ = fmt.Fprintf(w, `data: {"id":"%s","object":"chat.completion.chunk","created":0,"model":"%s","choices":[{"index":0,%s,"finish_reason":null}]}`+"\n\n",
		j.id, j.prompt.Model, field)
}

// writeEnd writes the part that ends the answer, and the usage if it was asked
// for.
func writeEnd(w *bufio.Writer, j job, result prefillResult) {
	_, _ = fmt.Fprintf(w, `data: {"id":"%s","object":"chat.completion.chunk","created":0,"model":"%s","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`+"\n\n",
		j.id, j.prompt.Model)
	if !j.prompt.IncludeUsage {
		return
	}
	_, _ = fmt.Fprintf(w, `data: {"id":"%s","object":"chat.completion.chunk","created":0,"model":"%s","choices":[],"usage":%s}`+"\n\n",
		j.id, j.prompt.Model, usageText(j, result))
}

func usageText(j job, result prefillResult) []byte {
	text, err := json.Marshal(map[string]any{
		"prompt_tokens":         result.prompt,
		"completion_tokens":     j.tokens,
		"total_tokens":          result.prompt + int64(j.tokens),
		"prompt_tokens_details": map[string]int64{"cached_tokens": result.cached},
	})
	if err != nil {
		// Numbers always marshal; see encoding/json.
		panic(err)
	}
	return text
}

// whole answers a request at once; white space before it is the sign of life.
func (r *Runner) whole(w *bufio.Writer, j job) {
	ctx, result, end, err := r.begin(j, func() error {
		_, _ = w.WriteString(" ")
		return w.Flush()
	})
	defer end()
	if err != nil {
		return
	}
	var answer strings.Builder
	for i := range j.tokens {
		answer.WriteString(Word(j.seed, i))
		if err := r.pause(ctx); err != nil {
			return
		}
	}
	_, _ = fmt.Fprintf(w, `{"id":"%s","object":"chat.completion","created":0,"model":"%s","choices":[{"index":0,"message":{"role":"assistant","content":"%s"},"finish_reason":"stop"}],"usage":%s}`,
		j.id, j.prompt.Model, answer.String(), usageText(j, result))
	_ = w.Flush()
}

package coltsstandin

// A runner's answer consists of words that depend on the prompt alone. It is streamed or
// sent in one piece, with heartbeats before the first token.

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

// AnswerWord returns word i of the answer to the prompt whose text hashes to seed.
func AnswerWord(seed uint64, i int) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%d/%d", seed, i)
	return fmt.Sprintf("w%04x ", h.Sum32()&0xffff)
}

// Answer returns the answer of a given number of tokens to a prompt's text. A token is one
// word.
func Answer(text []byte, tokens int) string {
	h := fnv.New64a()
	_, _ = h.Write(text)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(AnswerWord(h.Sum64(), i))
	}
	return b.String()
}

// begin registers a job and runs its prefill, calling heartbeat every heartbeatPeriod until
// the prefill is done. The caller must call the returned function when the job ends, even if
// begin returns an error.
func (r *Runner) begin(j job, heartbeat func() error) (context.Context, prefillResult, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	r.active.add(j.id, cancel)
	r.engine.requestStarted()
	end := func() {
		r.engine.requestEnded()
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
			if err := heartbeat(); err != nil {
				r.active.cancelRequest(j.id)
				<-done
				return ctx, prefillResult{}, end, err
			}
		}
	}
}

// answerStream answers a request with server-sent events.
func (r *Runner) answerStream(w *bufio.Writer, j job) {
	ctx, result, end, err := r.begin(j, func() error {
		_, _ = w.WriteString(": heartbeat\n\n")
		return w.Flush()
	})
	defer end()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "%sprompt=%d cached=%d restored=%d restore-ms=%d\n\n", coltscodec.CommentPrefill,
		result.prompt, result.cached, result.restored, result.restoreDuration.Milliseconds())
	for i := j.resumeAt; i < j.tokens; i++ {
		if sent := i - j.resumeAt; r.streamFault(ctx, w, j, sent) {
			return
		}
		writeChunk(w, j, i)
		if err := w.Flush(); err != nil {
			r.active.cancelRequest(j.id)
			return
		}
		if err := r.waitToken(ctx); err != nil {
			return
		}
	}
	writeFinalChunks(w, j, result)
	_, _ = fmt.Fprintf(w, "%sgenerated=%d\n\n", coltscodec.CommentUsage, j.tokens)
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// streamFault applies the faults that interrupt a stream after a number of sent parts and
// reports whether the stream ends here. A silent stream blocks until its request is cancelled.
func (r *Runner) streamFault(ctx context.Context, w *bufio.Writer, j job, sent int) bool {
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

// waitToken waits until the next token is due or ctx ends.
func (r *Runner) waitToken(ctx context.Context) error {
	if r.runner.TokenPeriod <= 0 {
		return ctx.Err()
	}
	return sleepUntil(ctx, time.Now().Add(r.Faults().slowed(r.runner.TokenPeriod)))
}

// writeChunk writes word i of the answer as one chunk of the stream.
func writeChunk(w *bufio.Writer, j job, i int) {
	delta := `"delta":{"content":"` + AnswerWord(j.seed, i) + `"}`
	_, _ = fmt.Fprintf(w, `data: {"id":"%s","object":"chat.completion.chunk","created":0,"model":"%s","choices":[{"index":0,%s,"finish_reason":null}]}`+"\n\n",
		j.id, j.prompt.Model, delta)
}

// writeFinalChunks writes the chunk that ends the answer and, if the request asked for it,
// the chunk with the usage.
func writeFinalChunks(w *bufio.Writer, j job, result prefillResult) {
	_, _ = fmt.Fprintf(w, `data: {"id":"%s","object":"chat.completion.chunk","created":0,"model":"%s","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`+"\n\n",
		j.id, j.prompt.Model)
	if !j.prompt.IncludeUsage {
		return
	}
	_, _ = fmt.Fprintf(w, `data: {"id":"%s","object":"chat.completion.chunk","created":0,"model":"%s","choices":[],"usage":%s}`+"\n\n",
		j.id, j.prompt.Model, usageJSON(j, result))
}

func usageJSON(j job, result prefillResult) []byte {
	text, err := json.Marshal(map[string]any{
		"prompt_tokens":         result.prompt,
		"completion_tokens":     j.tokens,
		"total_tokens":          result.prompt + int64(j.tokens),
		"prompt_tokens_details": map[string]int64{"cached_tokens": result.cached},
	})
	if err != nil {
		// Marshalling a map of numbers never fails.
		panic(err)
	}
	return text
}

// answerBuffered answers a request with one JSON object. The heartbeats before it are spaces,
// which JSON parsers skip.
func (r *Runner) answerBuffered(w *bufio.Writer, j job) {
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
		answer.WriteString(AnswerWord(j.seed, i))
		if err := r.waitToken(ctx); err != nil {
			return
		}
	}
	_, _ = fmt.Fprintf(w, `{"id":"%s","object":"chat.completion","created":0,"model":"%s","choices":[{"index":0,"message":{"role":"assistant","content":"%s"},"finish_reason":"stop"}],"usage":%s}`,
		j.id, j.prompt.Model, answer.String(), usageJSON(j, result))
	_ = w.Flush()
}

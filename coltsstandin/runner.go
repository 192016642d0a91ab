package coltsstandin

// The runner answers prompts with words that follow from the prompt alone, so
// that any runner gives the same answer and a stream can be checked to the last
// word wherever it was resumed.

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
)

const (
	// defaultAnswerTokens is the length of an answer that no request bounds.
	defaultAnswerTokens = 16
	// heartbeatPeriod is how often a stream that has nothing to say gives a
	// sign of life.
	heartbeatPeriod = 200 * time.Millisecond
	// eventPeriod is how long cache events are gathered.
	eventPeriod = 200 * time.Millisecond
)

// RunnerConfig says what a runner is like.
type RunnerConfig struct {
	Config
	Serving []coltsfleet.Serving
	// PrefillPerSecond is the rate of prefill in tokens a second.
	PrefillPerSecond int64
	// TokenPeriod is the time between two tokens of an answer.
	TokenPeriod time.Duration
	// LoadTime is how long new weights take.
	LoadTime time.Duration
	// ChecksFencing says that an order with an old fencing number is refused.
	ChecksFencing bool
	// MemoryPieces is how many pieces the accelerator's memory holds.
	MemoryPieces int
}

// Runner is a stand-in for a model runner.
type Runner struct {
	base
	faultSwitches
	runner RunnerConfig
	memory *pieceMemory
	engine engine
	loaded loadedVersions
	events eventQueue
	active activeRequests
}

// activeRequests are those that run, so that they can be cancelled by name.
type activeRequests struct {
	mu     sync.Mutex
	cancel map[string]context.CancelFunc
	// began holds every request that was begun.
	began map[string]bool
	// cancelled counts the requests that were cancelled before their end.
	cancelled int
}

func (a *activeRequests) add(id string, cancel context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel[id] = cancel
	a.began[id] = true
}

func (a *activeRequests) remove(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.cancel, id)
}

func (a *activeRequests) end(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel, known := a.cancel[id]; known {
		a.cancelled++
		cancel()
	}
}

func (a *activeRequests) countCancelled() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancelled
}

// StartRunner starts a runner.
func StartRunner(cfg RunnerConfig) (*Runner, error) {
	r := &Runner{runner: cfg, memory: newPieceMemory(cfg.MemoryPieces)}
	r.loaded.serving = cfg.Serving
	r.engine.prefillPerSecond = cfg.PrefillPerSecond
	r.engine.faults = &r.faultSwitches
	r.active.cancel = map[string]context.CancelFunc{}
	r.active.began = map[string]bool{}
	err := r.start(cfg.Config, r.serve, r.announcement)
	if err != nil {
		return nil, err
	}
	r.loops.Go(func() { r.sendEvents(r.running) })
	return r, nil
}

func (r *Runner) announcement() coltsfleet.Announcement {
	a := announcementOf(coltsdocument.KindRunner)
	a.Serving = r.loaded.list()
	a.ChecksFencing = r.runner.ChecksFencing
	l := r.engine.load()
	a.Load = coltsfleet.Load{
		Running:          l.running,
		Waiting:          l.waiting,
		QueuedTokens:     l.queuedTokens,
		PrefillPerSecond: r.runner.PrefillPerSecond,
	}
	return a
}

// Computed returns how many prompt tokens the runner has computed.
func (r *Runner) Computed() int64 {
	return r.engine.load().computed
}

// Began says whether the runner has begun a request.
func (r *Runner) Began(id string) bool {
	r.active.mu.Lock()
	defer r.active.mu.Unlock()
	return r.active.began[id]
}

// Cancelled returns how many requests were cancelled before their end.
func (r *Runner) Cancelled() int {
	return r.active.countCancelled()
}

// ForgetCache empties the accelerator's memory, as other work would.
func (r *Runner) ForgetCache() {
	r.memory.clear()
}

func (r *Runner) serve(ctx *fasthttp.RequestCtx) {
	faults := r.Faults()
	switch string(ctx.Path()) {
	case "/v1/chat/completions":
		r.servePrompt(ctx, faults, coltscodec.DecodeChat)
	case "/v1/completions":
		r.servePrompt(ctx, faults, coltscodec.DecodeCompletion)
	case coltscodec.PathCancel:
		r.active.end(string(ctx.Request.Header.Peek(coltscodec.HeaderRequest)))
	case coltscodec.PathExport:
		r.serveExport(ctx)
	case coltscodec.PathOrder:
		r.serveOrder(ctx)
	case PathServing:
		writeJSON(ctx, r.Serving())
	case PathFaults:
		serveFaults(ctx, &r.faultSwitches)
	default:
		ctx.Error("there is no such path", fasthttp.StatusNotFound)
	}
}

// job is one request to a runner.
type job struct {
	id      string
	prompt  coltscodec.PromptRequest
	pieces  []coltscache.Piece
	restore restoreOrder
	// resumeAt is the first part of the answer to send.
	resumeAt int
	tokens   int
	seed     uint64
	faults   Faults
}

func (r *Runner) servePrompt(
	ctx *fasthttp.RequestCtx, faults Faults, decode func([]byte) (coltscodec.PromptRequest, error),
) {
	if faults.CrashOn != "" && strings.Contains(string(ctx.PostBody()), faults.CrashOn) {
		go r.Crash()
		time.Sleep(heartbeatPeriod)
		return
	}
	if faults.Refuse {
		refuse(ctx, "busy")
		return
	}
	prompt, err := decode(ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if version := string(ctx.Request.Header.Peek(coltscodec.HeaderVersion)); version != "" && !r.serves(prompt.Model, version) {
		refuse(ctx, "this version is not loaded")
		return
	}
	j := newJob(ctx, prompt, faults)
	ctx.Response.Header.Set(coltscodec.HeaderQueued, strconv.FormatInt(r.engine.load().queuedTokens, 10))
	if faults.Cross {
		j.id = coltsidentity.NewRequest().String()
		ctx.Response.Header.Set(coltscodec.HeaderRequest, j.id)
	}
	if prompt.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { r.stream(w, j) })
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { r.whole(w, j) })
}

func (r *Runner) serves(model coltsidentity.Model, version string) bool {
	return slices.Contains(r.loaded.list(), coltsfleet.Serving{Model: model, Version: coltsidentity.Version(version)})
}

func newJob(ctx *fasthttp.RequestCtx, prompt coltscodec.PromptRequest, faults Faults) job {
	h := fnv.New64a()
	_, _ = h.Write(prompt.Text)
	j := job{
		id:     string(ctx.Request.Header.Peek(coltscodec.HeaderRequest)),
		prompt: prompt,
		tokens: defaultAnswerTokens,
		seed:   h.Sum64(),
		faults: faults,
	}
	if prompt.MaxTokens > 0 {
		j.tokens = int(prompt.MaxTokens)
	}
	if names := string(ctx.Request.Header.Peek(coltscodec.HeaderPieces)); names != "" {
		j.pieces, _ = coltscodec.ParsePieceNames(strings.Split(names, ","))
	}
	j.restore, _ = parseRestore(string(ctx.Request.Header.Peek(coltscodec.HeaderRestore)))
	j.resumeAt, _ = strconv.Atoi(string(ctx.Request.Header.Peek(coltscodec.HeaderResumeAt)))
	return j
}

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

package coltsstandin

// A runner's answer depends on the prompt alone. Since every runner gives the same answer, a
// test can check a stream to its last word even if another runner resumed it.

import (
	"bufio"
	"context"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
)

const (
	// defaultAnswerTokens is the length of an answer if the request sets no maximum.
	defaultAnswerTokens = 16
	// heartbeatPeriod is the interval between heartbeats while a request waits for its
	// first token.
	heartbeatPeriod = 200 * time.Millisecond
	// eventPeriod is the interval at which queued cache events are published.
	eventPeriod = 200 * time.Millisecond
)

// RunnerConfig configures a runner.
type RunnerConfig struct {
	Config
	// Serving lists the models and versions that are loaded at the start.
	Serving []coltsfleet.ModelVersion
	// PrefillPerSecond is the prefill rate in tokens per second.
	PrefillPerSecond int64
	// TokenPeriod is the time between two tokens of an answer.
	TokenPeriod time.Duration
	// LoadTime is how long it takes to load new weights.
	LoadTime time.Duration
	// ChecksFencing makes the runner reject an order whose fencing token is lower than one
	// that it has already accepted.
	ChecksFencing bool
	// MemoryPieces is the number of cache pieces that fit into the accelerator's memory.
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

// StartRunner starts a runner.
func StartRunner(cfg RunnerConfig) (*Runner, error) {
	r := &Runner{runner: cfg, memory: newPieceMemory(cfg.MemoryPieces)}
	r.loaded.serving = cfg.Serving
	r.engine.prefillPerSecond = cfg.PrefillPerSecond
	r.engine.faults = &r.faultSwitches
	r.active.cancel = map[string]context.CancelFunc{}
	r.active.started = map[string]bool{}
	err := r.start(cfg.Config, r.serve, r.announcement)
	if err != nil {
		return nil, err
	}
	r.loops.Go(func() { r.sendEvents(r.ctx) })
	return r, nil
}

func (r *Runner) announcement() coltsfleet.Announcement {
	a := announcementOf(coltsdocument.KindRunner)
	a.Serving = r.loaded.list()
	a.ChecksFencing = r.runner.ChecksFencing
	l := r.engine.currentLoad()
	a.Load = coltsfleet.Load{
		Running:          l.running,
		Waiting:          l.waiting,
		QueuedTokens:     l.queuedTokens,
		PrefillPerSecond: r.runner.PrefillPerSecond,
	}
	return a
}

// ComputedTokens returns how many prompt tokens the runner has computed instead of taking them
// from its cache.
func (r *Runner) ComputedTokens() int64 {
	return r.engine.currentLoad().computedTokens
}

// HasStarted reports whether the runner has ever started the request.
func (r *Runner) HasStarted(id string) bool {
	r.active.mu.Lock()
	defer r.active.mu.Unlock()
	return r.active.started[id]
}

// CancelledRequests returns how many requests were cancelled before they completed.
func (r *Runner) CancelledRequests() int {
	return r.active.countCancelled()
}

// ClearCache removes all pieces from the accelerator's memory, as if other requests had
// evicted them.
func (r *Runner) ClearCache() {
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
		r.active.cancelRequest(string(ctx.Request.Header.Peek(coltscodec.HeaderRequest)))
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

// job is one prompt request to a runner.
type job struct {
	id      string
	prompt  coltscodec.PromptRequest
	pieces  []coltscache.Piece
	restore restoreSource
	// resumeAt is the index of the first word to send; zero means the start of the answer.
	resumeAt int
	// tokens is the length of the whole answer in words.
	tokens int
	// seed is the hash of the prompt's text, which determines the words of the answer.
	seed   uint64
	faults Faults
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
		refuse(ctx, "the requested version is not loaded")
		return
	}
	j := newJob(ctx, prompt, faults)
	ctx.Response.Header.Set(coltscodec.HeaderQueued, strconv.FormatInt(r.engine.currentLoad().queuedTokens, 10))
	if faults.WrongRequestID {
		j.id = coltsidentity.NewRequest().String()
		ctx.Response.Header.Set(coltscodec.HeaderRequest, j.id)
	}
	if prompt.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { r.answerStream(w, j) })
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { r.answerBuffered(w, j) })
}

// serves reports whether a version of a model is loaded.
func (r *Runner) serves(model coltsidentity.Model, version string) bool {
	return slices.Contains(r.loaded.list(), coltsfleet.ModelVersion{Model: model, Version: coltsidentity.Version(version)})
}

// newJob returns the job for a decoded request. Malformed optional headers are ignored.
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

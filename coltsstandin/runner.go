package coltsstandin

// The runner answers prompts with words that follow from the prompt alone, so
// that any runner gives the same answer and a stream can be checked to the last
// word wherever it was resumed.

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
	Serving []coltsfleet.ModelVersion
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
	return slices.Contains(r.loaded.list(), coltsfleet.ModelVersion{Model: model, Version: coltsidentity.Version(version)})
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

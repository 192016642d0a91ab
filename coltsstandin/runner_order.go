package coltsstandin

// An order loads or unloads a version of a model on a runner. Some real engines check the
// fencing number of an order and some don't; RunnerConfig.ChecksFencing selects either.

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsorder"
)

// loadedVersions holds the versions that a runner serves and the orders that it accepted.
type loadedVersions struct {
	mu      sync.Mutex
	serving []coltsfleet.ModelVersion
	// maxFence is the highest fencing number that was accepted.
	maxFence uint64
	// acceptedFences lists the fencing numbers of the accepted orders, in the order of
	// their arrival.
	acceptedFences []uint64
}

func (l *loadedVersions) list() []coltsfleet.ModelVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.serving)
}

// accept records an order and reports whether it may be carried out. If checkFencing is set,
// an order whose fencing number is lower than one accepted before is rejected.
func (l *loadedVersions) accept(fence uint64, checkFencing bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if checkFencing && fence < l.maxFence {
		return false
	}
	l.maxFence = max(l.maxFence, fence)
	l.acceptedFences = append(l.acceptedFences, fence)
	return true
}

// apply carries out an order. Loading what is already loaded changes nothing, as does
// unloading what isn't.
func (l *loadedVersions) apply(kind string, s coltsfleet.ModelVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serving = slices.DeleteFunc(slices.Clone(l.serving), func(loaded coltsfleet.ModelVersion) bool { return loaded == s })
	if kind == string(coltsorder.KindLoad) {
		l.serving = append(l.serving, s)
	}
}

// AcceptedFences lists the fencing numbers of the orders that the runner accepted.
func (r *Runner) AcceptedFences() []uint64 {
	r.loaded.mu.Lock()
	defer r.loaded.mu.Unlock()
	return slices.Clone(r.loaded.acceptedFences)
}

// Serving lists the models and versions that the runner has loaded.
func (r *Runner) Serving() []coltsfleet.ModelVersion {
	return r.loaded.list()
}

func (r *Runner) serveOrder(ctx *fasthttp.RequestCtx) {
	var order coltscodec.OrderRequest
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !r.loaded.accept(order.FencingToken, r.runner.ChecksFencing) {
		ctx.Error("the fencing number is lower than that of an earlier order", fasthttp.StatusConflict)
		return
	}
	if order.Kind == string(coltsorder.KindLoad) {
		time.Sleep(r.runner.LoadTime)
	}
	r.loaded.apply(order.Kind, coltsfleet.ModelVersion{
		Model:   coltsidentity.Model(order.Model),
		Version: coltsidentity.Version(order.Version),
	})
	writeJSON(ctx, struct{}{})
}

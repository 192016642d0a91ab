package coltsstandin

// An order loads or unloads a version of a model on a runner. Some real engines check the
// fencing token of an order and some don't; RunnerConfig.ChecksFencing selects the behaviour.

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
	// maxToken is the highest fencing token that was accepted.
	maxToken uint64
	// acceptedTokens lists the fencing tokens of the accepted orders, in the order of
	// their arrival.
	acceptedTokens []uint64
}

func (l *loadedVersions) list() []coltsfleet.ModelVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.serving)
}

// accept records an order and reports whether it may be carried out. If checkFencing is set,
// an order whose fencing token is lower than one accepted before is rejected.
func (l *loadedVersions) accept(token uint64, checkFencing bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if checkFencing && token < l.maxToken {
		return false
	}
	l.maxToken = max(l.maxToken, token)
	l.acceptedTokens = append(l.acceptedTokens, token)
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

// AcceptedFences lists the fencing tokens of the orders that the runner accepted.
func (r *Runner) AcceptedFences() []uint64 {
	r.loaded.mu.Lock()
	defer r.loaded.mu.Unlock()
	return slices.Clone(r.loaded.acceptedTokens)
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

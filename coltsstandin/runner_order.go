package coltsstandin

// Orders change what a runner serves. Engines differ in whether they check the
// fencing number, and so do stand-ins.

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

// loadedVersions is what a runner serves.
type loadedVersions struct {
	mu      sync.Mutex
	serving []coltsfleet.ModelVersion
	// fence is the highest number that was seen.
	fence uint64
	// orders lists the numbers of the orders that were carried out.
	orders []uint64
}

func (l *loadedVersions) list() []coltsfleet.ModelVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.serving)
}

// admit says whether an order may be carried out, and counts it.
func (l *loadedVersions) admit(fence uint64, checks bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if checks && fence < l.fence {
		return false
	}
	l.fence = max(l.fence, fence)
	l.orders = append(l.orders, fence)
	return true
}

func (l *loadedVersions) change(kind string, s coltsfleet.ModelVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serving = slices.DeleteFunc(slices.Clone(l.serving), func(has coltsfleet.ModelVersion) bool { return has == s })
	if kind == string(coltsorder.KindLoad) {
		l.serving = append(l.serving, s)
	}
}

// Orders lists the fencing numbers of the orders that were carried out.
func (r *Runner) Orders() []uint64 {
	r.loaded.mu.Lock()
	defer r.loaded.mu.Unlock()
	return slices.Clone(r.loaded.orders)
}

// Serving lists what the runner has loaded.
func (r *Runner) Serving() []coltsfleet.ModelVersion {
	return r.loaded.list()
}

func (r *Runner) serveOrder(ctx *fasthttp.RequestCtx) {
	var order coltscodec.OrderRequest
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !r.loaded.admit(order.Fence, r.runner.ChecksFencing) {
		ctx.Error("the fencing number is old", fasthttp.StatusConflict)
		return
	}
	if order.Kind == string(coltsorder.KindLoad) {
		time.Sleep(r.runner.LoadTime)
	}
	r.loaded.change(order.Kind, coltsfleet.ModelVersion{
		Model:   coltsidentity.Model(order.Model),
		Version: coltsidentity.Version(order.Version),
	})
	writeJSON(ctx, struct{}{})
}

package coltsentry

// Operators and the platform's probes use their own listener. The health probe succeeds
// while the process runs; the readiness probe succeeds while callers should be sent to
// this instance.

import (
	"bytes"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"coltsfootstall/coltsmetric"
)

// serveOperator handles all requests to the operators' listener.
func (e *Entry) serveOperator(ctx *fasthttp.RequestCtx) {
	if bytes.HasPrefix(ctx.Path(), []byte("/debug/pprof/")) {
		pprofhandler.PprofHandler(ctx)
		return
	}
	switch string(ctx.Path()) {
	case "/health":
		ctx.SetBodyString("ok\n")
	case "/ready":
		e.serveReady(ctx)
	case "/debug/vars":
		e.metrics.Put(coltsmetric.Upstreams, int64(e.Upstreams()))
		ctx.SetContentType("application/json")
		ctx.SetBodyString(e.metrics.JSON())
	default:
		ctx.Error("there is no such path", fasthttp.StatusNotFound)
	}
}

func (e *Entry) serveReady(ctx *fasthttp.RequestCtx) {
	switch {
	case e.isDraining():
		ctx.Error("draining", fasthttp.StatusServiceUnavailable)
	case e.isolated():
		ctx.Error("no contact with control or another entry", fasthttp.StatusServiceUnavailable)
	case !e.ready():
		ctx.Error("no document received yet", fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetBodyString("ready\n")
	}
}

package coltsentry

// Operators and the platform's probes have an address of their own. Health says
// that the process works; readiness says that callers should be sent here.

import (
	"bytes"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"coltsfootstall/coltsmetric"
)

// serveOperator serves every path of the operators' listener.
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
	case e.draining.Load():
		ctx.Error("draining", fasthttp.StatusServiceUnavailable)
	case e.isolated():
		ctx.Error("neither control nor another entry is heard", fasthttp.StatusServiceUnavailable)
	case !e.ready():
		ctx.Error("no document is in force yet", fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetBodyString("ready\n")
	}
}

package coltsgateway

// Readiness checks for the load balancer, and health and metrics for operators.

import (
	"time"

	"github.com/valyala/fasthttp"

	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
)

// isReady reports whether the instance can serve callers: it has a route table, accepts connections and is
// not shutting down.
func (g *Gateway) isReady() bool {
	return !g.isDraining() && g.routes.Current() != nil && !g.acceptFailed()
}

// acceptFailed reports whether the instance has just failed to accept a connection and none since.
func (g *Gateway) acceptFailed() bool {
	failedAt := g.acceptFailedAt.Load()
	return failedAt != 0 && g.now().Before(time.Unix(0, failedAt).Add(acceptRecovery))
}

// guard returns a handler that answers with an error if handler panics.
func (g *Gateway) guard(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			g.log.HandlePanic(recover(), coltslog.Fields{"path": string(ctx.Path())}, func() {
				g.metrics.Add(coltsmetric.Panics, 1)
				ctx.Error("unexpected error", fasthttp.StatusInternalServerError)
			})
		}()
		handler(ctx)
	}
}

func (g *Gateway) serveReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != g.dialect.ReadyPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !g.isReady() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (g *Gateway) serveOperator(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/health":
		ctx.SetBodyString("ok\n")
	case "/ready":
		if !g.isReady() {
			ctx.Error("not ready", fasthttp.StatusServiceUnavailable)
			return
		}
		ctx.SetBodyString("ready\n")
	case "/debug/vars":
		ctx.SetContentType("application/json")
		ctx.SetBodyString(g.metrics.JSON())
	case "/debug/latencies":
		ctx.SetContentType("application/json")
		ctx.SetBody(g.latency.json())
	case ExplainPath:
		g.serveExplanation(ctx)
	default:
		ctx.Error("there is no such path", fasthttp.StatusNotFound)
	}
}

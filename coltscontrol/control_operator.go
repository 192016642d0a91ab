package coltscontrol

// Operators and the platform's probes have an address of their own.

import "github.com/valyala/fasthttp"

// serveOperator serves every path of the operators' listener.
func (c *Control) serveOperator(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/health":
		ctx.SetBodyString("ok\n")
	case "/ready":
		if c.stopping() {
			ctx.Error("stopping", fasthttp.StatusServiceUnavailable)
			return
		}
		if !c.inTouch() {
			ctx.Error("out of touch with the group", fasthttp.StatusServiceUnavailable)
			return
		}
		ctx.SetBodyString("ready\n")
	case "/debug/vars":
		ctx.SetContentType("application/json")
		ctx.SetBodyString(c.metrics.JSON())
	default:
		ctx.Error("there is no such path", fasthttp.StatusNotFound)
	}
}

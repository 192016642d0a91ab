package coltscontrol

// Health, readiness and metrics are served on an address of their own, for operators and the
// platform's probes.

import "github.com/valyala/fasthttp"

// serveOperator handles all requests on the operators' listener.
func (c *Control) serveOperator(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/health":
		ctx.SetBodyString("ok\n")
	case "/ready":
		if c.stopping() {
			ctx.Error("stopping", fasthttp.StatusServiceUnavailable)
			return
		}
		if !c.stateFresh() {
			ctx.Error("no recent contact with the group's leader", fasthttp.StatusServiceUnavailable)
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

package coltsentry

// Upstreams reach any entry through the platform's load balancer, at an address that
// callers can't reach.

import (
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsbody"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
)

// serveUpstream handles all requests to the upstreams' listener.
func (e *Entry) serveUpstream(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Error("only POST is served here", fasthttp.StatusMethodNotAllowed)
		return
	}
	handler, known := upstreamHandlers[string(ctx.Path())]
	if !known {
		ctx.Error("there is no such path", fasthttp.StatusNotFound)
		return
	}
	body, err := e.listeners.upstreams.ReadBody(ctx)
	var refused *coltsbody.RefusedError
	if errors.As(err, &refused) {
		ctx.Error(err.Error(), refused.Status())
		return
	}
	defer body.Release()
	handler(e, ctx, body.Bytes)
}

// upstreamHandlers holds the handlers of requests with a body by path.
var upstreamHandlers = map[string]func(e *Entry, ctx *fasthttp.RequestCtx, body []byte){
	coltscodec.PathAnnounce: (*Entry).serveAnnounce,
	coltscodec.PathEvents:   (*Entry).serveEvents,
}

func (e *Entry) serveAnnounce(ctx *fasthttp.RequestCtx, body []byte) {
	a, err := coltscodec.DecodeAnnouncement(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := e.applyAnnouncement(a); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusForbidden)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// applyAnnouncement applies an announcement that came from its upstream or from a peer, and
// requests a gossip round if it was new.
func (e *Entry) applyAnnouncement(a coltsfleet.Announcement) error {
	changed, err := e.fleet.Announce(a, e.document(), e.cfg.Now())
	if err != nil {
		e.metrics.Add(coltsmetric.UntrustedAnnouncements, 1)
		e.log.Debug("An announcement was rejected as untrusted.", coltslog.Fields{"error": err})
		return err
	}
	if changed {
		e.metrics.Add(coltsmetric.Announcements, 1)
		e.peers.requestGossip()
	}
	return nil
}

func (e *Entry) serveEvents(ctx *fasthttp.RequestCtx, body []byte) {
	event, err := coltscodec.DecodeCacheEvent(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.applyCacheEvent(event)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

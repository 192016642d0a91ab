package coltsentry

// Upstreams reach any entry through the platform's balancer, on an address that
// callers can't reach.

import (
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
)

// serveUpstream serves every path of the upstreams' listener.
func (e *Entry) serveUpstream(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Error("only POST is served here", fasthttp.StatusMethodNotAllowed)
		return
	}
	switch string(ctx.Path()) {
	case coltscodec.PathAnnounce:
		e.serveAnnounce(ctx)
	case coltscodec.PathEvents:
		e.serveEvents(ctx)
	default:
		ctx.Error("there is no such path", fasthttp.StatusNotFound)
	}
}

func (e *Entry) serveAnnounce(ctx *fasthttp.RequestCtx) {
	a, err := coltscodec.DecodeAnnouncement(ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := e.announce(a); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusForbidden)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// announce takes in an announcement, whoever passed it on.
func (e *Entry) announce(a coltsfleet.Announcement) error {
	news, err := e.fleet.Announce(a, e.document(), e.cfg.Now())
	if err != nil {
		e.metrics.Add(coltsmetric.Untrusted, 1)
		e.log.Debug("An announcement is not trusted.", coltslog.Fields{"error": err})
		return err
	}
	if news {
		e.metrics.Add(coltsmetric.Announcements, 1)
		e.peers.notify()
	}
	return nil
}

func (e *Entry) serveEvents(ctx *fasthttp.RequestCtx) {
	event, err := coltscodec.DecodeCacheEvent(ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.takeEvent(event)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

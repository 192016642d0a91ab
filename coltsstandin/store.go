package coltsstandin

// A store holds cache pieces and transfers them over a link of limited rate, one piece at a
// time regardless of the number of clients. A piece is available only after all of it has been
// received.

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsfleet"
)

// StoreConfig configures a store.
type StoreConfig struct {
	Config
	// PiecesPerSecond is the rate of the link in pieces per second, for both directions together.
	PiecesPerSecond float64
	// CapacityPieces is the maximum number of pieces in the store.
	CapacityPieces int
}

// Store is a stand-in for a cache store.
type Store struct {
	base
	faultSwitches
	store  StoreConfig
	memory *pieceMemory
	link   storeLink
}

// storeLink simulates the link of a store, which both directions share.
type storeLink struct {
	mu sync.Mutex
	// busyUntil is when the last scheduled transfer ends.
	busyUntil time.Time
	// transfers counts the pieces that were transferred or scheduled, in both directions.
	transfers int64
}

// reserve schedules a transfer of duration d after those already scheduled and returns its end
// time.
func (l *storeLink) reserve(d time.Duration) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(d)
	l.transfers++
	return l.busyUntil
}

// StartStore starts a store.
func StartStore(cfg StoreConfig) (*Store, error) {
	s := &Store{store: cfg, memory: newPieceMemory(cfg.CapacityPieces)}
	err := s.start(cfg.Config, s.serve, func() coltsfleet.Announcement {
		return announcementOf(coltsdocument.KindStore)
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Len returns how many pieces the store holds.
func (s *Store) Len() int {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	return len(s.memory.elements)
}

// TransferredPieces returns how many pieces were transferred over the link in both directions.
func (s *Store) TransferredPieces() int64 {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	return s.link.transfers
}

func (s *Store) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathFaults:
		serveFaults(ctx, &s.faultSwitches)
	case path == coltscodec.PathLookup:
		s.serveLookup(ctx)
	case strings.HasPrefix(path, coltscodec.PathPieces):
		s.servePiece(ctx, strings.TrimPrefix(path, coltscodec.PathPieces))
	default:
		ctx.Error("there is no such path", fasthttp.StatusNotFound)
	}
}

func (s *Store) serveLookup(ctx *fasthttp.RequestCtx) {
	var request coltscodec.LookupRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	pieces, err := coltscodec.ParsePieceNames(request.Pieces)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	writeJSON(ctx, coltscodec.LookupReply{HeldPieces: s.memory.countLeading(pieces)})
}

func (s *Store) servePiece(ctx *fasthttp.RequestCtx, name string) {
	p, ok := coltscache.ParsePiece(name)
	if !ok {
		ctx.Error("invalid piece name", fasthttp.StatusBadRequest)
		return
	}
	if ctx.IsPut() {
		s.receivePiece(ctx, p)
		return
	}
	if !s.memory.holds(p) {
		ctx.Error("the store does not hold this piece", fasthttp.StatusNotFound)
		return
	}
	s.transfer()
	content := contentOf(p)
	ctx.Response.Header.Set(coltscodec.HeaderDigest, fmt.Sprintf("%x", digestOf(content)))
	if s.Faults().CorruptPieces {
		content[0]++
	}
	ctx.SetBody(content)
}

// receivePiece adds a piece to the store if its content matches its digest.
func (s *Store) receivePiece(ctx *fasthttp.RequestCtx, p coltscache.Piece) {
	digest := digestOf(ctx.PostBody())
	if fmt.Sprintf("%x", digest) != string(ctx.Request.Header.Peek(coltscodec.HeaderDigest)) {
		ctx.Error("the content does not match its digest", fasthttp.StatusBadRequest)
		return
	}
	s.transfer()
	s.memory.add([]coltscache.Piece{p})
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// transfer waits until one piece has been transferred over the link.
func (s *Store) transfer() {
	d := time.Duration(float64(time.Second) / s.store.PiecesPerSecond)
	end := s.link.reserve(s.Faults().slowed(d))
	// The background context never ends, so there is no error.
	_ = sleepUntil(context.Background(), end)
}

func writeJSON(ctx *fasthttp.RequestCtx, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// serveExport copies pieces from the runner's memory to a store, in order until one is not held
// or its copy fails.
func (r *Runner) serveExport(ctx *fasthttp.RequestCtx) {
	var request coltscodec.ExportRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	pieces, err := coltscodec.ParsePieceNames(request.Pieces)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	exported := 0
	for _, p := range pieces {
		if !r.memory.holds(p) || r.upload(request.Store.String(), p) != nil {
			break
		}
		exported++
	}
	writeJSON(ctx, coltscodec.ExportReply{HeldPieces: exported})
}

// upload copies one piece to a store.
func (r *Runner) upload(store string, p coltscache.Piece) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	content := contentOf(p)
	req.SetRequestURI("http://" + store + coltscodec.PathPieces + p.String())
	req.Header.SetMethod(fasthttp.MethodPut)
	req.Header.Set(coltscodec.HeaderDigest, fmt.Sprintf("%x", digestOf(content)))
	req.SetBodyRaw(content)
	return r.client.DoTimeout(req, resp, pieceTimeout)
}

package coltsstandin

// A kept-cache store holds pieces and hands them out over a limited link: one
// piece after another, however many ask. A piece is sealed when all of it has
// come, and only sealed pieces are handed out.

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

// StoreConfig says what a store is like.
type StoreConfig struct {
	Config
	// PiecesPerSecond is the rate of its link.
	PiecesPerSecond float64
	// CapacityPieces is how many pieces it holds.
	CapacityPieces int
}

// Store is a stand-in for a kept-cache store.
type Store struct {
	base
	faultSwitches
	store  StoreConfig
	memory *pieceMemory
	link   storeLink
}

// storeLink is the link out of and into a store.
type storeLink struct {
	mu     sync.Mutex
	freeAt time.Time
	moved  int64
}

// reserve takes the next slot for a piece and returns when it ends.
func (l *storeLink) reserve(span time.Duration) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(span)
	l.moved++
	return l.freeAt
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

// Moved returns how many pieces went over the link, both ways.
func (s *Store) Moved() int64 {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	return s.link.moved
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
	writeJSON(ctx, coltscodec.LookupReply{Held: s.memory.leading(pieces)})
}

func (s *Store) servePiece(ctx *fasthttp.RequestCtx, name string) {
	p, ok := coltscache.ParsePiece(name)
	if !ok {
		ctx.Error("that is not the name of a piece", fasthttp.StatusBadRequest)
		return
	}
	if ctx.IsPut() {
		s.takePiece(ctx, p)
		return
	}
	if !s.memory.holds(p) {
		ctx.Error("that piece is not held", fasthttp.StatusNotFound)
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

// takePiece seals a piece whose content is whole.
func (s *Store) takePiece(ctx *fasthttp.RequestCtx, p coltscache.Piece) {
	digest := digestOf(ctx.PostBody())
	if fmt.Sprintf("%x", digest) != string(ctx.Request.Header.Peek(coltscodec.HeaderDigest)) {
		ctx.Error("the content does not have its digest", fasthttp.StatusBadRequest)
		return
	}
	s.transfer()
	s.memory.add([]coltscache.Piece{p})
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// transfer takes the time of one piece on the link.
func (s *Store) transfer() {
	span := time.Duration(float64(time.Second) / s.store.PiecesPerSecond)
	end := s.link.reserve(s.Faults().slowed(span))
	// The background context never ends, and so neither does the wait early.
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

// serveExport copies pieces that the runner holds to a store.
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
		if !r.memory.holds(p) || r.put(request.Store.String(), p) != nil {
			break
		}
		exported++
	}
	writeJSON(ctx, coltscodec.ExportReply{Exported: exported})
}

// put copies one piece to a store.
func (r *Runner) put(store string, p coltscache.Piece) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	content := contentOf(p)
	req.SetRequestURI("http://" + store + coltscodec.PathPieces + p.String())
	req.Header.SetMethod(fasthttp.MethodPut)
	req.Header.Set(coltscodec.HeaderDigest, fmt.Sprintf("%x", digestOf(content)))
	req.SetBodyRaw(content)
	return r.client.DoTimeout(req, resp, restoreStall)
}

package coltsstandin

// A prefill uses the pieces in memory, restores those that it was told to, and
// computes the rest beside the restore. A piece whose digest is wrong, or that
// does not come in time, is computed too.

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltscodec"
)

// restoreStall is how long one piece may take before it is computed instead.
const restoreStall = 2 * time.Second

// restoreOrder says from which store to fetch the pieces that are not held, up to
// which piece.
type restoreOrder struct {
	store netip.AddrPort
	upTo  int
}

// parseRestore reads the header that coltsupstream.RestoreHeader writes.
func parseRestore(s string) (restoreOrder, error) {
	if s == "" {
		return restoreOrder{}, nil
	}
	var addr string
	var o restoreOrder
	_, err := fmt.Sscanf(s, "%s %d", &addr, &o.upTo)
	if err != nil {
		return restoreOrder{}, errors.Wrap(err, "restore header")
	}
	o.store, err = netip.ParseAddrPort(addr)
	return o, errors.Wrap(err, "restore header")
}

// prefillResult is what a prefill used.
type prefillResult struct {
	prompt      int64
	cached      int64
	restored    int64
	restoreTook time.Duration
	err         error
}

func (r *Runner) prefill(ctx context.Context, j job) prefillResult {
	prompt := int64(len(j.prompt.Text)/coltscache.BytesPerToken) + 1
	held := r.memory.leading(j.pieces)
	wanted := r.wanted(j, held)
	progress := &restoreProgress{}
	restoring, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.restore(restoring, j.restore.store, wanted, progress)
	}()
	// What follows the pieces to be restored is computed meanwhile.
	rest := prompt - int64(held+len(wanted))*coltscache.PieceTokens
	if err := r.engine.prefill(ctx, max(1, rest)); err != nil {
		return prefillResult{err: err}
	}
	if err := r.meet(ctx, done, wanted, progress); err != nil {
		return prefillResult{err: err}
	}
	// A piece that is on its way still is not waited for.
	got, took := progress.get()
	r.remember(j.pieces)
	return prefillResult{
		prompt:      prompt,
		cached:      int64(held+got) * coltscache.PieceTokens,
		restored:    int64(got) * coltscache.PieceTokens,
		restoreTook: took,
	}
}

// meet computes the pieces that are not restored yet, from the last one on, while
// the restore goes on from the first, until both meet. So a restore that stalls
// costs no more than computing everything would.
func (r *Runner) meet(ctx context.Context, done <-chan struct{}, wanted []coltscache.Piece, progress *restoreProgress) error {
	for last := len(wanted) - 1; last >= 0; last-- {
		select {
		case <-done:
		case <-time.After(r.restoreAhead(progress, last)):
		}
		got, _ := progress.get()
		if got > last {
			return nil
		}
		progress.limit(last)
		if err := r.engine.prefill(ctx, coltscache.PieceTokens); err != nil {
			return err
		}
	}
	return nil
}

// restoreAhead returns how long it is worth waiting for the restore to reach a
// piece: as long as computing it would take, and only if it seems near.
func (r *Runner) restoreAhead(progress *restoreProgress, last int) time.Duration {
	got, took := progress.get()
	compute := time.Duration(coltscache.PieceTokens) * time.Second / time.Duration(r.engine.prefillPerSecond)
	if got == 0 {
		// Nothing is known of the link yet.
		return compute
	}
	expected := took / time.Duration(got) * time.Duration(max(0, last+1-got))
	if expected > compute {
		return 0
	}
	return compute
}

// wanted returns the pieces to restore that follow those in memory.
func (r *Runner) wanted(j job, held int) []coltscache.Piece {
	end := min(j.restore.upTo, len(j.pieces))
	if !j.restore.store.IsValid() || end <= held {
		return nil
	}
	return j.pieces[held:end]
}

// restoreProgress is how far a restore has come.
type restoreProgress struct {
	mu     sync.Mutex
	pieces int
	took   time.Duration
	// end is the piece from which on the restore is no longer wanted.
	end     int
	limited bool
}

func (p *restoreProgress) get() (int, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pieces, p.took
}

// limit ends the restore before a piece.
func (p *restoreProgress) limit(end int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end, p.limited = end, true
}

// advance counts a piece that came, and says whether the next one is wanted.
func (p *restoreProgress) advance(took time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limited && p.pieces >= p.end {
		return false
	}
	p.pieces++
	p.took = took
	return !p.limited || p.pieces < p.end
}

// restore fetches pieces in order until one does not come whole or is no longer
// wanted.
func (r *Runner) restore(ctx context.Context, store netip.AddrPort, pieces []coltscache.Piece, progress *restoreProgress) {
	start := time.Now()
	for _, p := range pieces {
		if ctx.Err() != nil || r.fetch(store, p) != nil || !progress.advance(time.Since(start)) {
			return
		}
	}
}

// fetch gets one piece and checks its digest.
func (r *Runner) fetch(store netip.AddrPort, p coltscache.Piece) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + store.String() + coltscodec.PathPieces + p.String())
	if err := r.client.DoTimeout(req, resp, restoreStall); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("piece %s is not held", p)
	}
	digest := digestOf(resp.Body())
	if fmt.Sprintf("%x", digest) != string(resp.Header.Peek(coltscodec.HeaderDigest)) {
		return errors.Errorf("piece %s has a wrong digest", p)
	}
	return nil
}

// remember takes pieces into memory and queues the events about it.
func (r *Runner) remember(pieces []coltscache.Piece) {
	added, evicted := r.memory.add(pieces)
	r.events.add(added, evicted)
}

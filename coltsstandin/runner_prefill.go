package coltsstandin

// A prefill uses the pieces in memory, restores those that it was told to, and
// computes the rest beside the restore. A piece whose digest is wrong, or that
// does not come in time, is computed too.

import (
	"context"
	"fmt"
	"net/netip"
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
	restored := make(chan restoreResult, 1)
	go func() { restored <- r.restore(ctx, j.restore.store, wanted) }()
	// What follows the pieces to be restored is computed meanwhile.
	rest := prompt - int64(held+len(wanted))*coltscache.PieceTokens
	if err := r.engine.prefill(ctx, max(1, rest)); err != nil {
		<-restored
		return prefillResult{err: err}
	}
	got := <-restored
	if missing := len(wanted) - got.pieces; missing > 0 {
		if err := r.engine.prefill(ctx, int64(missing)*coltscache.PieceTokens); err != nil {
			return prefillResult{err: err}
		}
	}
	r.remember(j.pieces)
	cached := int64(held+got.pieces) * coltscache.PieceTokens
	return prefillResult{
		prompt:      prompt,
		cached:      cached,
		restored:    int64(got.pieces) * coltscache.PieceTokens,
		restoreTook: got.took,
	}
}

// wanted returns the pieces to restore that follow those in memory.
func (r *Runner) wanted(j job, held int) []coltscache.Piece {
	end := min(j.restore.upTo, len(j.pieces))
	if !j.restore.store.IsValid() || end <= held {
		return nil
	}
	return j.pieces[held:end]
}

// restoreResult is how many pieces came whole, and how long they took.
type restoreResult struct {
	pieces int
	took   time.Duration
}

// restore fetches pieces in order until one does not come whole.
func (r *Runner) restore(ctx context.Context, store netip.AddrPort, pieces []coltscache.Piece) restoreResult {
	start := time.Now()
	var result restoreResult
	for _, p := range pieces {
		if ctx.Err() != nil || r.fetch(store, p) != nil {
			return result
		}
		result.pieces++
		result.took = time.Since(start)
	}
	return result
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

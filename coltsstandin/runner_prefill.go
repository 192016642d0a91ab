package coltsstandin

// A prefill reuses the pieces in memory, restores those that the request names from a store,
// and computes the rest of the prompt at the same time. A piece whose digest is wrong or that
// does not arrive in time is computed as well.

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

// pieceTimeout bounds the transfer of one piece. A restore ends at the first piece that takes
// longer.
const pieceTimeout = 2 * time.Second

// restoreSource names the store from which to fetch the pieces that are not in memory. The
// zero value means that nothing is restored.
type restoreSource struct {
	store netip.AddrPort
	// upTo is the index after the last piece of the prompt to restore.
	upTo int
}

// parseRestore parses a header value that coltsupstream.FormatRestoreHeader returned.
func parseRestore(s string) (restoreSource, error) {
	if s == "" {
		return restoreSource{}, nil
	}
	var addr string
	var source restoreSource
	_, err := fmt.Sscanf(s, "%s %d", &addr, &source.upTo)
	if err != nil {
		return restoreSource{}, errors.Wrap(err, "parse restore header")
	}
	source.store, err = netip.ParseAddrPort(addr)
	return source, errors.Wrap(err, "parse restore header")
}

// prefillResult holds the numbers of prompt tokens by where they came from.
type prefillResult struct {
	// prompt is the number of tokens in the prompt, cached the number of those that were not
	// computed, and restored the number of those that came from a store.
	prompt   int64
	cached   int64
	restored int64
	// restoreDuration is the time until the last restored piece arrived.
	restoreDuration time.Duration
	err             error
}

// prefill makes all pieces of a job's prompt available in memory, by restoring or computing them.
func (r *Runner) prefill(ctx context.Context, j job) prefillResult {
	prompt := int64(len(j.prompt.Text)/coltscache.BytesPerToken) + 1
	held := r.memory.countLeading(j.pieces)
	missing := r.piecesToRestore(j, held)
	progress := &restoreProgress{}
	restoreCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.restore(restoreCtx, j.restore.store, missing, progress)
	}()
	// The part of the prompt after the pieces to restore is computed during the restore.
	rest := prompt - int64(held+len(missing))*coltscache.PieceTokens
	if err := r.engine.prefill(ctx, max(1, rest)); err != nil {
		return prefillResult{err: err}
	}
	if err := r.computeUnrestored(ctx, done, missing, progress); err != nil {
		return prefillResult{err: err}
	}
	// A piece whose transfer has not ended yet was computed instead.
	restored, elapsed := progress.get()
	r.cachePieces(j.pieces)
	return prefillResult{
		prompt:          prompt,
		cached:          int64(held+restored) * coltscache.PieceTokens,
		restored:        int64(restored) * coltscache.PieceTokens,
		restoreDuration: elapsed,
	}
}

// computeUnrestored computes the missing pieces from the last one backwards, while the restore
// goes forwards from the first one, until both meet. A restore that stalls therefore costs no
// more than computing everything. done is closed when the restore has ended.
func (r *Runner) computeUnrestored(
	ctx context.Context, done <-chan struct{}, missing []coltscache.Piece, progress *restoreProgress,
) error {
	for last := len(missing) - 1; last >= 0; last-- {
		select {
		case <-done:
		case <-time.After(r.restoreWait(progress, last)):
		}
		restored, _ := progress.get()
		if restored > last {
			return nil
		}
		progress.stopBefore(last)
		if err := r.engine.prefill(ctx, coltscache.PieceTokens); err != nil {
			return err
		}
	}
	return nil
}

// restoreWait returns how long to wait for the restore to reach piece last before computing
// that piece. It is the time that computing takes, or zero if the restore is expected to take
// longer than that at its rate so far.
func (r *Runner) restoreWait(progress *restoreProgress, last int) time.Duration {
	restored, elapsed := progress.get()
	computeTime := time.Duration(coltscache.PieceTokens) * time.Second / time.Duration(r.engine.prefillPerSecond)
	if restored == 0 {
		// The rate of the restore is not known yet.
		return computeTime
	}
	expected := elapsed / time.Duration(restored) * time.Duration(max(0, last+1-restored))
	if expected > computeTime {
		return 0
	}
	return computeTime
}

// piecesToRestore returns the pieces to restore, which follow the leading pieces that are held in
// memory.
func (r *Runner) piecesToRestore(j job, held int) []coltscache.Piece {
	end := min(j.restore.upTo, len(j.pieces))
	if !j.restore.store.IsValid() || end <= held {
		return nil
	}
	return j.pieces[held:end]
}

// restoreProgress counts the pieces that a restore has fetched so far.
type restoreProgress struct {
	mu     sync.Mutex
	pieces int
	// elapsed is the time from the start of the restore to its last piece.
	elapsed time.Duration
	// end is the index of the first piece that need not be restored. It is valid only if
	// limited is set; otherwise all pieces are restored.
	end     int
	limited bool
}

// get returns the number of restored pieces and the time that restoring them took.
func (p *restoreProgress) get() (int, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pieces, p.elapsed
}

// stopBefore ends the restore before the piece with index end.
func (p *restoreProgress) stopBefore(end int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end, p.limited = end, true
}

// advance counts a fetched piece, unless the restore was to stop before it, and reports whether
// to fetch the next one.
func (p *restoreProgress) advance(elapsed time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limited && p.pieces >= p.end {
		return false
	}
	p.pieces++
	p.elapsed = elapsed
	return !p.limited || p.pieces < p.end
}

// restore fetches pieces in order until one fails, the next one need not be restored, or ctx
// ends.
func (r *Runner) restore(ctx context.Context, store netip.AddrPort, pieces []coltscache.Piece, progress *restoreProgress) {
	start := time.Now()
	for _, p := range pieces {
		if ctx.Err() != nil || r.fetch(store, p) != nil || !progress.advance(time.Since(start)) {
			return
		}
	}
}

// fetch gets one piece from a store and checks its digest.
func (r *Runner) fetch(store netip.AddrPort, p coltscache.Piece) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + store.String() + coltscodec.PathPieces + p.String())
	if err := r.client.DoTimeout(req, resp, pieceTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("the store did not return piece %s", p)
	}
	digest := digestOf(resp.Body())
	if fmt.Sprintf("%x", digest) != string(resp.Header.Peek(coltscodec.HeaderDigest)) {
		return errors.Errorf("the content of piece %s does not match its digest", p)
	}
	return nil
}

// cachePieces adds pieces to the memory and queues the cache events for the change.
func (r *Runner) cachePieces(pieces []coltscache.Piece) {
	added, evicted := r.memory.add(pieces)
	r.events.add(added, evicted)
}

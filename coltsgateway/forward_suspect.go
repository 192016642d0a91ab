package coltsgateway

// A request that crashes each upstream that runs it comes again, here or at another
// instance. Crashes are counted by what the request says, and all instances tell each
// other of them.

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
)

// crashProbe bounds the look whether an upstream still takes connections.
const crashProbe = 300 * time.Millisecond

// fingerprint is the digest of what makes a request the same as another: its target, its
// organisation and its body.
func (f *forwarding) fingerprint() coltsidentity.Digest {
	h := sha256.New()
	head := &f.req.Header
	for _, part := range [][]byte{head.Method(), head.Host(), head.RequestURI(), []byte(f.life.Organisation.Name), f.req.Body()} {
		// A hash takes everything; see its documentation.
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	return coltsidentity.Digest(h.Sum(nil))
}

// blocked returns the refusal of a request that has crashed too many upstreams; nil if it
// may run.
func (f *forwarding) blocked(now time.Time) *coltsattempt.RefusedError {
	if !f.g.suspects.Any() {
		return nil
	}
	until := f.g.suspects.Blocked(f.fingerprint(), now)
	if until.IsZero() {
		return nil
	}
	return coltsattempt.NotRun(coltsattempt.ReasonQuarantined, "the request has crashed upstreams").WithRetryAt(until)
}

// noteCrash counts a crash if the upstream is gone, rather than one connection to it.
func (f *forwarding) noteCrash(ctx context.Context, failure *attemptError) {
	if failure.Phase < coltsattempt.PhaseSent || !failure.broke || failure.outcome != coltsbalance.OutcomeFailed {
		return
	}
	probeCtx, cancel := context.WithTimeout(ctx, crashProbe)
	defer cancel()
	upstream := f.choice.Upstream
	if f.g.pool.Reaches(probeCtx, upstream.Addr) || ctx.Err() != nil {
		return
	}
	// One identity may stand for several processes, each of which can crash once.
	process := coltsidentity.Upstream(fmt.Sprintf("%s@%d", upstream.ID, upstream.StartedAt.UnixMilli()))
	suspect := f.g.suspects.Crashed(f.fingerprint(), process, f.g.now())
	f.g.log.Warn("An upstream crashed while it ran a request.", coltslog.Fields{
		"request": f.life.Asked.ID, "upstream": upstream.ID, "fingerprint": suspect.Fingerprint, "crashes": len(suspect.Upstreams),
	})
}

// clear forgets that a request was suspected, since it has ended well.
func (f *forwarding) clear() {
	if f.endedWell && f.g.suspects.Any() {
		f.g.suspects.Cleared(f.fingerprint(), f.g.now())
	}
}

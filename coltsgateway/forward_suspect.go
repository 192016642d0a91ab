package coltsgateway

// A request that crashes every upstream that runs it is often retried, here or at another
// instance. Crashes are counted by the request's fingerprint and, as no two requests may be alike, by
// the parts of its prompt. Both are shared among all instances.

import (
	"context"
	"crypto/sha256"
	"fmt"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltspoison"
)

// crashProbeTimeout bounds the check whether an upstream still accepts connections.
const crashProbeTimeout = 300 * time.Millisecond

// beginningReads is how often events may have been passed on for an answer to count as just begun. The
// first ones may still arrive from an upstream that crashes over them.
const beginningReads = 1

// claimRetryDelay is the Retry-After of a request whose trial could not be claimed, as while a leader is
// elected.
const claimRetryDelay = 2 * time.Second

// fingerprint returns a digest of the request's method, host, target, organisation and body.
// Requests with the same fingerprint count as the same request.
func (f *forwarding) fingerprint() coltsidentity.Digest {
	h := sha256.New()
	head := &f.req.Header
	for _, part := range [][]byte{
		head.Method(), head.Host(), head.RequestURI(), []byte(f.lifecycle.Organisation.Name), f.req.Body(),
	} {
		// Writing to a hash never fails; see hash.Hash.
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	return coltsidentity.Digest(h.Sum(nil))
}

// quarantineRefusal returns the refusal of a request that has crashed too many upstreams; nil
// if it may run, if only as the trial of all requests like it.
func (f *forwarding) quarantineRefusal() *coltsattempt.RefusedError {
	suspects := f.g.suspects
	if !suspects.Any() {
		return nil
	}
	fingerprint := f.fingerprint()
	until := suspects.BlockedUntil(fingerprint, f.g.now())
	if until.IsZero() && suspects.NeedsTrial(fingerprint, f.g.now()) {
		f.isTrial = f.g.watcher.claimTrial(f.g.ctx, fingerprint, f.lifecycle.Deadline())
		// What the leader knows has been merged, for example that the request has succeeded elsewhere.
		until = suspects.BlockedUntil(fingerprint, f.g.now())
		if until.IsZero() && suspects.NeedsTrial(fingerprint, f.g.now()) {
			until = f.g.now().Add(claimRetryDelay)
		}
	}
	if until.IsZero() || f.isTrial {
		return nil
	}
	return coltsattempt.NotRun(coltsattempt.ReasonQuarantined, "the request has crashed upstreams").WithRetryAt(until)
}

// recordCrash counts a crash if the upstream accepts no new connection, which distinguishes a
// crash from the loss of a single connection.
func (f *forwarding) recordCrash(ctx context.Context, failure *attemptError) {
	if failure.Phase < coltsattempt.PhaseSent || !failure.connectionLost ||
		failure.outcome != coltsbalance.OutcomeFailed {
		return
	}
	probeCtx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	upstream, crashedAt := f.choice.Upstream, f.g.now()
	err := f.g.pool.Probe(probeCtx, upstream.Addr)
	if err == nil || ctx.Err() != nil {
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.g.recordEnded(f.choice)
	}
	// One upstream ID may stand for several processes in succession, each of which can crash
	// once.
	process := coltsidentity.Upstream(fmt.Sprintf("%s@%d", upstream.ID, upstream.StartedAt.UnixMilli()))
	suspect := f.g.suspects.Record(f.fingerprint(), coltsattempt.Crash{Upstream: process, SentAt: f.sentAt, At: crashedAt}, f.g.now())
	f.g.log.Warn("An upstream crashed while it ran a request.", coltslog.Fields{
		"request": f.lifecycle.Inbound.ID, "upstream": upstream.ID,
		"fingerprint": suspect.Fingerprint, "crashes": len(suspect.Upstreams),
		"parts": partIDs(f.parts), "event-reads": f.eventReads,
	})
	if f.eventReads <= beginningReads {
		f.g.poison.RecordCrash(coltspoison.Crash{
			Upstream: process, At: crashedAt, Parts: f.parts, Repeated: f.crashes > 0,
		})
		f.crashes++
	}
}

// clearSuspicion removes the suspicion from a request that has ended successfully.
func (f *forwarding) clearSuspicion() {
	if f.completed && f.g.suspects.Any() {
		f.g.suspects.Clear(f.fingerprint(), f.g.now())
	}
}

// partIDs returns the IDs of parts of a prompt.
func partIDs(parts []coltspoison.Part) []string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = part.ID
	}
	return ids
}

package coltsforward

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbalance"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
)

var now = time.Unix(1_700_000_000, 0)

func newIndex() *coltsroute.Index {
	target := []coltsroute.Target{{Service: "s", Weight: 1}}
	return coltsroute.NewIndex(coltsroute.Table{
		Version:     3,
		RequiresKey: true,
		Routes: []coltsroute.Route{
			{Name: "book", HostName: "h", Prefix: "/book/", Kind: coltsroute.KindUnsafe, Timeout: time.Second, MaxAttempts: 3, Targets: target},
			{Name: "read", HostName: "h", Prefix: "/read/", Kind: coltsroute.KindSafe, Timeout: time.Second, MaxAttempts: 2, Targets: target},
			{Name: "open", HostName: "h", Prefix: "/open/", Kind: coltsroute.KindSafe, Timeout: time.Second, MaxAttempts: 2, Targets: target, Public: true},
			{Name: "chat", HostName: "h", Prefix: "/chat/", Kind: coltsroute.KindStreaming, Resumable: true, Timeout: time.Second, MaxAttempts: 2, Targets: target},
		},
		Organisations: []coltsroute.Organisation{{Name: "org", Keys: []string{"k"}}},
	})
}

func mustNewRequest(t *testing.T, path string) *Request {
	t.Helper()
	r, err := NewRequest(InboundRequest{ID: "r", HostName: "h:80", Path: path, Key: "k", Timeout: 500 * time.Millisecond}, newIndex(), now)
	assert.NilError(t, err)
	return r
}

func assertRefused(t *testing.T, err error, reason coltsattempt.Reason) {
	t.Helper()
	var refused *coltsattempt.RefusedError
	assert.Assert(t, errors.As(err, &refused), "got %v", err)
	assert.Equal(t, refused.Reason, reason)
	assert.Equal(t, refused.Outcome, coltsattempt.OutcomeNotRun)
}

func assertVerdict(t *testing.T, r *Request, f coltsattempt.Failure, want coltsattempt.Verdict) {
	t.Helper()
	r.CountAttempt("u")
	assert.Equal(t, r.RecordFailure(f, func() bool { return true }, now), want)
}

func assertOutcome(t *testing.T, r *Request, want coltsattempt.Outcome) {
	t.Helper()
	assert.Equal(t, r.Refusal(coltsattempt.Failure{}, now).Outcome, want)
}

func TestBegin(t *testing.T) {
	t.Run("without a route table requests are refused as not ready", func(t *testing.T) {
		_, err := NewRequest(InboundRequest{}, nil, now)
		assertRefused(t, err, coltsattempt.ReasonNotReady)
	})
	t.Run("an unknown path is refused", func(t *testing.T) {
		_, err := NewRequest(InboundRequest{HostName: "h", Path: "/none", Key: "k"}, newIndex(), now)
		assertRefused(t, err, coltsattempt.ReasonUnknownPath)
	})
	t.Run("an unknown key is refused", func(t *testing.T) {
		_, err := NewRequest(InboundRequest{HostName: "h", Path: "/book/1", Key: "x"}, newIndex(), now)
		assertRefused(t, err, coltsattempt.ReasonUnknownKey)
	})
	t.Run("a public route needs no key", func(t *testing.T) {
		r, err := NewRequest(InboundRequest{HostName: "h", Path: "/open/1"}, newIndex(), now)
		assert.NilError(t, err)
		assert.Equal(t, r.Organisation.Name, coltsidentity.Organisation(""))
	})
	t.Run("the earlier of the two deadlines applies", func(t *testing.T) {
		assert.Equal(t, mustNewRequest(t, "/book/1").Deadline(), now.Add(500*time.Millisecond))
	})
}

func TestFailed(t *testing.T) {
	sent := coltsattempt.Failure{Phase: coltsattempt.PhaseSent}
	refused := coltsattempt.Failure{Phase: coltsattempt.PhaseRefused}
	unsent := coltsattempt.Failure{Phase: coltsattempt.PhaseUnsent}
	t.Run("an unsafe request that may have run is not retried", func(t *testing.T) {
		r := mustNewRequest(t, "/book/1")
		assertVerdict(t, r, sent, coltsattempt.VerdictFail)
		assertOutcome(t, r, coltsattempt.OutcomeUnknown)
	})
	t.Run("an unsafe request that did not run is retried", func(t *testing.T) {
		r := mustNewRequest(t, "/book/1")
		assertVerdict(t, r, refused, coltsattempt.VerdictRetry)
		assertOutcome(t, r, coltsattempt.OutcomeNotRun)
	})
	t.Run("attempts that were not sent don't count", func(t *testing.T) {
		r := mustNewRequest(t, "/read/1")
		assertVerdict(t, r, unsent, coltsattempt.VerdictRetry)
		assertVerdict(t, r, unsent, coltsattempt.VerdictRetry)
		assertVerdict(t, r, sent, coltsattempt.VerdictRetry)
		assertVerdict(t, r, sent, coltsattempt.VerdictFail)
	})
	t.Run("an unknown outcome stays unknown after later attempts", func(t *testing.T) {
		r := mustNewRequest(t, "/read/1")
		assertVerdict(t, r, sent, coltsattempt.VerdictRetry)
		assertVerdict(t, r, refused, coltsattempt.VerdictFail)
		assertOutcome(t, r, coltsattempt.OutcomeUnknown)
	})
	t.Run("a stream that has partly reached the caller is resumed", func(t *testing.T) {
		r := mustNewRequest(t, "/chat/1")
		r.AnswerStarted()
		assertVerdict(t, r, coltsattempt.Failure{Phase: coltsattempt.PhaseAnswering}, coltsattempt.VerdictResume)
	})
	t.Run("nothing is retried if the retry budget is used up", func(t *testing.T) {
		r := mustNewRequest(t, "/read/1")
		r.CountAttempt("u")
		assert.Equal(t, r.RecordFailure(sent, func() bool { return false }, now), coltsattempt.VerdictFail)
	})
}

func TestAffinity(t *testing.T) {
	r := mustNewRequest(t, "/chat/1")
	t.Run("uses the last shared part", func(t *testing.T) {
		r.Inbound.Parts = []Part{{ID: "a"}, {ID: "b"}, {ID: "own"}}
		assert.Equal(t, r.Affinity(), "b")
	})
	t.Run("uses the only part", func(t *testing.T) {
		r.Inbound.Parts = []Part{{ID: "a"}}
		assert.Equal(t, r.Affinity(), "a")
	})
}

func TestQueueDeadline(t *testing.T) {
	queued := func(goal, timeout time.Duration) time.Duration {
		r := &Request{Arrived: now, RouteDeadline: now.Add(timeout), Route: coltsroute.Route{LatencyGoal: goal}}
		return r.QueueDeadline().Sub(now)
	}
	t.Run("a request is queued for a few times its goal", func(t *testing.T) {
		assert.Equal(t, queued(600*time.Millisecond, 10*time.Second), 1800*time.Millisecond)
	})
	t.Run("it is refused when the rest of its time is too short to be served", func(t *testing.T) {
		assert.Equal(t, queued(1500*time.Millisecond, 5*time.Second), 3500*time.Millisecond)
		assert.Equal(t, queued(5*time.Second, time.Second), time.Duration(0))
	})
}

// TestEvacuatedRefusal guards against callers that give up, or come back at once, while only upstreams in
// evacuated data centres could serve them.
func TestEvacuatedRefusal(t *testing.T) {
	r := mustNewRequest(t, "/book/1")
	refused := r.NoUpstreamRefusal(&coltsbalance.EvacuatedError{Service: "app", DataCentres: []coltsidentity.DataCentre{"z1"}, Upstreams: 2}, now)
	t.Run("it has not run and is retried later", func(t *testing.T) {
		assert.Equal(t, refused.Outcome, coltsattempt.OutcomeNotRun)
		assert.Equal(t, refused.Reason, coltsattempt.ReasonNoUpstream)
		wait := refused.RetryAt.Sub(now)
		assert.Assert(t, wait >= retryAfterEvacuation && wait <= retryAfterEvacuation+retrySpread, "%s", wait)
	})
	t.Run("the detail names the data centre", func(t *testing.T) {
		assert.Assert(t, strings.Contains(refused.Detail, `(2 in "z1")`), refused.Detail)
	})
}

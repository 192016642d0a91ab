package coltsforward

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsroute"
)

var now = time.Unix(1_700_000_000, 0)

func index() *coltsroute.Index {
	target := []coltsroute.Target{{Service: "s", Weight: 1}}
	return coltsroute.NewIndex(coltsroute.Table{
		Version: 3,
		Keyed:   true,
		Routes: []coltsroute.Route{
			{Name: "book", HostName: "h", Prefix: "/book/", Kind: coltsroute.KindUnsafe, Timeout: time.Second, MaxAttempts: 3, Targets: target},
			{Name: "read", HostName: "h", Prefix: "/read/", Kind: coltsroute.KindSafe, Timeout: time.Second, MaxAttempts: 2, Targets: target},
			{Name: "open", HostName: "h", Prefix: "/open/", Kind: coltsroute.KindSafe, Timeout: time.Second, MaxAttempts: 2, Targets: target, Public: true},
			{Name: "chat", HostName: "h", Prefix: "/chat/", Kind: coltsroute.KindStreaming, Resumable: true, Timeout: time.Second, MaxAttempts: 2, Targets: target},
		},
		Organisations: []coltsroute.Organisation{{Name: "org", Keys: []string{"k"}}},
	})
}

func begin(t *testing.T, path string) *Life {
	t.Helper()
	l, err := Begin(InboundRequest{ID: "r", HostName: "h:80", Path: path, Key: "k", Timeout: 500 * time.Millisecond}, index(), now)
	assert.NilError(t, err)
	return l
}

func assertRefused(t *testing.T, err error, reason coltsattempt.Reason) {
	t.Helper()
	var refused *coltsattempt.RefusedError
	assert.Assert(t, errors.As(err, &refused), "got %v", err)
	assert.Equal(t, refused.Reason, reason)
	assert.Equal(t, refused.Outcome, coltsattempt.OutcomeNotRun)
}

func assertVerdict(t *testing.T, l *Life, f coltsattempt.Failure, want coltsattempt.Verdict) {
	t.Helper()
	l.Sending("u")
	assert.Equal(t, l.Failed(f, func() bool { return true }, now), want)
}

func assertOutcome(t *testing.T, l *Life, want coltsattempt.Outcome) {
	t.Helper()
	assert.Equal(t, l.Refusal(coltsattempt.Failure{}, now).Outcome, want)
}

func TestBegin(t *testing.T) {
	t.Run("without a table everything is refused for now", func(t *testing.T) {
		_, err := Begin(InboundRequest{}, nil, now)
		assertRefused(t, err, coltsattempt.ReasonNotReady)
	})
	t.Run("an unknown path is refused", func(t *testing.T) {
		_, err := Begin(InboundRequest{HostName: "h", Path: "/none", Key: "k"}, index(), now)
		assertRefused(t, err, coltsattempt.ReasonUnknownPath)
	})
	t.Run("an unknown key is refused", func(t *testing.T) {
		_, err := Begin(InboundRequest{HostName: "h", Path: "/book/1", Key: "x"}, index(), now)
		assertRefused(t, err, coltsattempt.ReasonUnknownKey)
	})
	t.Run("a public route needs no key", func(t *testing.T) {
		l, err := Begin(InboundRequest{HostName: "h", Path: "/open/1"}, index(), now)
		assert.NilError(t, err)
		assert.Equal(t, l.Organisation.Name, coltsidentity.Organisation(""))
	})
	t.Run("the earlier of both deadlines holds", func(t *testing.T) {
		assert.Equal(t, begin(t, "/book/1").Deadline(), now.Add(500*time.Millisecond))
	})
}

func TestFailed(t *testing.T) {
	sent := coltsattempt.Failure{Phase: coltsattempt.PhaseSent}
	refused := coltsattempt.Failure{Phase: coltsattempt.PhaseRefused}
	unsent := coltsattempt.Failure{Phase: coltsattempt.PhaseUnsent}
	t.Run("a booking that may have run is not sent again", func(t *testing.T) {
		l := begin(t, "/book/1")
		assertVerdict(t, l, sent, coltsattempt.VerdictFail)
		assertOutcome(t, l, coltsattempt.OutcomeUnknown)
	})
	t.Run("a booking that did not run is", func(t *testing.T) {
		l := begin(t, "/book/1")
		assertVerdict(t, l, refused, coltsattempt.VerdictRetry)
		assertOutcome(t, l, coltsattempt.OutcomeNotRun)
	})
	t.Run("attempts that reached nobody don't count", func(t *testing.T) {
		l := begin(t, "/read/1")
		assertVerdict(t, l, unsent, coltsattempt.VerdictRetry)
		assertVerdict(t, l, unsent, coltsattempt.VerdictRetry)
		assertVerdict(t, l, sent, coltsattempt.VerdictRetry)
		assertVerdict(t, l, sent, coltsattempt.VerdictFail)
	})
	t.Run("what was unknown once stays so", func(t *testing.T) {
		l := begin(t, "/read/1")
		assertVerdict(t, l, sent, coltsattempt.VerdictRetry)
		assertVerdict(t, l, refused, coltsattempt.VerdictFail)
		assertOutcome(t, l, coltsattempt.OutcomeUnknown)
	})
	t.Run("a stream that the caller has seen a part of goes on", func(t *testing.T) {
		l := begin(t, "/chat/1")
		l.Begun()
		assertVerdict(t, l, coltsattempt.Failure{Phase: coltsattempt.PhaseAnswering}, coltsattempt.VerdictResume)
	})
	t.Run("nothing is sent again without budget", func(t *testing.T) {
		l := begin(t, "/read/1")
		l.Sending("u")
		assert.Equal(t, l.Failed(sent, func() bool { return false }, now), coltsattempt.VerdictFail)
	})
}

func TestAffinity(t *testing.T) {
	l := begin(t, "/chat/1")
	t.Run("is the last shared part", func(t *testing.T) {
		l.Asked.Parts = []Part{{ID: "a"}, {ID: "b"}, {ID: "own"}}
		assert.Equal(t, l.Affinity(), "b")
	})
	t.Run("is the only part", func(t *testing.T) {
		l.Asked.Parts = []Part{{ID: "a"}}
		assert.Equal(t, l.Affinity(), "a")
	})
}

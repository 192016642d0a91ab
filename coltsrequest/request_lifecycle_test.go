package coltsrequest

// These tests drive the state machine without any network, as another front end
// could.

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltscache"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsorganisation"
	"coltsfootstall/coltsrouting"
)

var (
	start   = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	serving = coltsfleet.ModelVersion{Model: "writer", Version: "w1"}
)

// fixture holds a coordinator and the aggregates that it uses, with two runners, a
// cache store and two instances of a service.
type fixture struct {
	cfg         Config
	coordinator *Coordinator
	document    coltsdocument.Document
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	policy, known := coltsrouting.New("expected-first-token")
	assert.Assert(t, known)
	f := &fixture{document: testDocument()}
	f.cfg = Config{
		Document:    func() coltsdocument.Document { return f.document },
		Admission:   coltsorganisation.NewAdmissionController(),
		Fleet:       coltsfleet.New(),
		Directory:   coltscache.NewDirectory(),
		Links:       coltscache.NewLinks(),
		Budget:      coltsattempt.NewRetryBudget(),
		Quarantine:  coltsattempt.NewQuarantine(coltsattempt.QuarantineConfig{}),
		Policy:      policy,
		MaxAttempts: 3,
		KeepCache:   true,
	}
	f.coordinator = NewCoordinator(f.cfg)
	f.announce(t, "runner-1", coltsdocument.KindRunner)
	f.announce(t, "runner-2", coltsdocument.KindRunner)
	f.announce(t, "store-1", coltsdocument.KindStore)
	f.announce(t, "press-1", coltsdocument.KindService)
	f.announce(t, "press-2", coltsdocument.KindService)
	return f
}

func testDocument() coltsdocument.Document {
	d := coltsdocument.Document{Revision: 1}
	d.Sections.Models = []coltsdocument.Model{{ID: "writer", Current: "w1", Versions: []coltsidentity.Version{"w1"}}}
	d.Sections.Pricing.Models = []coltsdocument.ModelPrice{{Model: "writer", ComputedMicros: 1000, ReusedMicros: 100, GeneratedMicros: 2000}}
	d.Sections.Pricing.Services = []coltsdocument.ServicePrice{{Service: "press", Micros: 7}}
	for _, kind := range coltsdocument.Kinds {
		d.Sections.Upstreams.Trusted = append(d.Sections.Upstreams.Trusted, coltsdocument.TrustRule{
			Network: netip.MustParsePrefix("10.0.0.0/8"), Kind: kind, DataCentre: "north",
		})
	}
	return d
}

func (f *fixture) announce(t *testing.T, id coltsidentity.Upstream, kind coltsdocument.Kind) {
	t.Helper()
	f.announceAt(t, id, kind, start)
}

func (f *fixture) announceAt(t *testing.T, id coltsidentity.Upstream, kind coltsdocument.Kind, now time.Time) {
	t.Helper()
	_, err := f.cfg.Fleet.Announce(coltsfleet.Announcement{
		ID: id, Addr: netip.MustParseAddrPort("10.0.0.1:80"), Kind: kind, DataCentre: "north",
		Service: "press", Serving: []coltsfleet.ModelVersion{serving}, Incarnation: now, Number: 1,
		Load: coltsfleet.Load{PrefillPerSecond: 20_000},
	}, f.document, now)
	assert.NilError(t, err)
}

func organisation() coltsdocument.Organisation {
	return coltsdocument.Organisation{
		ID:       "acme",
		Models:   []coltsdocument.ModelGrant{{Model: "writer"}},
		Services: []coltsidentity.Service{"press"},
		Weight:   1,
	}
}

func prompt(pieces int) Prompt {
	return Prompt{
		ID:           coltsidentity.NewRequest(),
		Organisation: organisation(),
		Model:        "writer",
		Text:         []byte(strings.Repeat("x", pieces*coltscache.PieceBytes)),
		Stream:       true,
		ArrivedAt:    start,
		Deadline:     start.Add(time.Minute),
	}
}

func assertDispatch(t *testing.T, a Action, attempt int) Dispatch {
	t.Helper()
	assert.Equal(t, a.Kind, ActionDispatch)
	assert.Equal(t, a.Dispatch.Attempt, attempt)
	return a.Dispatch
}

func assertRefused(t *testing.T, a Action, outcome coltsattempt.Outcome, reason coltsattempt.Reason) {
	t.Helper()
	assert.Equal(t, a.Kind, ActionRefuse)
	assert.Equal(t, a.Refusal.Outcome, outcome)
	assert.Equal(t, a.Refusal.Reason, reason)
}

// assertSettled asserts that the organisation and all upstreams have no in-flight
// requests.
func assertSettled(t *testing.T, f *fixture) {
	t.Helper()
	assert.Equal(t, f.cfg.Admission.InFlight("acme"), 0)
	for _, c := range f.cfg.Fleet.All(f.document, start) {
		assert.Equal(t, c.InFlight, 0)
		assert.Equal(t, c.QueuedTokens, int64(0))
	}
}

// crash is the failure of an attempt whose upstream crashed after the request was
// sent.
var crash = coltsattempt.Failure{Phase: coltsattempt.PhaseSent, Crashed: true, Detail: "connection closed"}

func TestPromptLife(t *testing.T) {
	t.Run("a request with a restore is retried after a failure and finishes", func(t *testing.T) {
		f := newFixture(t)
		lifecycle, action := f.coordinator.Begin(prompt(10), start)
		assert.Equal(t, action.Kind, ActionLookup)
		first := assertDispatch(t, lifecycle.LookupDone(10, start), 1)
		assert.Equal(t, first.Restore.Store, coltsidentity.Upstream("store-1"))
		assert.Assert(t, first.Restore.Pieces > 0 && first.Restore.Pieces < 10)
		second := assertDispatch(t, lifecycle.Failed(crash, start.Add(time.Second)), 2)
		assert.Assert(t, second.Upstream != first.Upstream)
		restored := int64(second.Restore.Pieces) * coltscache.PieceTokens
		lifecycle.Prefilled(PrefillResult{PromptTokens: 20_000, Cached: restored, Restored: restored, RestoreDuration: time.Second}, start.Add(2*time.Second))
		lifecycle.PartsDelivered(5)
		end := lifecycle.Finished(5, start.Add(3*time.Second))
		assert.Equal(t, end.Kind, ActionDone)
		assert.Equal(t, end.Done.Charge.Tokens.Reused, restored)
		assert.Equal(t, end.Done.Charge.Micros, (20_000-restored)+restored/10+10)
		assert.Equal(t, len(end.Done.Export.Pieces), 0, "the store already holds all pieces")
		assertSettled(t, f)
	})

	t.Run("a new prompt is exported to its home store", func(t *testing.T) {
		f := newFixture(t)
		lifecycle, _ := f.coordinator.Begin(prompt(3), start)
		assertDispatch(t, lifecycle.LookupDone(0, start), 1)
		lifecycle.Prefilled(PrefillResult{PromptTokens: 6000}, start)
		end := lifecycle.Finished(1, start)
		assert.Equal(t, len(end.Done.Export.Pieces), 3)
		assert.Equal(t, end.Done.Export.Store, coltsidentity.Upstream("store-1"))
	})

	t.Run("a broken stream is resumed at its offset", func(t *testing.T) {
		f := newFixture(t)
		lifecycle, action := f.coordinator.Begin(prompt(0), start)
		assertDispatch(t, action, 1)
		lifecycle.Prefilled(PrefillResult{PromptTokens: 1}, start)
		lifecycle.PartsDelivered(7)
		broken := coltsattempt.Failure{Phase: coltsattempt.PhaseAnswering, Crashed: true}
		assert.Equal(t, assertDispatch(t, lifecycle.Failed(broken, start), 2).ResumeAt, int64(7))
	})

	t.Run("a broken stream that no upstream can resume is refused with outcome ran", func(t *testing.T) {
		f := newFixture(t)
		lifecycle, _ := f.coordinator.Begin(prompt(0), start)
		lifecycle.Prefilled(PrefillResult{PromptTokens: 1}, start)
		lifecycle.PartsDelivered(7)
		broken := coltsattempt.Failure{Phase: coltsattempt.PhaseAnswering, Crashed: true}
		lifecycle.Failed(broken, start)
		assertRefused(t, lifecycle.Failed(broken, start), coltsattempt.OutcomeRan, coltsattempt.ReasonBroken)
		assertSettled(t, f)
	})

	t.Run("a request that every upstream refused did not run", func(t *testing.T) {
		f := newFixture(t)
		refused := coltsattempt.Failure{Phase: coltsattempt.PhaseRefused}
		lifecycle, _ := f.coordinator.Begin(prompt(0), start)
		assertDispatch(t, lifecycle.Failed(refused, start), 2)
		assertRefused(t, lifecycle.Failed(refused, start), coltsattempt.OutcomeNotRun, coltsattempt.ReasonNoUpstream)
		assertSettled(t, f)
	})

	t.Run("upstreams that asked for a pause get nothing until it ends, and callers are told when", func(t *testing.T) {
		f := newFixture(t)
		pauseEnd := start.Add(5 * time.Second)
		paused := coltsattempt.Failure{Phase: coltsattempt.PhaseRefused, RetryAt: pauseEnd}
		lifecycle, _ := f.coordinator.Begin(prompt(0), start)
		assertDispatch(t, lifecycle.Failed(paused, start), 2)
		lifecycle.Failed(paused, start)
		_, action := f.coordinator.Begin(prompt(0), start.Add(time.Second))
		assertRefused(t, action, coltsattempt.OutcomeNotRun, coltsattempt.ReasonNoUpstream)
		assert.Equal(t, action.Refusal.RetryAt, pauseEnd)
		_, action = f.coordinator.Begin(prompt(0), pauseEnd)
		assertDispatch(t, action, 1)
	})

	t.Run("a request that may have run is refused with outcome unknown", func(t *testing.T) {
		f := newFixture(t)
		lifecycle, _ := f.coordinator.Begin(prompt(0), start)
		lifecycle.Failed(crash, start)
		refused := coltsattempt.Failure{Phase: coltsattempt.PhaseRefused}
		assertRefused(t, lifecycle.Failed(refused, start), coltsattempt.OutcomeUnknown, coltsattempt.ReasonNoUpstream)
	})

	t.Run("an overdue request moves to another upstream once that is faster", func(t *testing.T) {
		f := newFixture(t)
		lifecycle, action := f.coordinator.Begin(prompt(0), start)
		first := assertDispatch(t, action, 1)
		_, moved := lifecycle.FirstTokenOverdue(start.Add(time.Microsecond))
		assert.Assert(t, !moved, "another upstream would take as long")
		second, moved := lifecycle.FirstTokenOverdue(first.OverdueAt)
		assert.Assert(t, moved)
		assert.Assert(t, assertDispatch(t, second, 2).Upstream != first.Upstream)
		_, moved = lifecycle.FirstTokenOverdue(second.Dispatch.OverdueAt)
		assert.Assert(t, !moved, "there is no third upstream")
		lifecycle.Prefilled(PrefillResult{PromptTokens: 1}, start)
		lifecycle.Finished(1, start)
		assertSettled(t, f)
	})

	t.Run("a caller that disconnects is charged for the tokens so far", func(t *testing.T) {
		f := newFixture(t)
		lifecycle, _ := f.coordinator.Begin(prompt(0), start)
		lifecycle.Prefilled(PrefillResult{PromptTokens: 1000}, start)
		lifecycle.PartsDelivered(4)
		assert.Equal(t, lifecycle.CallerDisconnected(start).Tokens.Generated, int64(4))
		assertSettled(t, f)
	})

	t.Run("a request that crashed two upstreams is refused from then on", func(t *testing.T) {
		f := newFixture(t)
		lifecycle, _ := f.coordinator.Begin(prompt(0), start)
		lifecycle.Failed(crash, start)
		lifecycle.Failed(crash, start)
		_, action := f.coordinator.Begin(prompt(0), start)
		assertRefused(t, action, coltsattempt.OutcomeNotRun, coltsattempt.ReasonQuarantined)
	})

	// The failure guarded against: a sound request that ran on upstreams that crashed for other reasons was refused for an
	// hour, and nothing could show that it is sound.
	t.Run("one quarantined request runs as a trial, and its success clears all", func(t *testing.T) {
		f := newFixture(t)
		var told []coltsattempt.Suspect
		f.cfg.OnSuspect = func(s coltsattempt.Suspect) { told = append(told, s) }
		f.coordinator = NewCoordinator(f.cfg)
		lifecycle, _ := f.coordinator.Begin(prompt(0), start)
		lifecycle.Failed(crash, start)
		lifecycle.Failed(crash, start)
		_, refused := f.coordinator.Begin(prompt(0), start)
		assertRefused(t, refused, coltsattempt.OutcomeNotRun, coltsattempt.ReasonQuarantined)
		retryAt := refused.Refusal.RetryAt
		assert.Assert(t, retryAt.Sub(start) < time.Minute)
		f.announceAt(t, "runner-1", coltsdocument.KindRunner, retryAt)
		trial, action := f.coordinator.Begin(prompt(0), retryAt)
		assertDispatch(t, action, 1)
		assert.Assert(t, told[len(told)-1].TrialUntil.After(retryAt))
		_, refused = f.coordinator.Begin(prompt(0), retryAt)
		assertRefused(t, refused, coltsattempt.OutcomeNotRun, coltsattempt.ReasonQuarantined)
		trial.Prefilled(PrefillResult{PromptTokens: 1}, retryAt)
		trial.Finished(1, retryAt.Add(time.Second))
		assert.Equal(t, len(told[len(told)-1].Crashes), 0)
		_, action = f.coordinator.Begin(prompt(0), retryAt.Add(time.Second))
		assertDispatch(t, action, 1)
	})

	t.Run("a model that the organisation may not use is refused", func(t *testing.T) {
		f := newFixture(t)
		p := prompt(0)
		p.Organisation.Models = nil
		_, action := f.coordinator.Begin(p, start)
		assertRefused(t, action, coltsattempt.OutcomeNotRun, coltsattempt.ReasonNotAllowed)
	})
}

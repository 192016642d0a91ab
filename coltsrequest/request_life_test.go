package coltsrequest

// A whole life without a socket: what another front end would do.

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
	start  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	serves = coltsfleet.ModelVersion{Model: "writer", Version: "w1"}
)

// world is the aggregates that a coordinator consults, with two runners, a store
// and a service.
type world struct {
	cfg         Config
	coordinator *Coordinator
	document    coltsdocument.Document
}

func newWorld(t *testing.T) *world {
	t.Helper()
	policy, known := coltsrouting.New("expected-first-token")
	assert.Assert(t, known)
	w := &world{document: testDocument()}
	w.cfg = Config{
		Document:    func() coltsdocument.Document { return w.document },
		Admission:   coltsorganisation.NewAdmission(),
		Fleet:       coltsfleet.New(),
		Directory:   coltscache.NewDirectory(),
		Links:       coltscache.NewLinks(),
		Budget:      coltsattempt.NewBudget(),
		Quarantine:  coltsattempt.NewQuarantine(coltsattempt.QuarantineConfig{}),
		Policy:      policy,
		MaxAttempts: 3,
		KeepCache:   true,
	}
	w.coordinator = NewCoordinator(w.cfg)
	w.announce(t, "runner-1", coltsdocument.KindRunner)
	w.announce(t, "runner-2", coltsdocument.KindRunner)
	w.announce(t, "store-1", coltsdocument.KindStore)
	w.announce(t, "press-1", coltsdocument.KindService)
	w.announce(t, "press-2", coltsdocument.KindService)
	return w
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

func (w *world) announce(t *testing.T, id coltsidentity.Upstream, kind coltsdocument.Kind) {
	t.Helper()
	_, err := w.cfg.Fleet.Announce(coltsfleet.Announcement{
		ID: id, Addr: netip.MustParseAddrPort("10.0.0.1:80"), Kind: kind, DataCentre: "north",
		Service: "press", Serving: []coltsfleet.ModelVersion{serves}, Incarnation: start, Number: 1,
		Load: coltsfleet.Load{PrefillPerSecond: 20_000},
	}, w.document, start)
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

// assertSettled asserts that nothing of the organisation is under way.
func assertSettled(t *testing.T, w *world) {
	t.Helper()
	assert.Equal(t, w.cfg.Admission.UnderWay("acme"), 0)
	for _, c := range w.cfg.Fleet.All(w.document, start) {
		assert.Equal(t, c.UnderWay, 0)
		assert.Equal(t, c.QueuedTokens, int64(0))
	}
}

var crash = coltsattempt.Failure{Phase: coltsattempt.PhaseSent, Crashed: true, Detail: "it broke off"}

func TestPromptLife(t *testing.T) {
	t.Run("a restore, a failed attempt, a retry, and the end", func(t *testing.T) {
		w := newWorld(t)
		life, action := w.coordinator.Begin(prompt(10), start)
		assert.Equal(t, action.Kind, ActionLookup)
		first := assertDispatch(t, life.Located(10, start), 1)
		assert.Equal(t, first.Restore.Store, coltsidentity.Upstream("store-1"))
		assert.Assert(t, first.Restore.Pieces > 0 && first.Restore.Pieces < 10)
		second := assertDispatch(t, life.Failed(crash, start.Add(time.Second)), 2)
		assert.Assert(t, second.Upstream != first.Upstream)
		restored := int64(second.Restore.Pieces) * coltscache.PieceTokens
		life.Prefilled(Prefill{PromptTokens: 20_000, Cached: restored, Restored: restored, RestoreTook: time.Second}, start.Add(2*time.Second))
		life.Progressed(5)
		end := life.Finished(5, start.Add(3*time.Second))
		assert.Equal(t, end.Kind, ActionDone)
		assert.Equal(t, end.Done.Charge.Tokens.Reused, restored)
		assert.Equal(t, end.Done.Charge.Micros, (20_000-restored)+restored/10+10)
		assert.Equal(t, len(end.Done.Export.Pieces), 0, "the store holds all of it")
		assertSettled(t, w)
	})

	t.Run("a new prompt is exported to its home store", func(t *testing.T) {
		w := newWorld(t)
		life, _ := w.coordinator.Begin(prompt(3), start)
		assertDispatch(t, life.Located(0, start), 1)
		life.Prefilled(Prefill{PromptTokens: 6000}, start)
		end := life.Finished(1, start)
		assert.Equal(t, len(end.Done.Export.Pieces), 3)
		assert.Equal(t, end.Done.Export.Store, coltsidentity.Upstream("store-1"))
	})

	t.Run("a broken stream is resumed at its offset", func(t *testing.T) {
		w := newWorld(t)
		life, action := w.coordinator.Begin(prompt(0), start)
		assertDispatch(t, action, 1)
		life.Prefilled(Prefill{PromptTokens: 1}, start)
		life.Progressed(7)
		broken := coltsattempt.Failure{Phase: coltsattempt.PhaseAnswering, Crashed: true}
		assert.Equal(t, assertDispatch(t, life.Failed(broken, start), 2).ResumeAt, int64(7))
	})

	t.Run("a stream that no upstream can resume is refused as one that ran", func(t *testing.T) {
		w := newWorld(t)
		life, _ := w.coordinator.Begin(prompt(0), start)
		life.Prefilled(Prefill{PromptTokens: 1}, start)
		life.Progressed(7)
		broken := coltsattempt.Failure{Phase: coltsattempt.PhaseAnswering, Crashed: true}
		life.Failed(broken, start)
		assertRefused(t, life.Failed(broken, start), coltsattempt.OutcomeRan, coltsattempt.ReasonBroken)
		assertSettled(t, w)
	})

	t.Run("a request that every upstream refused did not run", func(t *testing.T) {
		w := newWorld(t)
		refused := coltsattempt.Failure{Phase: coltsattempt.PhaseRefused}
		life, _ := w.coordinator.Begin(prompt(0), start)
		assertDispatch(t, life.Failed(refused, start), 2)
		assertRefused(t, life.Failed(refused, start), coltsattempt.OutcomeNotRun, coltsattempt.ReasonNoUpstream)
		assertSettled(t, w)
	})

	t.Run("a request that may have run is not said to be not-run", func(t *testing.T) {
		w := newWorld(t)
		life, _ := w.coordinator.Begin(prompt(0), start)
		life.Failed(crash, start)
		refused := coltsattempt.Failure{Phase: coltsattempt.PhaseRefused}
		assertRefused(t, life.Failed(refused, start), coltsattempt.OutcomeUnknown, coltsattempt.ReasonNoUpstream)
	})

	t.Run("a first token that is overdue is sought elsewhere, once it is worth it", func(t *testing.T) {
		w := newWorld(t)
		life, action := w.coordinator.Begin(prompt(0), start)
		first := assertDispatch(t, action, 1)
		_, moved := life.Overdue(start.Add(time.Microsecond))
		assert.Assert(t, !moved, "another would take as long")
		second, moved := life.Overdue(first.OverdueAt)
		assert.Assert(t, moved)
		assert.Assert(t, assertDispatch(t, second, 2).Upstream != first.Upstream)
		_, moved = life.Overdue(second.Dispatch.OverdueAt)
		assert.Assert(t, !moved, "there is no third")
		life.Prefilled(Prefill{PromptTokens: 1}, start)
		life.Finished(1, start)
		assertSettled(t, w)
	})

	t.Run("a caller that leaves is charged for what ran", func(t *testing.T) {
		w := newWorld(t)
		life, _ := w.coordinator.Begin(prompt(0), start)
		life.Prefilled(Prefill{PromptTokens: 1000}, start)
		life.Progressed(4)
		assert.Equal(t, life.CallerLeft(start).Tokens.Generated, int64(4))
		assertSettled(t, w)
	})

	t.Run("a request that crashed two upstreams is refused from then on", func(t *testing.T) {
		w := newWorld(t)
		life, _ := w.coordinator.Begin(prompt(0), start)
		life.Failed(crash, start)
		life.Failed(crash, start)
		_, action := w.coordinator.Begin(prompt(0), start)
		assertRefused(t, action, coltsattempt.OutcomeNotRun, coltsattempt.ReasonQuarantined)
	})

	t.Run("an organisation may not use what it was not granted", func(t *testing.T) {
		w := newWorld(t)
		p := prompt(0)
		p.Organisation.Models = nil
		_, action := w.coordinator.Begin(p, start)
		assertRefused(t, action, coltsattempt.OutcomeNotRun, coltsattempt.ReasonNotAllowed)
	})
}

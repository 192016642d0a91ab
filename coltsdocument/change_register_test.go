package coltsdocument

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// registerWithOperators returns a register whose document is at revision 1 and has
// three operators, of whom cem owns only the pricing section.
func registerWithOperators(t *testing.T) *Register {
	t.Helper()
	r := NewRegister()
	content := Sections{Operators: []Operator{
		{ID: "amina", KeyDigest: coltsidentity.Digest{1}, Sections: SectionNames},
		{ID: "berk", KeyDigest: coltsidentity.Digest{2}, Sections: SectionNames},
		{ID: "cem", KeyDigest: coltsidentity.Digest{3}, Sections: []SectionName{SectionPricing}},
	}}
	_, err := r.Propose(Change{ID: "first", Section: SectionOperators, Content: content, Bootstrap: true}, start)
	assert.NilError(t, err)
	_, err = r.Accept("first", "", start)
	assert.NilError(t, err)
	return r
}

// drainChange returns a change that drains one upstream.
func drainChange(id string, upstream coltsidentity.Upstream, by coltsidentity.Operator, base Revision) Change {
	return Change{
		ID: coltsidentity.Change(id), Section: SectionUpstreams, Base: base, Author: by, Text: id,
		Content: Sections{Upstreams: UpstreamRules{Draining: []coltsidentity.Upstream{upstream}}},
	}
}

// acceptChange proposes, reviews and accepts a change.
func acceptChange(t *testing.T, r *Register, c Change, reviewer coltsidentity.Operator) Record {
	t.Helper()
	_, err := r.Propose(c, start)
	assert.NilError(t, err)
	_, err = r.Review(c.ID, reviewer)
	assert.NilError(t, err)
	rec, err := r.Accept(c.ID, c.Author, start)
	assert.NilError(t, err)
	return rec
}

// assertDenied checks that err is a DeniedError.
func assertDenied(t *testing.T, err error) {
	t.Helper()
	var denied *DeniedError
	assert.Assert(t, errors.As(err, &denied), "%v", err)
}

func TestRegister(t *testing.T) {
	t.Run("a reviewed change is applied", func(t *testing.T) {
		r := registerWithOperators(t)
		rec := acceptChange(t, r, drainChange("a", "runner-1", "amina", 1), "berk")
		assert.Equal(t, rec.Revision, Revision(2))
		assert.Assert(t, r.Current().IsDraining("runner-1"))
	})
	t.Run("the first accepted of two with the same base wins", func(t *testing.T) {
		r := registerWithOperators(t)
		a, b := drainChange("a", "runner-1", "amina", 1), drainChange("b", "runner-2", "berk", 1)
		_, err := r.Propose(b, start)
		assert.NilError(t, err)
		_, err = r.Review("b", "amina")
		assert.NilError(t, err)
		acceptChange(t, r, a, "berk")
		_, err = r.Accept("b", "berk", start)
		var stale *StaleError
		assert.Assert(t, errors.As(err, &stale))
		assert.Equal(t, stale.Winner, coltsidentity.Change("a"))
		assert.Assert(t, !r.Current().IsDraining("runner-2"))
	})
	t.Run("changes to different sections don't conflict", func(t *testing.T) {
		r := registerWithOperators(t)
		acceptChange(t, r, drainChange("a", "runner-1", "amina", 1), "berk")
		c := Change{ID: "m", Section: SectionModels, Base: 1, Author: "amina",
			Content: Sections{Models: []Model{{ID: "w", Current: "1", Versions: []coltsidentity.Version{"1"}}}}}
		assert.Equal(t, acceptChange(t, r, c, "berk").Revision, Revision(3))
	})
	t.Run("a retry returns the record of the first call", func(t *testing.T) {
		r := registerWithOperators(t)
		c := drainChange("a", "runner-1", "amina", 1)
		first := acceptChange(t, r, c, "berk")
		again, err := r.Propose(c, start.Add(time.Hour))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, first)
		again, err = r.Accept("a", "amina", start.Add(time.Hour))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, first)
	})
	t.Run("a change ID can't be reused for another change", func(t *testing.T) {
		r := registerWithOperators(t)
		acceptChange(t, r, drainChange("a", "runner-1", "amina", 1), "berk")
		other := drainChange("a", "runner-2", "amina", 1)
		other.Text = "other"
		_, err := r.Propose(other, start)
		var reused *ReusedChangeError
		assert.Assert(t, errors.As(err, &reused))
	})
	t.Run("neither the author nor an operator who does not own the section can review", func(t *testing.T) {
		r := registerWithOperators(t)
		_, err := r.Propose(drainChange("a", "runner-1", "amina", 1), start)
		assert.NilError(t, err)
		_, err = r.Review("a", "amina")
		assertDenied(t, err)
		_, err = r.Review("a", "cem")
		assertDenied(t, err)
		_, err = r.Accept("a", "amina", start)
		assertDenied(t, err)
	})
	t.Run("an invalid change is rejected", func(t *testing.T) {
		r := registerWithOperators(t)
		c := drainChange("a", "runner-1", "amina", 1)
		c.Content.Upstreams.Trusted = []TrustRule{{Network: netip.Prefix{}, Kind: "press"}}
		_, err := r.Propose(c, start)
		var invalid *InvalidError
		assert.Assert(t, errors.As(err, &invalid))
		assert.Equal(t, len(invalid.Problems), 3)
		assert.Equal(t, r.Current().Revision, Revision(1))
	})
	t.Run("an import restores the exported state", func(t *testing.T) {
		r, imported := registerWithOperators(t), NewRegister()
		acceptChange(t, r, drainChange("a", "runner-1", "amina", 1), "berk")
		imported.Import(r.Export())
		assert.DeepEqual(t, imported.Current(), r.Current())
		assert.DeepEqual(t, imported.History(10), r.History(10))
	})
}

func TestPlan(t *testing.T) {
	old := Sections{Models: []Model{{ID: "a", Current: "1"}, {ID: "b", Current: "1"}}}
	changed := Sections{Models: []Model{{ID: "b", Current: "2"}, {ID: "c", Current: "1"}}}
	assert.DeepEqual(t, Plan(old, changed, SectionModels), []string{
		"remove  model a: current version 1 of []",
		"change  model b: current version 2 of []  (was: model b: current version 1 of [])",
		"add     model c: current version 1 of []",
	})
}

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

// governed returns a register whose document has two operators.
func governed(t *testing.T) *Register {
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

func drain(id string, upstream coltsidentity.Upstream, by coltsidentity.Operator, base Revision) Change {
	return Change{
		ID: coltsidentity.Change(id), Section: SectionUpstreams, Base: base, Author: by, Text: id,
		Content: Sections{Upstreams: UpstreamRules{Draining: []coltsidentity.Upstream{upstream}}},
	}
}

// accept takes a change through all its steps.
func accept(t *testing.T, r *Register, c Change, reviewer coltsidentity.Operator) ChangeRecord {
	t.Helper()
	_, err := r.Propose(c, start)
	assert.NilError(t, err)
	_, err = r.Review(c.ID, reviewer)
	assert.NilError(t, err)
	rec, err := r.Accept(c.ID, c.Author, start)
	assert.NilError(t, err)
	return rec
}

func assertDenied(t *testing.T, err error) {
	t.Helper()
	var denied *DeniedError
	assert.Assert(t, errors.As(err, &denied), "%v", err)
}

func TestRegister(t *testing.T) {
	t.Run("a reviewed change comes into force", func(t *testing.T) {
		r := governed(t)
		rec := accept(t, r, drain("a", "runner-1", "amina", 1), "berk")
		assert.Equal(t, rec.Revision, Revision(2))
		assert.Assert(t, r.Current().IsDraining("runner-1"))
	})
	t.Run("the first accepted of two with the same base wins", func(t *testing.T) {
		r := governed(t)
		a, b := drain("a", "runner-1", "amina", 1), drain("b", "runner-2", "berk", 1)
		_, err := r.Propose(b, start)
		assert.NilError(t, err)
		_, err = r.Review("b", "amina")
		assert.NilError(t, err)
		accept(t, r, a, "berk")
		_, err = r.Accept("b", "berk", start)
		var stale *StaleError
		assert.Assert(t, errors.As(err, &stale))
		assert.Equal(t, stale.Winner, coltsidentity.Change("a"))
		assert.Assert(t, !r.Current().IsDraining("runner-2"))
	})
	t.Run("changes of other sections don't collide", func(t *testing.T) {
		r := governed(t)
		accept(t, r, drain("a", "runner-1", "amina", 1), "berk")
		c := Change{ID: "m", Section: SectionModels, Base: 1, Author: "amina",
			Content: Sections{Models: []Model{{ID: "w", Current: "1", Versions: []coltsidentity.Version{"1"}}}}}
		assert.Equal(t, accept(t, r, c, "berk").Revision, Revision(3))
	})
	t.Run("a resend gets the first answer", func(t *testing.T) {
		r := governed(t)
		c := drain("a", "runner-1", "amina", 1)
		first := accept(t, r, c, "berk")
		again, err := r.Propose(c, start.Add(time.Hour))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, first)
		again, err = r.Accept("a", "amina", start.Add(time.Hour))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, first)
	})
	t.Run("an identity can't stand for two changes", func(t *testing.T) {
		r := governed(t)
		accept(t, r, drain("a", "runner-1", "amina", 1), "berk")
		other := drain("a", "runner-2", "amina", 1)
		other.Text = "other"
		_, err := r.Propose(other, start)
		var reused *ReusedChangeError
		assert.Assert(t, errors.As(err, &reused))
	})
	t.Run("an author can't review, nor one who does not own the section", func(t *testing.T) {
		r := governed(t)
		_, err := r.Propose(drain("a", "runner-1", "amina", 1), start)
		assert.NilError(t, err)
		_, err = r.Review("a", "amina")
		assertDenied(t, err)
		_, err = r.Review("a", "cem")
		assertDenied(t, err)
		_, err = r.Accept("a", "amina", start)
		assertDenied(t, err)
	})
	t.Run("a bad document changes nothing", func(t *testing.T) {
		r := governed(t)
		c := drain("a", "runner-1", "amina", 1)
		c.Content.Upstreams.Trusted = []TrustRule{{Network: netip.Prefix{}, Kind: "press"}}
		_, err := r.Propose(c, start)
		var invalid *InvalidError
		assert.Assert(t, errors.As(err, &invalid))
		assert.Equal(t, len(invalid.Problems), 3)
		assert.Equal(t, r.Current().Revision, Revision(1))
	})
	t.Run("an import gives the same state", func(t *testing.T) {
		r, copied := governed(t), NewRegister()
		accept(t, r, drain("a", "runner-1", "amina", 1), "berk")
		copied.Import(r.Export())
		assert.DeepEqual(t, copied.Current(), r.Current())
		assert.DeepEqual(t, copied.History(10), r.History(10))
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

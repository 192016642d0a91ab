package coltsweights

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// namedAt returns a version of model m that was named some seconds after now.
func namedAt(number Number, seconds float64) NamedVersion {
	return NamedVersion{Weights: Weights{Model: "m", Number: number}, NamedAt: now.Add(time.Duration(seconds * float64(time.Second)))}
}

func registerOf(versions ...NamedVersion) *Register {
	r := NewRegister()
	for _, n := range versions {
		r.SetNamed(n)
	}
	return r
}

// assertSameDeadlines asserts that two registers require the same versions at all times.
func assertSameDeadlines(t *testing.T, got, want *Register) {
	t.Helper()
	for at := now.Add(-time.Second); at.Before(now.Add(time.Minute)); at = at.Add(50 * time.Millisecond) {
		assert.Equal(t, got.NamedAsOf("m", at), want.NamedAsOf("m", at), "%v", at.Sub(now))
	}
	assert.Equal(t, got.Wanted("m"), want.Wanted("m"))
}

// The failure guarded against: whoever learned only of the newest version counted the time to load an earlier one
// from the naming of the newest.
func TestEarlierVersions(t *testing.T) {
	first, second, third, fourth := namedAt(2, 0), namedAt(3, 2.7), namedAt(5, 3.1), namedAt(6, 30)
	whole := registerOf(first, second, third, fourth)
	t.Run("an import has them all", func(t *testing.T) {
		imported := NewRegister()
		versions, _ := whole.Versions()
		imported.Import(versions)
		assertSameDeadlines(t, imported, whole)
	})
	t.Run("the order in which they are learned does not matter", func(t *testing.T) {
		assertSameDeadlines(t, registerOf(fourth, third, second, first), whole)
		assertSameDeadlines(t, registerOf(second, fourth, first, third, first), whole)
	})
	t.Run("one that is named after a higher one changes nothing", func(t *testing.T) {
		r := registerOf(namedAt(5, 0))
		assert.Assert(t, !r.SetNamed(namedAt(4, 1)))
		versions, revision := r.Versions()
		assert.Equal(t, len(versions), 1)
		assert.Equal(t, revision, uint64(1))
	})
	t.Run("the earlier time counts for each of them", func(t *testing.T) {
		r := registerOf(namedAt(2, 1), namedAt(3, 2.7), third, fourth)
		r.SetNamed(first)
		assertSameDeadlines(t, r, whole)
	})
	t.Run("no more than a bound are kept, the newest ones", func(t *testing.T) {
		r := NewRegister()
		for i := range 3 * maxVersions {
			r.SetNamed(namedAt(Number(i+1), float64(i)))
		}
		versions, _ := r.Versions()
		assert.Equal(t, len(versions), maxVersions)
		assert.Equal(t, r.Wanted("m").Number, Number(3*maxVersions))
	})
	t.Run("models are kept apart", func(t *testing.T) {
		r := registerOf(first, second)
		for i := range 3 {
			r.SetNamed(NamedVersion{Weights: Weights{Model: "a", Number: Number(i + 7)}, NamedAt: now})
		}
		versions, _ := r.Versions()
		newest, _ := r.Newest()
		assert.Equal(t, fmt.Sprint(len(versions), len(newest)), "5 2")
		assert.Equal(t, r.NamedAsOf("m", now.Add(time.Hour)), Number(3))
	})
}

package coltsevacuation

// Guards against orders that come twice, late or in another sequence and leave replicas or gateways with
// different states.

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
)

func at(seconds int) time.Time { return time.Unix(1_700_000_000+int64(seconds), 0) }

func start(dc string) Order { return Order{DataCentre: coltsidentity.DataCentre(dc)} }
func end(dc string) Order   { return Order{DataCentre: coltsidentity.DataCentre(dc), Ends: true} }

// registerAfter returns a register that has taken orders, one each second.
func registerAfter(t *testing.T, orders ...Order) *Register {
	t.Helper()
	r := NewRegister()
	for i, o := range orders {
		assert.NilError(t, r.Apply(o, at(i)))
	}
	return r
}

// assertState asserts the revision of a register and its evacuated data centres, separated by spaces.
func assertState(t *testing.T, r *Register, revision uint64, evacuated string) {
	t.Helper()
	s := r.Current()
	assert.Equal(t, s.Revision, revision)
	assert.Equal(t, strings.Trim(fmt.Sprint(s.Evacuated()), "[]"), evacuated)
}

// assertInvalid asserts that a register refuses an order and stays as it is.
func assertInvalid(t *testing.T, r *Register, o Order) {
	t.Helper()
	before := r.Current()
	var invalid *InvalidError
	assert.Assert(t, errors.As(r.Apply(o, at(99)), &invalid), "%q", o.DataCentre)
	assert.DeepEqual(t, r.Current(), before)
}

// names returns the names of n data centres.
func names(n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("z%02d", i))
	}
	return all
}

func TestRegister(t *testing.T) {
	t.Run("an order that comes again changes nothing", func(t *testing.T) {
		assertState(t, registerAfter(t, start("z1"), start("z1")), 1, "z1")
		assertState(t, registerAfter(t, start("z1"), end("z1"), end("z1")), 2, "")
	})
	t.Run("an end before its start changes nothing", func(t *testing.T) {
		assertState(t, registerAfter(t, end("z1")), 0, "")
		assertState(t, registerAfter(t, end("z1"), start("z1")), 1, "z1")
	})
	t.Run("the newest order of several operators wins, for each data centre by itself", func(t *testing.T) {
		assertState(t, registerAfter(t, start("z2"), start("z1"), end("z2"), start("z3"), end("z1"), start("z1")), 6, "z1 z3")
	})
	t.Run("the time is that of the order that changed something", func(t *testing.T) {
		r := registerAfter(t, start("z1"), start("z1"))
		assert.Equal(t, r.Current().Evacuations[0].ChangedAt, at(0))
	})
	t.Run("a state that was taken before an order stays as it was", func(t *testing.T) {
		r := registerAfter(t, start("z1"))
		before := r.Current()
		assert.NilError(t, r.Apply(end("z1"), at(1)))
		assert.Assert(t, !before.Evacuations[0].Ended)
	})
	t.Run("an imported state goes on as the exported one", func(t *testing.T) {
		r := NewRegister()
		r.Import(registerAfter(t, start("z1"), start("z2"), end("z1")).Current())
		assertState(t, r, 3, "z2")
		assert.NilError(t, r.Apply(start("z1"), at(9)))
		assertState(t, r, 4, "z1 z2")
	})
	for _, name := range []string{"", strings.Repeat("z", 129), "z\n", "z\x00", "z\x7f", "z\u0085", "\xff"} {
		t.Run(fmt.Sprintf("the name %.8q is refused", name), func(t *testing.T) {
			assertInvalid(t, registerAfter(t, start("z1")), start(name))
			assertInvalid(t, registerAfter(t, start("z1")), end(name))
		})
	}
}

func TestRegisterLimit(t *testing.T) {
	r := NewRegister()
	for i, name := range names(64) {
		assert.NilError(t, r.Apply(start(name), at(i)))
	}
	t.Run("one evacuated data centre more is refused, an end and a repetition are not", func(t *testing.T) {
		assertInvalid(t, r, start("one more"))
		assert.NilError(t, r.Apply(start("z05"), at(70)))
		assert.NilError(t, r.Apply(end("one more"), at(71)))
		assert.Equal(t, r.Current().Revision, uint64(64))
	})
	t.Run("the one that ended longest ago gives way", func(t *testing.T) {
		assert.NilError(t, r.Apply(end("z09"), at(80)))
		assert.NilError(t, r.Apply(end("z03"), at(81)))
		assert.NilError(t, r.Apply(start("one more"), at(82)))
		_, first := r.Current().find("z09")
		_, second := r.Current().find("z03")
		assert.Assert(t, !first && second)
		assert.Equal(t, len(r.Current().Evacuations), 64)
	})
}

// assertChanges asserts the differences between the states of two registers, as texts.
func assertChanges(t *testing.T, before, after *Register, begun, ended string) {
	t.Helper()
	changes := ChangesBetween(before.Current(), after.Current(), at(100))
	assert.Equal(t, fmt.Sprint(changes.Begun), begun)
	var texts []string
	for _, e := range changes.Ended {
		texts = append(texts, fmt.Sprint(e.DataCentre, "@", e.ChangedAt.Sub(at(0)).Seconds()))
	}
	assert.Equal(t, fmt.Sprint(texts), ended)
}

func TestChangesBetween(t *testing.T) {
	empty, one := NewRegister(), registerAfter(t, start("z1"))
	t.Run("begin and end", func(t *testing.T) {
		assertChanges(t, empty, one, "[z1]", "[]")
		assertChanges(t, one, one, "[]", "[]")
		assertChanges(t, one, registerAfter(t, start("z1"), start("z2"), end("z1")), "[z2]", "[z1@2]")
	})
	t.Run("an end that was missed, and a second end", func(t *testing.T) {
		twice := registerAfter(t, start("z1"), end("z1"), start("z1"), end("z1"))
		assertChanges(t, empty, twice, "[]", "[z1@3]")
		assertChanges(t, registerAfter(t, start("z1"), end("z1")), twice, "[]", "[z1@3]")
	})
	t.Run("an evacuation whose end was dropped ended at the latest possible time", func(t *testing.T) {
		assertChanges(t, one, registerAfter(t, start("z2"), start("z3")), "[z2 z3]", "[z1@100]")
	})
}

// TestLocalTimes guards against an end that counts as long ago because the leader's clock is behind, and
// against old ends that count as recent after each restart.
func TestLocalTimes(t *testing.T) {
	r := registerAfter(t, start("z1"), end("z1"))
	var l LocalTimes
	assert.Equal(t, l.Translate(r.Current(), at(5)).Evacuations[0].ChangedAt, at(5))
	t.Run("a change that was translated keeps its time", func(t *testing.T) {
		assert.NilError(t, r.Apply(start("z2"), at(3)))
		s := l.Translate(r.Current(), at(7))
		assert.Equal(t, s.Evacuations[0].ChangedAt, at(5))
		assert.Equal(t, s.Evacuations[1].ChangedAt, at(7))
		assert.Equal(t, s.Revision, uint64(3))
	})
	t.Run("a change from a clock that is ahead took effect now", func(t *testing.T) {
		assert.Equal(t, new(LocalTimes).Translate(r.Current(), at(-20)).Evacuations[0].ChangedAt, at(-20))
	})
	t.Run("an old change that is restored keeps the recorded time", func(t *testing.T) {
		assert.Equal(t, new(LocalTimes).Translate(r.Current(), at(500)).Evacuations[0].ChangedAt, at(1))
	})
}

// TestKeepTimes guards against an end that counts again because a later reply gives a slightly later time for it.
func TestKeepTimes(t *testing.T) {
	endedAt := func(seconds int) State {
		return State{Evacuations: []Evacuation{{DataCentre: "z1", Ended: true, ChangedAt: at(seconds)}}}
	}
	assertEnds := func(t *testing.T, seconds, ends int) {
		t.Helper()
		known := endedAt(0)
		assert.Equal(t, len(ChangesBetween(known, endedAt(seconds).KeepTimes(known), at(100)).Ended), ends)
	}
	t.Run("a time that differs as much as clocks do is that of the known end", func(t *testing.T) { assertEnds(t, 9, 0) })
	t.Run("a later time is that of another end", func(t *testing.T) { assertEnds(t, 10, 1) })
	t.Run("small differences don't add up", func(t *testing.T) {
		known := endedAt(0)
		for i := range 5 {
			known = endedAt(2 * i).KeepTimes(known)
		}
		assert.Equal(t, known.Evacuations[0].ChangedAt, at(0))
	})
	t.Run("an evacuation that begins again has its own time", func(t *testing.T) {
		begun := State{Evacuations: []Evacuation{{DataCentre: "z1", ChangedAt: at(1)}}}
		assert.Equal(t, begun.KeepTimes(endedAt(0)).Evacuations[0].ChangedAt, at(1))
	})
}

// after returns an order whose sender knew of the first n orders when it was last known to wait.
func after(n int, o Order) Order {
	number := OrderNumber(n)
	o.After = &number
	return o
}

// assertSuperseded asserts that a register refuses an order as overtaken and stays as it is.
func assertSuperseded(t *testing.T, r *Register, o Order) {
	t.Helper()
	before := r.Current()
	var superseded *SupersededError
	assert.Assert(t, errors.As(r.Apply(o, at(99)), &superseded), "%v", o)
	assert.DeepEqual(t, *superseded, SupersededError{DataCentre: o.DataCentre, Newest: before.Newest})
	assert.DeepEqual(t, r.Current(), before)
}

// assertTaken asserts that a register takes an order and numbers it.
func assertTaken(t *testing.T, r *Register, o Order, number int) {
	t.Helper()
	assert.NilError(t, r.Apply(o, at(99)))
	assert.Equal(t, r.Current().Newest, OrderNumber(number))
}

// TestSuperseded guards against a copy of an order that waited somewhere and undoes one that was confirmed
// after its sender had given it up (review/6).
func TestSuperseded(t *testing.T) {
	t.Run("a late copy does not undo a newer order", func(t *testing.T) {
		assertSuperseded(t, registerAfter(t, start("z1"), end("z1"), start("z1")), after(1, end("z1")))
		assertSuperseded(t, registerAfter(t, start("z1"), end("z1")), after(0, start("z1")))
	})
	t.Run("a newer order that changed nothing counts as well", func(t *testing.T) {
		assertSuperseded(t, registerAfter(t, start("z1"), end("z1"), end("z1")), after(2, start("z1")))
		assertSuperseded(t, registerAfter(t, end("z1")), after(0, start("z1")))
	})
	t.Run("an order that comes twice is carried out once", func(t *testing.T) {
		r := registerAfter(t, start("z1"))
		assertTaken(t, r, after(1, end("z1")), 2)
		assertSuperseded(t, r, after(1, end("z1")))
	})
	t.Run("orders for other data centres don't matter", func(t *testing.T) {
		assertTaken(t, registerAfter(t, start("z1"), start("z2"), end("z3")), after(1, end("z1")), 4)
	})
	t.Run("an order of a sender that knows all is carried out", func(t *testing.T) {
		assertTaken(t, registerAfter(t, start("z1"), end("z1")), after(2, start("z1")), 3)
		assertTaken(t, NewRegister(), after(0, end("z1")), 1)
	})
	t.Run("a number that no order has is refused", func(t *testing.T) {
		assertSuperseded(t, registerAfter(t, start("z1")), after(2, end("z1")))
	})
	t.Run("orders for data centres that have lost their place are remembered together", func(t *testing.T) {
		r := NewRegister()
		for i, name := range names(maxDataCentres) {
			assert.NilError(t, r.Apply(start(name), at(i)))
		}
		assertTaken(t, r, end("z00"), maxDataCentres+1)
		assertTaken(t, r, start("z99"), maxDataCentres+2)
		assertSuperseded(t, r, after(maxDataCentres, end("z00")))
		assertSuperseded(t, r, after(maxDataCentres, end("another")))
		assertTaken(t, r, after(maxDataCentres+1, end("another")), maxDataCentres+3)
	})
	t.Run("an order of an earlier release is carried out", func(t *testing.T) {
		assertTaken(t, registerAfter(t, start("z1"), end("z1")), start("z1"), 3)
	})
}

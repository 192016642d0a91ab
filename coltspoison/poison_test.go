package coltspoison

// Schedules of crashes and answers in simulated time: several observers exchange reports and verdicts with one
// register, as gateways do with control's leader.

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	model = coltsidentity.Model("m")
	// pollPeriod is how often the simulated observers report.
	pollPeriod = 100 * time.Millisecond
)

func part(id string) Part { return Part{Model: model, ID: id} }

func parts(ids ...string) []Part {
	var all []Part
	for _, id := range ids {
		all = append(all, part(id))
	}
	return all
}

// fleet is a register and some observers in simulated time.
type fleet struct {
	now       time.Time
	register  *Register
	observers []*Observer
	crashes   int
}

func newFleet(observers int) *fleet {
	f := &fleet{now: start, register: NewRegister()}
	for range observers {
		f.observers = append(f.observers, NewObserver())
	}
	return f
}

// crash records the crash of a new upstream on a prompt at one of the observers.
func (f *fleet) crash(ids ...string) {
	f.crashes++
	f.observers[f.crashes%len(f.observers)].RecordCrash(Crash{
		Upstream: coltsidentity.Upstream(fmt.Sprint("u", f.crashes)), At: f.now, Parts: parts(ids...),
	})
}

// answer records an answer to a prompt at one of the observers.
func (f *fleet) answer(ids ...string) {
	f.observers[f.now.UnixMilli()%int64(len(f.observers))].RecordAnswer(parts(ids...), f.now)
}

// poll lets all observers exchange reports and verdicts with the register.
func (f *fleet) poll() {
	f.now = f.now.Add(pollPeriod)
	f.register.Sweep(f.now)
	for _, o := range f.observers {
		f.register.Receive(o.TakeReport(f.now), f.now)
		o.Apply(f.register.Verdict())
	}
}

// pass polls until a period has passed, calling each before each poll.
func (f *fleet) pass(period time.Duration, each func()) {
	for until := f.now.Add(period); f.now.Before(until); {
		each()
		f.poll()
	}
}

// crashRepeatedly records n crashes on prompts with the parts, period apart, and then passes time until the
// register has decided. Prompts with the sound parts are answered all the time.
func (f *fleet) crashRepeatedly(n int, period time.Duration, sound []string, ids ...string) {
	answerSound := func() { f.answer(sound...) }
	for range n {
		f.crash(ids...)
		f.pass(period, answerSound)
	}
	f.pass(time.Second, answerSound)
}

// fine are the parts of sound prompts that have nothing in common with others.
var fine = []string{"fine"}

func assertBlocked(t *testing.T, f *fleet, id string, want bool) {
	t.Helper()
	for i, o := range f.observers {
		var blocked *BlockedError
		assert.Equal(t, errors.As(o.Check(parts("other", id), f.now), &blocked), want, "part %s at observer %d", id, i)
	}
}

func TestBlocking(t *testing.T) {
	nothing := func() {}
	t.Run("the part that is never answered is blocked, those that come with it are not", func(t *testing.T) {
		f := newFleet(6)
		f.crashRepeatedly(4, 400*time.Millisecond, []string{"first", "fine"}, "first", "session", "dead")
		assertBlocked(t, f, "dead", true)
		assertBlocked(t, f, "session", false)
		assertBlocked(t, f, "first", false)
	})
	t.Run("within three seconds of the fifth crash, however the requests are spread", func(t *testing.T) {
		f := newFleet(95)
		for range 5 {
			f.crash("first", "dead")
			f.pass(pollPeriod, func() { f.answer("first") })
		}
		f.pass(2*time.Second, func() { f.answer("first") })
		assertBlocked(t, f, "dead", true)
	})
	t.Run("a part that was answered before it began to crash upstreams is blocked too", func(t *testing.T) {
		f := newFleet(3)
		f.pass(time.Second, func() { f.answer("first", "dead") })
		f.crashRepeatedly(4, 400*time.Millisecond, []string{"first"}, "first", "dead")
		assertBlocked(t, f, "dead", true)
		assertBlocked(t, f, "first", false)
	})
	t.Run("two parts that crash upstreams are both blocked", func(t *testing.T) {
		f := newFleet(3)
		for i := range 10 {
			f.crash("first", []string{"dead", "deadly"}[i%2])
			f.pass(200*time.Millisecond, func() { f.answer("first") })
		}
		f.pass(time.Second, func() { f.answer("first") })
		assertBlocked(t, f, "dead", true)
		assertBlocked(t, f, "deadly", true)
	})
	t.Run("a part in front of ever new ones is blocked", func(t *testing.T) {
		f := newFleet(3)
		for i := range 5 {
			f.crash("dead", fmt.Sprint("new-", i))
			f.pass(300*time.Millisecond, func() { f.answer("fine") })
		}
		f.pass(time.Second, func() { f.answer("fine") })
		assertBlocked(t, f, "dead", true)
	})
	t.Run("a request that crashes one upstream after the other counts for each", func(t *testing.T) {
		f := newFleet(1)
		for i := range 3 {
			f.observers[0].RecordCrash(Crash{
				Upstream: coltsidentity.Upstream(fmt.Sprint("u", i)), At: f.now.Add(time.Duration(i) * time.Millisecond),
				Parts: parts("dead"), Repeated: i > 0,
			})
		}
		f.pass(2*time.Second, func() { f.answer("fine") })
		assertBlocked(t, f, "dead", true)
	})
	t.Run("the processes that crashed on a blocked part are named, others are not", func(t *testing.T) {
		f := newFleet(3)
		f.crashRepeatedly(4, 400*time.Millisecond, fine, "dead")
		f.crash("other")
		f.pass(time.Second, func() { f.answer("fine") })
		assert.DeepEqual(t, f.register.Verdict().Explained, []coltsidentity.Upstream{"u1", "u2", "u3", "u4"})
	})
	t.Run("a block ends, and one more crash renews it", func(t *testing.T) {
		f := newFleet(1)
		f.crashRepeatedly(3, 300*time.Millisecond, fine, "dead")
		assertBlocked(t, f, "dead", true)
		f.pass(blockPeriod, nothing)
		assertBlocked(t, f, "dead", false)
		f.crash("dead")
		f.pass(time.Second, func() { f.answer("fine") })
		assertBlocked(t, f, "dead", true)
	})
}

func TestBystanders(t *testing.T) {
	t.Run("a loss of power of many upstreams blocks nothing", func(t *testing.T) {
		f := newFleet(6)
		f.pass(time.Second, func() { f.answer("popular") })
		for range 18 {
			f.crash("popular", "rare")
		}
		f.pass(5*time.Second, func() {})
		f.pass(2*time.Second, func() { f.answer("other") })
		assertBlocked(t, f, "popular", false)
		assertBlocked(t, f, "rare", false)
	})
	t.Run("upstreams that crash whatever they run block nothing", func(t *testing.T) {
		f := newFleet(6)
		f.pass(time.Second, func() { f.answer("popular") })
		f.pass(20*time.Second, func() { f.crash("popular") })
		assertBlocked(t, f, "popular", false)
	})
	t.Run("a part that is answered between crashes is not blocked", func(t *testing.T) {
		f := newFleet(6)
		for range 20 {
			f.crash("popular")
			f.pass(600*time.Millisecond, func() { f.answer("other") })
			f.answer("popular")
		}
		f.pass(time.Second, func() { f.answer("other") })
		assertBlocked(t, f, "popular", false)
	})
	t.Run("an answer lifts a block", func(t *testing.T) {
		f := newFleet(2)
		f.crashRepeatedly(3, 300*time.Millisecond, fine, "slow")
		assertBlocked(t, f, "slow", true)
		f.answer("slow")
		f.pass(time.Second, func() { f.answer("other") })
		assertBlocked(t, f, "slow", false)
	})
}

// The failure guarded against: upstreams crashed at each return, so no prompt was answered that could have told the
// harmful part from the others, and it was never found.
func TestOutage(t *testing.T) {
	crashAll := func(f *fleet) { f.pass(3*time.Second, func() { f.crash("popular", "dead") }) }
	outage := func() *fleet {
		f := newFleet(6)
		f.pass(time.Second, func() { f.answer("popular") })
		crashAll(f)
		return f
	}
	t.Run("a part without any answer is blocked, one that was answered before is not", func(t *testing.T) {
		f := outage()
		assertBlocked(t, f, "dead", true)
		assertBlocked(t, f, "popular", false)
		assert.Assert(t, len(f.register.Verdict().Explained) >= outageThreshold)
	})
	t.Run("it stays blocked after one more crash if the others are answered meanwhile", func(t *testing.T) {
		f := outage()
		f.pass(outageBlockPeriod, func() { f.answer("popular") })
		f.crash("popular", "dead")
		f.pass(time.Second, func() { f.answer("popular") })
		f.pass(2*outageBlockPeriod, func() { f.answer("popular") })
		assertBlocked(t, f, "dead", true)
	})
	t.Run("it is not blocked for long if upstreams crash whatever they run", func(t *testing.T) {
		f := outage()
		f.pass(outageBlockPeriod, func() { f.crash("popular") })
		assertBlocked(t, f, "dead", false)
	})
	t.Run("a loss of all upstreams in series blocks nothing for long", func(t *testing.T) {
		f := newFleet(6)
		f.pass(time.Second, func() { f.answer("popular") })
		for range 8 {
			f.crash("popular", "new")
			f.pass(500*time.Millisecond, func() {})
		}
		f.pass(outageBlockPeriod, func() {})
		assertBlocked(t, f, "new", false)
		assertBlocked(t, f, "popular", false)
	})
}

func TestNewLeader(t *testing.T) {
	t.Run("it learns of crashes that were reported to the one before", func(t *testing.T) {
		f := newFleet(3)
		for range 3 {
			f.crash("dead")
			f.pass(200*time.Millisecond, func() { f.answer("fine") })
		}
		f.register.Reset()
		for _, o := range f.observers {
			o.Forget()
		}
		f.pass(1200*time.Millisecond, func() { f.answer("fine") })
		assertBlocked(t, f, "dead", true)
	})
	t.Run("it keeps the blocks that are in force", func(t *testing.T) {
		f := newFleet(3)
		f.crashRepeatedly(3, 300*time.Millisecond, fine, "dead")
		f.register = NewRegister()
		f.pass(time.Minute, func() { f.answer("fine") })
		assertBlocked(t, f, "dead", true)
	})
}

func TestBounds(t *testing.T) {
	t.Run("parts beyond the bounds are not observed", func(t *testing.T) {
		long := make([]byte, maxIDBytes+1)
		many := make([]Part, 2*maxParts)
		for i := range many {
			many[i] = part(fmt.Sprint(i))
		}
		assert.Equal(t, len(Observable(parts("", string(long), "a\xff", "a"))), 1)
		assert.Equal(t, len(Observable(many)), maxParts)
	})
	t.Run("a verdict names no more parts than it may", func(t *testing.T) {
		f := newFleet(1)
		for i := range 2 * maxTold {
			for range 3 {
				f.crash(fmt.Sprint("p", i))
				f.now = f.now.Add(sameCause)
			}
			f.poll()
		}
		v := f.register.Verdict()
		assert.Assert(t, len(v.Watched) <= maxTold && len(v.Blocks) <= maxTold)
	})
}

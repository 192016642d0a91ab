package coltsweights

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsidentity"
)

var now = time.Unix(1_700_000_000, 0)

// runners returns n runners with version 1.
func runners(n int) []Runner {
	var all []Runner
	for i := range n {
		all = append(all, Runner{ID: coltsidentity.Upstream(fmt.Sprintf("r%02d", i)), Loaded: Weights{Model: "m", Number: 1}})
	}
	return all
}

func want(coltsidentity.Model) Weights { return Weights{Model: "m", Number: 2} }

// assertTasks asserts that a plan has n tasks, all of one kind and for version 2.
func assertTasks(t *testing.T, tasks []Task, n int, kind TaskKind) {
	t.Helper()
	assert.Equal(t, len(tasks), n)
	for _, task := range tasks {
		assert.Equal(t, task.Kind, kind)
		assert.Equal(t, task.Want, Weights{Model: "m", Number: 2})
	}
}

// answerAll gives the same status as the result of every query.
func answerAll(r *Rollout, tasks []Task, s RunnerStatus, at time.Time) {
	for _, task := range tasks {
		r.RecordStatus(task, s, nil, at)
	}
}

func has(n Number) []Weights { return []Weights{{Model: "m", Number: n}} }

func TestRollout(t *testing.T) {
	t.Run("a sixth of the runners is queried, then ordered", func(t *testing.T) {
		r := NewRollout()
		tasks := r.Plan(runners(18), want, 18, 1, now)
		assertTasks(t, tasks, 3, TaskQuery)
		assertTasks(t, r.Plan(runners(18), want, 18, 1, now), 0, TaskQuery)
		answerAll(r, tasks, RunnerStatus{Loaded: has(1), AcceptedOrders: 4}, now)
		orders := r.Plan(runners(18), want, 18, 1, now)
		assertTasks(t, orders, 3, TaskOrder)
		assert.Equal(t, orders[0].ExpectedOrders, uint64(4))
	})
	t.Run("a runner that has the version frees its slot for the next", func(t *testing.T) {
		r := NewRollout()
		tasks := r.Plan(runners(6), want, 6, 1, now)
		answerAll(r, tasks, RunnerStatus{Loaded: has(2)}, now)
		assertTasks(t, r.Plan(runners(6)[1:], want, 6, 1, now), 1, TaskQuery)
	})
	t.Run("a loading runner is queried again but not ordered again", func(t *testing.T) {
		r := NewRollout()
		answerAll(r, r.Plan(runners(1), want, 1, 1, now), RunnerStatus{Loaded: has(1)}, now)
		order := r.Plan(runners(1), want, 1, 1, now)
		assertTasks(t, order, 1, TaskOrder)
		r.RecordOrder(order[0], nil, now)
		assertTasks(t, r.Plan(runners(1), want, 1, 1, now), 0, TaskQuery)
		queries := r.Plan(runners(1), want, 1, 1, now.Add(firstQueryDelay))
		assertTasks(t, queries, 1, TaskQuery)
		answerAll(r, queries, RunnerStatus{Loaded: has(1), Loading: true}, now.Add(firstQueryDelay))
		assertTasks(t, r.Plan(runners(1), want, 1, 1, now.Add(firstQueryDelay+queryInterval)), 1, TaskQuery)
	})
	t.Run("a runner that does not answer an order frees its slot until it is retried", func(t *testing.T) {
		r := NewRollout()
		answerAll(r, r.Plan(runners(2), want, 2, 1, now), RunnerStatus{Loaded: has(1)}, now)
		order := r.Plan(runners(2), want, 2, 1, now)
		assertTasks(t, order, 1, TaskOrder)
		r.RecordOrder(order[0], errors.New("no answer"), now)
		next := r.Plan(runners(2), want, 2, 1, now)
		assertTasks(t, next, 1, TaskQuery)
		assert.Equal(t, next[0].Runner.ID, coltsidentity.Upstream("r01"))
	})
	t.Run("a runner that did not answer an order is queried before the next order", func(t *testing.T) {
		r := NewRollout()
		answerAll(r, r.Plan(runners(1), want, 1, 1, now), RunnerStatus{Loaded: has(1)}, now)
		order := r.Plan(runners(1), want, 1, 1, now)
		r.RecordOrder(order[0], errors.New("no answer"), now)
		assertTasks(t, r.Plan(runners(1), want, 1, 1, now.Add(retryDelay)), 1, TaskQuery)
	})
	t.Run("a leader whose fencing token was refused gives no more orders", func(t *testing.T) {
		r := NewRollout()
		answerAll(r, r.Plan(runners(1), want, 1, 3, now), RunnerStatus{Loaded: has(1)}, now)
		order := r.Plan(runners(1), want, 1, 3, now)
		r.RecordOrder(order[0], &FencedError{Runner: "r00", FencingToken: 3}, now)
		assertTasks(t, r.Plan(runners(1), want, 1, 3, now.Add(time.Minute)), 0, TaskQuery)
		assertTasks(t, r.Plan(runners(1), want, 1, 4, now.Add(time.Minute)), 1, TaskQuery)
	})
}

func TestAtOnce(t *testing.T) {
	for runners, limit := range map[int]int{1: 1, 9: 2, 18: 3, 60: 10, 90: 15} {
		t.Run(fmt.Sprint(runners, " runners"), func(t *testing.T) { assert.Equal(t, MaxConcurrentLoads(runners), limit) })
	}
}

func TestRegister(t *testing.T) {
	r := NewRegister()
	t.Run("versions only increase", func(t *testing.T) {
		assert.Assert(t, r.SetNamed(NamedVersion{Weights: Weights{Model: "m", Number: 2}}))
		assert.Assert(t, !r.SetNamed(NamedVersion{Weights: Weights{Model: "m", Number: 2}}))
		assert.Assert(t, !r.SetNamed(NamedVersion{Weights: Weights{Model: "m", Number: 1}}))
		assert.Equal(t, r.Wanted("m").Number, Number(2))
	})
	t.Run("the earliest known time of naming counts", func(t *testing.T) {
		r := NewRegister()
		named := NamedVersion{Weights: Weights{Model: "m", Number: 2}, NamedAt: now}
		r.SetNamed(named)
		named.NamedAt = now.Add(-time.Second)
		assert.Assert(t, !r.SetNamed(named))
		named.NamedAt = now.Add(time.Second)
		assert.Assert(t, !r.SetNamed(named))
		assert.Equal(t, r.Wanted("m").NamedAt, now.Add(-time.Second))
	})
	t.Run("older weights get no requests that could begin too late", func(t *testing.T) {
		r := NewRegister()
		r.SetNamed(NamedVersion{Weights: Weights{Model: "m", Number: 2}, NamedAt: now})
		for _, c := range []struct {
			grace, start, at time.Duration
			want             Number
		}{
			{0, time.Second, time.Hour, 0},
			{6 * time.Second, time.Second, 4999 * time.Millisecond, 0},
			{6 * time.Second, time.Second, 5 * time.Second, 2},
			{6 * time.Second, time.Minute, 4499 * time.Millisecond, 0},
			{6 * time.Second, time.Minute, 4500 * time.Millisecond, 2},
			{6 * time.Second, 0, 5999 * time.Millisecond, 0},
			{6 * time.Second, 0, 6 * time.Second, 2},
		} {
			assert.Equal(t, r.Required("m", Limit{GracePeriod: c.grace, StartWithin: c.start}, now.Add(c.at)), c.want, "%v", c)
		}
	})
	t.Run("the version at a time is the highest one named by then", func(t *testing.T) {
		r := NewRegister()
		for i := range 4 {
			r.SetNamed(NamedVersion{Weights: Weights{Model: "m", Number: Number(i + 2)}, NamedAt: now.Add(time.Duration(i) * time.Second)})
		}
		assert.Equal(t, r.NamedAsOf("m", now.Add(-1)), Number(0))
		assert.Equal(t, r.NamedAsOf("m", now), Number(2))
		assert.Equal(t, r.NamedAsOf("m", now.Add(2500*time.Millisecond)), Number(4))
		assert.Equal(t, r.NamedAsOf("m", now.Add(time.Minute)), Number(5))
		assert.Equal(t, r.NamedAsOf("other", now), Number(0))
	})
}

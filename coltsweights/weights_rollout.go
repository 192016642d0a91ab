package coltsweights

// Runs go on under the new version: to wait for their end would take a runner out for
// seconds, and docs/MEASUREMENTS.md says what both cost.
//
// A rollout brings runners to the named versions, so many at a time. It first asks a
// runner how it stands, because an order must name the number of orders that the
// runner has taken: an order that is held up on the way is then not carried out after
// a newer one.

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"coltsfootstall/coltsidentity"
)

const (
	// OrderTimeout bounds an order or a question from its sending to its answer.
	OrderTimeout = 500 * time.Millisecond
	// loadTime is the pause between an order and the first question after it, about
	// what a load takes; askEvery is the pause between the questions that follow.
	loadTime = 300 * time.Millisecond
	askEvery = 100 * time.Millisecond
	// retryAfter is the pause after an order or a question that failed.
	retryAfter = 700 * time.Millisecond
	// loadShare is the share of a model's runners that load at once: more would be
	// slower, and the others must carry the work.
	loadShare = 6
)

// FencingToken is the number of an order's holder; it rises with each holder.
type FencingToken uint64

// Runner is a runner as the registry knows it.
type Runner struct {
	ID   coltsidentity.Upstream
	Addr netip.AddrPort
	// Born tells its processes apart.
	Born time.Time
	Has  Weights
}

// RunnerStatus is how a runner says it stands.
type RunnerStatus struct {
	Has []Weights
	// Loading says that an order is being carried out.
	Loading bool
	// AcceptedOrders is the number of orders that it has taken.
	AcceptedOrders uint64
}

// number returns the version of a model, 0 if the runner lacks it.
func (s RunnerStatus) number(model coltsidentity.Model) Number {
	for _, w := range s.Has {
		if w.Model == model {
			return w.Number
		}
	}
	return 0
}

// TaskKind says what is to be done with a runner.
type TaskKind int

// The kinds of task.
const (
	// TaskAsk asks how the runner stands.
	TaskAsk TaskKind = iota
	// TaskOrder orders it to load a version.
	TaskOrder
)

// Task is one thing to do with one runner.
type Task struct {
	Kind   TaskKind
	Runner Runner
	Want   Weights
	Fence  FencingToken
	// ExpectedOrders is the number of orders that the runner must have taken before.
	ExpectedOrders uint64
	// Deadline is when the task is given up.
	Deadline time.Time
}

// FencedError reports that a runner has taken orders of a later holder.
type FencedError struct {
	Runner coltsidentity.Upstream
	Fence  FencingToken
}

// Error names the runner and the number.
func (e *FencedError) Error() string {
	return fmt.Sprintf("runner %s has taken orders of a holder after %d", e.Runner, e.Fence)
}

// phase is how far a runner has come.
type phase int

const (
	phaseUnknown phase = iota
	phaseReadyToOrder
	phaseLoading
)

// work is a runner that is being brought to a version.
type work struct {
	task    Task
	phase   phase
	orders  uint64
	waiting bool
	nextAt  time.Time
}

// Rollout plans tasks and keeps those under way. It is used by one goroutine.
type Rollout struct {
	works map[coltsidentity.Upstream]*work
	// fencedBy is the highest number at which a runner refused an order.
	fencedBy FencingToken
}

// NewRollout returns a rollout with nothing under way.
func NewRollout() *Rollout {
	return &Rollout{works: map[coltsidentity.Upstream]*work{}}
}

// Plan returns the tasks that are due. runners are those that lack the named version of
// their model, of sizes runners in all.
func (r *Rollout) Plan(behind []Runner, wanted func(coltsidentity.Model) Weights, sizes int, fence FencingToken, now time.Time) []Task {
	if fence <= r.fencedBy {
		return nil
	}
	r.drop(behind)
	slices.SortFunc(behind, func(a, b Runner) int { return cmp.Compare(a.ID, b.ID) })
	var tasks []Task
	for _, runner := range behind {
		w, known := r.works[runner.ID]
		if !known {
			w = &work{}
			r.works[runner.ID] = w
		}
		if w.waiting || now.Before(w.nextAt) || !w.holdsPlace() && r.places() >= AtOnce(sizes) {
			continue
		}
		w.waiting = true
		w.task = Task{
			Kind: TaskAsk, Runner: runner, Want: wanted(runner.Has.Model), Fence: fence, ExpectedOrders: w.orders, Deadline: now.Add(OrderTimeout),
		}
		if w.phase == phaseReadyToOrder {
			w.task.Kind = TaskOrder
		}
		tasks = append(tasks, w.task)
	}
	return tasks
}

// holdsPlace says whether a runner counts as one of those that load at once: it is being
// asked or ordered, or is loading, and not left alone after a failure.
func (w *work) holdsPlace() bool { return w.waiting || w.phase != phaseUnknown }

// places returns the number of runners that count as loading.
func (r *Rollout) places() int {
	n := 0
	for _, w := range r.works {
		if w.holdsPlace() {
			n++
		}
	}
	return n
}

// AtOnce returns how many of a number of runners load at once.
func AtOnce(runners int) int {
	return max(1, (runners+loadShare-1)/loadShare)
}

// drop forgets the runners that are no longer behind.
func (r *Rollout) drop(behind []Runner) {
	for id, w := range r.works {
		isBehind := slices.ContainsFunc(behind, func(b Runner) bool { return b.ID == id })
		if !isBehind && !w.waiting {
			delete(r.works, id)
		}
	}
}

// Ordered takes in how an order ended.
func (r *Rollout) Ordered(t Task, err error, now time.Time) {
	w, known := r.works[t.Runner.ID]
	if !known {
		return
	}
	w.waiting = false
	var fenced *FencedError
	if errors.As(err, &fenced) {
		r.fencedBy = max(r.fencedBy, fenced.Fence)
	}
	// Whatever was answered, how the runner stands says what came of it.
	w.phase = phaseLoading
	w.nextAt = now.Add(loadTime)
	if err != nil {
		w.phase = phaseUnknown
		w.nextAt = now.Add(retryAfter)
	}
}

// Stands takes in how a runner says it stands, and says whether it has the version.
func (r *Rollout) Stands(t Task, s RunnerStatus, err error, now time.Time) bool {
	w, known := r.works[t.Runner.ID]
	if !known {
		return false
	}
	w.waiting = false
	if err != nil {
		w.phase = phaseUnknown
		w.nextAt = now.Add(retryAfter)
		return false
	}
	w.orders = s.AcceptedOrders
	switch {
	case s.number(t.Want.Model) >= t.Want.Number:
		delete(r.works, t.Runner.ID)
		return true
	case s.Loading:
		w.phase = phaseLoading
		w.nextAt = now.Add(askEvery)
	default:
		w.phase = phaseReadyToOrder
		w.nextAt = now
	}
	return false
}

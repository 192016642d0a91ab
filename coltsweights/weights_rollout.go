package coltsweights

// A rollout has runners load the named versions, a limited number of runners at a time. It
// first queries the status of a runner, because an order must state how many orders the
// runner has accepted so far. This prevents an order that was delayed in the network from
// being carried out after a newer one.
//
// Requests that are running on a runner continue with the new version. Waiting for them to
// end would take the runner out of service for seconds; docs/MEASUREMENTS.md compares the
// cost of both.

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
	// TaskTimeout is the longest time that an order or a status query may take, from
	// sending it to its response.
	TaskTimeout = 500 * time.Millisecond
	// firstQueryDelay is the time between an order and the first status query after it,
	// about as long as loading takes.
	firstQueryDelay = 300 * time.Millisecond
	// queryInterval is the time between the later status queries.
	queryInterval = 100 * time.Millisecond
	// retryDelay is the time before a runner is queried again after a failed order or query.
	retryDelay = 700 * time.Millisecond
	// runnersPerLoad limits the concurrent loads to one in six runners. If more runners
	// loaded at the same time, each load would take longer, and the other runners have to
	// serve the requests meanwhile.
	runnersPerLoad = 6
)

// FencingToken is the number of the leader that gives an order. It increases with each new
// leader.
type FencingToken uint64

// Runner is a model runner as listed in the registry.
type Runner struct {
	ID   coltsidentity.Upstream
	Addr netip.AddrPort
	// StartedAt is the start time of its process, which tells successive processes apart.
	StartedAt time.Time
	// Loaded is the version that it has loaded.
	Loaded Weights
}

// RunnerStatus is the status that a runner reports.
type RunnerStatus struct {
	// Loaded lists the versions that the runner has loaded.
	Loaded []Weights
	// Loading is true while the runner is carrying out an order to load a version.
	Loading bool
	// AcceptedOrders is the number of orders that the runner has accepted.
	AcceptedOrders uint64
}

// number returns the loaded version of a model, or 0 if the runner does not have the model.
func (s RunnerStatus) number(model coltsidentity.Model) Number {
	for _, w := range s.Loaded {
		if w.Model == model {
			return w.Number
		}
	}
	return 0
}

// TaskKind is the kind of request that a task sends to a runner.
type TaskKind int

// The kinds of task.
const (
	// TaskQuery queries the status of the runner.
	TaskQuery TaskKind = iota
	// TaskOrder orders the runner to load a version.
	TaskOrder
)

// Task is one request to be sent to one runner.
type Task struct {
	Kind   TaskKind
	Runner Runner
	// Want is the version that the runner is to load.
	Want Weights
	// FencingToken is the fencing token of the leader that plans the task.
	FencingToken FencingToken
	// ExpectedOrders is the number of orders that the runner must have accepted before this one.
	ExpectedOrders uint64
	// Deadline is when the request times out.
	Deadline time.Time
}

// FencedError reports that a runner refused an order because it has accepted orders of a
// later leader.
type FencedError struct {
	Runner coltsidentity.Upstream
	// FencingToken is the fencing token of the refused order.
	FencingToken FencingToken
}

// Error returns a message with the runner and the refused fencing token.
func (e *FencedError) Error() string {
	return fmt.Sprintf("runner %s has accepted an order with a fencing token above %d", e.Runner, e.FencingToken)
}

// phase is the progress of a runner towards the named version.
type phase int

const (
	// phaseUnknown means that the status is not known, at first and after a failure.
	phaseUnknown phase = iota
	// phaseReadyToOrder means that the runner was queried and is not loading.
	phaseReadyToOrder
	phaseLoading
)

// runnerState is a runner that has yet to load the named version.
type runnerState struct {
	// task is the most recently planned task.
	task  Task
	phase phase
	// orders is the number of orders that the runner had accepted when it was last queried.
	orders uint64
	// taskPending is true while the result of the task is outstanding.
	taskPending bool
	// nextTaskAt is the earliest time of the next task.
	nextTaskAt time.Time
}

// Rollout plans tasks and records their results. It is not safe for concurrent use.
type Rollout struct {
	runners map[coltsidentity.Upstream]*runnerState
	// highestFenced is the highest fencing token with which a runner refused an order.
	highestFenced FencingToken
}

// NewRollout returns a rollout without runners.
func NewRollout() *Rollout {
	return &Rollout{runners: map[coltsidentity.Upstream]*runnerState{}}
}

// Plan returns the tasks that are due. behind lists the runners that lack the named version
// of their model; Plan sorts it. total is the number of all runners. token is the fencing
// token of the current leader; Plan returns no tasks once an order with this token, or a
// higher one, was refused.
func (r *Rollout) Plan(
	behind []Runner, wanted func(coltsidentity.Model) Weights, total int, token FencingToken, now time.Time,
) []Task {
	if token <= r.highestFenced {
		return nil
	}
	r.forgetUpToDate(behind)
	slices.SortFunc(behind, func(a, b Runner) int { return cmp.Compare(a.ID, b.ID) })
	var tasks []Task
	for _, runner := range behind {
		state, known := r.runners[runner.ID]
		if !known {
			state = &runnerState{}
			r.runners[runner.ID] = state
		}
		if state.taskPending || now.Before(state.nextTaskAt) ||
			!state.holdsSlot() && r.slotsInUse() >= MaxConcurrentLoads(total) {
			continue
		}
		state.taskPending = true
		state.task = Task{
			Kind: TaskQuery, Runner: runner, Want: wanted(runner.Loaded.Model), FencingToken: token,
			ExpectedOrders: state.orders, Deadline: now.Add(TaskTimeout),
		}
		if state.phase == phaseReadyToOrder {
			state.task.Kind = TaskOrder
		}
		tasks = append(tasks, state.task)
	}
	return tasks
}

// holdsSlot reports whether a runner holds one of the slots that limit the concurrent loads.
// It holds one from its first query until it has the version, except while it waits for a
// retry after a failure.
func (s *runnerState) holdsSlot() bool { return s.taskPending || s.phase != phaseUnknown }

// slotsInUse returns the number of runners that hold a slot.
func (r *Rollout) slotsInUse() int {
	n := 0
	for _, state := range r.runners {
		if state.holdsSlot() {
			n++
		}
	}
	return n
}

// MaxConcurrentLoads returns how many runners may load at the same time, at least one, if
// there are the given number of runners.
func MaxConcurrentLoads(runners int) int {
	return max(1, (runners+runnersPerLoad-1)/runnersPerLoad)
}

// forgetUpToDate removes the runners that are no longer behind and have no pending task.
func (r *Rollout) forgetUpToDate(behind []Runner) {
	for id, state := range r.runners {
		isBehind := slices.ContainsFunc(behind, func(b Runner) bool { return b.ID == id })
		if !isBehind && !state.taskPending {
			delete(r.runners, id)
		}
	}
}

// RecordOrder records the result of an order.
func (r *Rollout) RecordOrder(t Task, err error, now time.Time) {
	state, known := r.runners[t.Runner.ID]
	if !known {
		return
	}
	state.taskPending = false
	var fenced *FencedError
	if errors.As(err, &fenced) {
		r.highestFenced = max(r.highestFenced, fenced.FencingToken)
	}
	// The response does not show whether the order was carried out; the next status query
	// does.
	state.phase = phaseLoading
	state.nextTaskAt = now.Add(firstQueryDelay)
	if err != nil {
		state.phase = phaseUnknown
		state.nextTaskAt = now.Add(retryDelay)
	}
}

// RecordStatus records the result of a status query and reports whether the runner has the
// version.
func (r *Rollout) RecordStatus(t Task, s RunnerStatus, err error, now time.Time) bool {
	state, known := r.runners[t.Runner.ID]
	if !known {
		return false
	}
	state.taskPending = false
	if err != nil {
		state.phase = phaseUnknown
		state.nextTaskAt = now.Add(retryDelay)
		return false
	}
	state.orders = s.AcceptedOrders
	switch {
	case s.number(t.Want.Model) >= t.Want.Number:
		delete(r.runners, t.Runner.ID)
		return true
	case s.Loading:
		state.phase = phaseLoading
		state.nextTaskAt = now.Add(queryInterval)
	default:
		state.phase = phaseReadyToOrder
		state.nextTaskAt = now
	}
	return false
}

package coltscontrol

// The leader orders runners to load the named weights versions. Right before each order it confirms
// its leadership with a quorum. Each order carries the leader's term as the fencing token. A new
// leader waits until the orders of its predecessor have been answered or have timed out.

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsweights"
)

const (
	// rolloutPeriod is how often the leader compares runners with the named versions while
	// some runners are outdated, idlePeriod how often it does so otherwise.
	rolloutPeriod = 50 * time.Millisecond
	idlePeriod    = 250 * time.Millisecond
	// rolloutWorkers is the greatest number of concurrent tasks.
	rolloutWorkers = 32
)

// Runners holds the functions that call model runners. Weights are rolled out only if both are set.
type Runners struct {
	// Query queries a runner's weights and accepted orders.
	Query func(ctx context.Context, t coltsweights.Task) (coltsweights.RunnerStatus, error)
	// Order orders a runner to load a version. It returns a FencedError if the runner has
	// accepted an order with a higher fencing token.
	Order func(ctx context.Context, t coltsweights.Task, holder coltsidentity.Instance) error
}

// weightsLoop rolls out weights while this instance leads.
type weightsLoop struct {
	c       *Control
	rollout *coltsweights.Rollout
	pool    pond.Pool
	results chan taskResult
}

// taskResult is the result of a task. status is set only for a successful query.
type taskResult struct {
	task   coltsweights.Task
	status coltsweights.RunnerStatus
	err    error
}

// rollOutWeights makes runners load the named weights versions, until ctx ends.
func (c *Control) rollOutWeights(ctx context.Context) {
	l := &weightsLoop{
		c: c, rollout: coltsweights.NewRollout(),
		pool: pond.NewPool(rolloutWorkers), results: make(chan taskResult, rolloutWorkers),
	}
	defer l.pool.StopAndWait()
	timer := time.NewTimer(idlePeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(l.plan(ctx))
		case r := <-l.results:
			l.handleResult(r)
		}
	}
}

// plan starts the tasks that are due and returns the delay until the next call.
func (l *weightsLoop) plan(ctx context.Context) time.Duration {
	v := l.c.driver.view.Load()
	if !v.isLeader {
		return idlePeriod
	}
	now := l.c.cfg.Now()
	outdated, fleetSize := l.outdatedRunners()
	if len(outdated) == 0 {
		return idlePeriod
	}
	if now.Before(v.leaderSince.Add(l.c.settings.LoadOrderDelay)) {
		return rolloutPeriod
	}
	for _, task := range l.rollout.Plan(outdated, l.namedVersion, fleetSize, coltsweights.FencingToken(v.term), now) {
		l.pool.Submit(func() { l.results <- l.runTask(ctx, task) })
	}
	return rolloutPeriod
}

// namedVersion returns the weights version that is named for a model.
func (l *weightsLoop) namedVersion(model coltsidentity.Model) coltsweights.Weights {
	return l.c.machine.Weights.Wanted(model).Weights
}

// outdatedRunners returns the ready runners that have an older weights version than the one named
// for the model, and the number of ready runners that have weights of any model.
func (l *weightsLoop) outdatedRunners() ([]coltsweights.Runner, int) {
	entries, _ := l.c.registry.ChangedSince(0)
	var outdated []coltsweights.Runner
	fleetSize := 0
	for _, e := range entries {
		u := e.Upstream
		if e.Silent || u.State != coltsregistry.StateReady || len(u.Weights) == 0 {
			continue
		}
		fleetSize++
		for _, loaded := range u.Weights {
			if loaded.Number < l.namedVersion(loaded.Model).Number {
				outdated = append(outdated, coltsweights.Runner{ID: u.ID, Addr: u.Addr, StartedAt: u.StartedAt, Loaded: loaded})
				break
			}
		}
	}
	return outdated, fleetSize
}

// runTask sends a query or an order to its runner. An order is sent only after a quorum has confirmed
// that this instance leads.
func (l *weightsLoop) runTask(ctx context.Context, t coltsweights.Task) (r taskResult) {
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	r.task = t
	// A task without a result would keep its runner from getting any other.
	defer func() {
		l.c.log.HandlePanic(recover(), coltslog.Fields{"upstream": t.Runner.ID}, func() {
			l.c.CountPanic()
			r.err = errors.New("an unexpected error")
		})
	}()
	if t.Kind == coltsweights.TaskQuery {
		r.status, r.err = l.c.cfg.Runners.Query(ctx, t)
		return r
	}
	if r.err = l.c.driver.barrier(ctx); r.err == nil {
		r.err = l.c.cfg.Runners.Order(ctx, t, l.c.id())
	}
	return r
}

func (l *weightsLoop) handleResult(r taskResult) {
	now := l.c.cfg.Now()
	fields := coltslog.Fields{
		"upstream": r.task.Runner.ID, "model": r.task.Want.Model, "number": r.task.Want.Number,
		"had": r.task.Runner.Loaded.Number, "fence": r.task.FencingToken,
	}
	if r.err != nil {
		fields["error"] = r.err
		l.c.countUnreadable(r.err)
	}
	if r.task.Kind == coltsweights.TaskOrder {
		l.rollout.RecordOrder(r.task, r.err, now)
		fields["orders"] = r.task.ExpectedOrders
		l.c.log.Info("A runner was ordered to load weights.", fields)
		l.setLoading(r.task, r.err == nil)
		return
	}
	if !l.rollout.RecordStatus(r.task, r.status, r.err, now) {
		if r.err != nil {
			l.c.log.Warn("A runner's weights could not be queried.", fields)
		}
		l.setLoading(r.task, r.status.Loading)
		return
	}
	l.c.log.Info("A runner has loaded the named weights.", fields)
	l.c.registry.SetLoaded(r.task.Runner.ID, r.task.Runner.StartedAt, r.task.Want)
	l.setLoading(r.task, false)
	l.c.watchChanged.Broadcast()
}

// setLoading records in the registry whether a runner is loading weights, so that entries send
// requests to other runners meanwhile.
func (l *weightsLoop) setLoading(t coltsweights.Task, loading bool) {
	if l.c.registry.SetLoading(t.Runner.ID, t.Runner.StartedAt, loading) {
		l.c.watchChanged.Broadcast()
	}
}

package coltscontrol

// The leader brings runners to the named weight versions. Each order is sent right behind
// a round with a quorum and carries the leader's term as fencing token; a new leader waits
// until the orders of the one before have been answered or given up.

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsweights"
)

const (
	// rolloutPeriod is how often the leader compares runners with the named versions
	// while some are behind; idlePeriod while none is.
	rolloutPeriod = 50 * time.Millisecond
	idlePeriod    = 250 * time.Millisecond
	// rolloutWorkers bounds the tasks that are carried out at once.
	rolloutWorkers = 32
)

// Runners speaks to model runners. Without its functions no weights are rolled out.
type Runners struct {
	// Ask asks a runner how it stands.
	Ask func(ctx context.Context, t coltsweights.Task) (coltsweights.RunnerStatus, error)
	// Order orders a runner to load a version. It returns a FencedError if the runner
	// has taken orders of a later holder.
	Order func(ctx context.Context, t coltsweights.Task, holder coltsidentity.Instance) error
}

// weightsLoop rolls weights out.
type weightsLoop struct {
	c       *Control
	rollout *coltsweights.Rollout
	pool    pond.Pool
	ended   chan endedTask
}

// endedTask is a task that was carried out or failed.
type endedTask struct {
	task     coltsweights.Task
	standing coltsweights.RunnerStatus
	err      error
}

// rollOutWeights keeps runners at the named versions until ctx ends.
func (c *Control) rollOutWeights(ctx context.Context) {
	l := &weightsLoop{
		c: c, rollout: coltsweights.NewRollout(),
		pool: pond.NewPool(rolloutWorkers), ended: make(chan endedTask, rolloutWorkers),
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
		case e := <-l.ended:
			l.end(e)
		}
	}
}

// plan begins the tasks that are due and returns when to look again.
func (l *weightsLoop) plan(ctx context.Context) time.Duration {
	v := l.c.driver.view.Load()
	if !v.leads {
		return idlePeriod
	}
	now := l.c.cfg.Now()
	behind, sizes := l.behind()
	if len(behind) == 0 {
		return idlePeriod
	}
	if now.Before(v.leadsSince.Add(l.c.settings.OrderWait)) {
		return rolloutPeriod
	}
	for _, task := range l.rollout.Plan(behind, l.wanted, sizes, coltsweights.FencingToken(v.term), now) {
		l.pool.Submit(func() { l.ended <- l.carryOut(ctx, task) })
	}
	return rolloutPeriod
}

// wanted is the named version of a model.
func (l *weightsLoop) wanted(model coltsidentity.Model) coltsweights.Weights {
	return l.c.machine.Weights.Wanted(model).Weights
}

// behind returns the runners that lack the named version of a model, and the number of
// runners that have any model.
func (l *weightsLoop) behind() ([]coltsweights.Runner, int) {
	entries, _ := l.c.registry.ChangedSince(0)
	var behind []coltsweights.Runner
	sizes := 0
	for _, e := range entries {
		u := e.Upstream
		if e.Silent || u.State != coltsregistry.StateReady || len(u.Weights) == 0 {
			continue
		}
		sizes++
		for _, has := range u.Weights {
			if has.Number < l.wanted(has.Model).Number {
				behind = append(behind, coltsweights.Runner{ID: u.ID, Addr: u.Addr, Born: u.StartedAt, Loaded: has})
				break
			}
		}
	}
	return behind, sizes
}

// carryOut carries a task out.
func (l *weightsLoop) carryOut(ctx context.Context, t coltsweights.Task) endedTask {
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	e := endedTask{task: t}
	if t.Kind == coltsweights.TaskQuery {
		e.standing, e.err = l.c.cfg.Runners.Ask(ctx, t)
		return e
	}
	if e.err = l.c.driver.barrier(ctx); e.err == nil {
		e.err = l.c.cfg.Runners.Order(ctx, t, l.c.id())
	}
	return e
}

func (l *weightsLoop) end(e endedTask) {
	now := l.c.cfg.Now()
	fields := coltslog.Fields{
		"upstream": e.task.Runner.ID, "model": e.task.Want.Model, "number": e.task.Want.Number,
		"had": e.task.Runner.Loaded.Number, "fence": e.task.Fence,
	}
	if e.err != nil {
		fields["error"] = e.err
	}
	if e.task.Kind == coltsweights.TaskOrder {
		l.rollout.RecordOrder(e.task, e.err, now)
		fields["orders"] = e.task.ExpectedOrders
		l.c.log.Info("A runner was ordered to load weights.", fields)
		l.setLoading(e.task, e.err == nil)
		return
	}
	if !l.rollout.RecordStatus(e.task, e.standing, e.err, now) {
		if e.err != nil {
			l.c.log.Warn("A runner does not say how it stands.", fields)
		}
		l.setLoading(e.task, e.standing.Loading)
		return
	}
	l.c.log.Info("A runner has the named weights.", fields)
	l.c.registry.Loaded(e.task.Runner.ID, e.task.Runner.Born, e.task.Want)
	l.setLoading(e.task, false)
	l.c.news.Broadcast()
}

// setLoading tells the entries whether a runner loads, so that they send elsewhere.
func (l *weightsLoop) setLoading(t coltsweights.Task, loading bool) {
	if l.c.registry.SetLoading(t.Runner.ID, t.Runner.Born, loading) {
		l.c.news.Broadcast()
	}
}

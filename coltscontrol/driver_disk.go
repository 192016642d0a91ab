package coltscontrol

// While the disk refuses writes, the driver keeps the output that it could not persist and tries again. The
// group sees an instance that is silent: nothing that follows from the output is sent, and no message is
// processed. So the replica needs no repair when the disk accepts writes again.

import (
	"context"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsreplica"
)

const (
	// diskRetryPeriod is how often a disk that refuses writes is tried again.
	diskRetryPeriod = 100 * time.Millisecond
	// diskReminderPeriod is how often the log repeats that the disk refuses writes.
	diskReminderPeriod = 30 * time.Second
	// leaderSilence is the time without a message from the leader after which an instance that takes no
	// part in the group forwards no calls to it.
	leaderSilence = 2 * electionTimeout
)

// DiskError reports that an instance carries out no calls because its disk refuses writes.
type DiskError struct {
	Cause error
}

// Error returns the cause.
func (e *DiskError) Error() string { return "the disk refuses writes: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DiskError) Unwrap() error { return e.Cause }

// persist makes an output durable, and waits while the disk refuses that. It returns an error only if ctx
// ends before.
func (d *replicaDriver) persist(ctx context.Context, out *coltsreplica.Output) error {
	err := d.store.persist(*out)
	if err == nil {
		return nil
	}
	w := &diskWait{d: d, since: d.c.cfg.Now()}
	w.begin(err)
	if err := w.run(ctx, *out); err != nil {
		return err
	}
	w.end()
	// The group has gone on meanwhile, and lost messages are made up for.
	out.Messages = nil
	return nil
}

// diskWait is the time in which the disk refuses writes.
type diskWait struct {
	d     *replicaDriver
	since time.Time
	// cause is why the last write failed.
	cause error
	// leader is the leader as known from the messages that are not processed, heardAt when the last of them
	// came.
	leader  coltsidentity.Instance
	heardAt time.Time
}

// begin fails all pending calls and publishes that this instance takes no part in the group.
func (w *diskWait) begin(err error) {
	w.cause = err
	w.logRefusal()
	w.d.c.metrics.Add(coltsmetric.DiskFailures, 1)
	w.d.c.metrics.Put(coltsmetric.DiskRefuses, 1)
	w.d.failPending(&DiskError{Cause: err})
	w.publish()
}

func (w *diskWait) logRefusal() {
	w.d.c.log.Error("The disk refuses writes; until it accepts them this instance takes no part in the group and acknowledges nothing.",
		coltslog.Fields{"error": w.cause, "since-ms": w.d.c.cfg.Now().Sub(w.since).Milliseconds()})
}

// run tries to persist an output until that succeeds. It returns an error if ctx ends before.
func (w *diskWait) run(ctx context.Context, out coltsreplica.Output) error {
	retry := time.NewTicker(diskRetryPeriod)
	defer retry.Stop()
	reminder := time.NewTicker(diskReminderPeriod)
	defer reminder.Stop()
	for {
		select {
		case <-ctx.Done():
			return errShuttingDown
		case <-retry.C:
			if w.cause = w.d.store.persist(out); w.cause == nil {
				return nil
			}
			w.forgetSilentLeader()
		case <-reminder.C:
			w.logRefusal()
		case messages := <-w.d.incoming:
			w.recordLeader(messages)
		case p := <-w.d.proposals:
			p.err = &DiskError{Cause: w.cause}
			close(p.done)
		case r := <-w.d.reads:
			r.err = &DiskError{Cause: w.cause}
			close(r.done)
		case ch := <-w.d.changes:
			ch.err = &DiskError{Cause: w.cause}
			close(ch.done)
		}
	}
}

// recordLeader takes from messages who leads the group, so that calls can be forwarded there.
func (w *diskWait) recordLeader(messages []coltsreplica.Message) {
	for _, m := range messages {
		isLeader := m.Kind == coltsreplica.MessageHeartbeat || m.Kind == coltsreplica.MessageAppend || m.Kind == coltsreplica.MessageSnapshot
		if !isLeader || m.Term < w.d.replica.Term() {
			continue
		}
		w.heardAt = w.d.c.cfg.Now()
		if w.leader != m.From {
			w.leader = m.From
			w.publish()
		}
	}
}

func (w *diskWait) forgetSilentLeader() {
	if w.leader != "" && w.d.c.cfg.Now().After(w.heardAt.Add(leaderSilence)) {
		w.leader = ""
		w.publish()
	}
}

// publish publishes a view in which this instance neither leads nor has a recent state.
func (w *diskWait) publish() {
	v := *w.d.view.Load()
	v.diskFailed, v.isLeader, v.leader = true, false, w.leader
	v.freshUntil, v.leaseUntil, v.confirmedUntil = time.Time{}, time.Time{}, time.Time{}
	w.d.view.Store(&v)
	w.d.c.leaderChanged.Broadcast()
	w.d.c.watchChanged.Broadcast()
}

// end lets this instance take part in the group again, as a follower.
func (w *diskWait) end() {
	now := w.d.c.cfg.Now()
	w.d.replica.StepDown(now)
	w.d.c.metrics.Put(coltsmetric.DiskRefuses, 0)
	w.d.c.log.Info("The disk accepts writes again.", coltslog.Fields{"after-ms": now.Sub(w.since).Milliseconds()})
}

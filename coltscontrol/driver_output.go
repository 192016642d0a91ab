package coltscontrol

// Carrying out what the replica asks for, in the order that its contract gives:
// persist, send, apply, answer.

import (
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire"
)

// carryOutAll does what the replica asks for until it asks for nothing.
func (d *replicaDriver) carryOutAll() error {
	led := d.view.Load().leads
	for {
		out := d.replica.Take()
		if out.Empty() {
			break
		}
		if err := d.carryOut(out); err != nil {
			return err
		}
	}
	if led && d.replica.Role() != coltsreplica.RoleLeader {
		d.failAll(errDeposed)
	}
	d.snapshot()
	d.publish()
	return nil
}

func (d *replicaDriver) carryOut(out coltsreplica.Output) error {
	d.send(out.Early)
	if err := d.store.persist(out); err != nil {
		return err
	}
	if out.HardState != nil {
		d.hard = *out.HardState
	}
	if n := len(out.Entries); n > 0 {
		d.replica.Persisted(out.Entries[n-1].Index, out.Entries[n-1].Term)
	}
	d.send(out.Messages)
	before, routes := d.c.Revision(), d.c.machine.Routes().Version
	if out.Install != nil {
		if err := d.importState(*out.Install); err != nil {
			return err
		}
		d.c.log.Info("Took over a snapshot.", coltslog.Fields{"index": out.Install.Index})
	}
	for _, e := range out.Committed {
		if err := d.apply(e); err != nil {
			return err
		}
	}
	d.answerReads(out.Reads)
	d.revise(before)
	d.reviseRoutes(routes)
	return nil
}

func (d *replicaDriver) send(messages []coltsreplica.Message) {
	for _, m := range messages {
		if other, known := d.others.find(m.To); known {
			other.send(m)
		}
	}
}

// apply carries out a committed entry and wakes whoever waits for it.
func (d *replicaDriver) apply(e coltsreplica.Entry) error {
	d.applied = e.Index
	var result coltsstate.Result
	if e.Kind == coltsreplica.EntryCommand {
		command, err := coltswire.UnmarshalCommand(e.Data)
		if err != nil {
			return errors.Wrapf(err, "entry %d", e.Index)
		}
		d.appliedBytes += len(e.Data)
		result = d.c.machine.Apply(command)
		d.c.metrics.Add(coltsmetric.Commands, 1)
	}
	p, waits := d.waiting[e.Index]
	if !waits {
		return nil
	}
	delete(d.waiting, e.Index)
	p.result = result
	if p.term != e.Term {
		p.err = errDeposed
	}
	close(p.done)
	return nil
}

// answerReads wakes the reads that are confirmed. What they need is applied
// already, because committed entries are applied before.
func (d *replicaDriver) answerReads(reads []coltsreplica.ReadBarrier) {
	for _, b := range reads {
		r, waits := d.barriers[b.Token]
		if !waits {
			continue
		}
		delete(d.barriers, b.Token)
		if b.Failed {
			r.err = errDeposed
		}
		close(r.done)
	}
}

// failAll ends every wait.
func (d *replicaDriver) failAll(err error) {
	for index, p := range d.waiting {
		delete(d.waiting, index)
		p.err = err
		close(p.done)
	}
	for token, r := range d.barriers {
		delete(d.barriers, token)
		r.err = err
		close(r.done)
	}
}

// revise wakes those that wait for a newer document.
func (d *replicaDriver) revise(before coltsdocument.Revision) {
	now := d.c.Revision()
	if now == before {
		return
	}
	d.c.metrics.Put(coltsmetric.Revision, int64(now))
	d.c.revised.Broadcast()
}

// reviseRoutes wakes those that wait for a newer route table or weight version.
func (d *replicaDriver) reviseRoutes(before coltsroute.Version) {
	text := d.c.machine.Routes()
	if text.Version != before {
		d.c.routes.Store(&text)
		d.c.log.Info("A route table is in force.", coltslog.Fields{"version": text.Version, "before": before})
	}
	if _, revision := d.c.machine.Weights.Newest(); text.Version != before || revision != d.weightsRevision {
		d.weightsRevision = revision
		d.c.news.Broadcast()
	}
}

// breakDown ends this replica's part after its disk has failed.
func (d *replicaDriver) breakDown(err error) {
	d.c.log.Error("The disk failed; this instance takes no more part and acknowledges nothing.", coltslog.Fields{"error": err})
	d.failAll(err)
	v := *d.view.Load()
	v.broken, v.leads, v.leader, v.inTouchUntil = true, false, "", time.Time{}
	d.view.Store(&v)
	close(d.brokeDown)
}

// publish lets other goroutines know what the replica knows.
func (d *replicaDriver) publish() {
	now := d.c.cfg.Now()
	d.c.metrics.Put(coltsmetric.Syncs, int64(d.store.journal.Stats().Syncs))
	v := &replicaView{
		leader:        d.replica.Leader(),
		leads:         d.replica.Role() == coltsreplica.RoleLeader,
		term:          d.replica.Term(),
		applied:       d.applied,
		inTouchUntil:  d.replica.InTouchUntil(now),
		leaseUntil:    d.replica.LeaseUntil(),
		configuration: d.replica.Configuration(),
	}
	before := d.view.Load()
	v.leadsSince = now
	if before != nil && before.leads && v.leads && before.term == v.term {
		v.leadsSince = before.leadsSince
	}
	d.view.Store(v)
	if before != nil && before.leader != v.leader && v.leader != "" {
		d.c.log.Info("A leader is known.", coltslog.Fields{"leader": v.leader, "term": v.term})
	}
	if before != nil && (before.leader != v.leader || before.leads != v.leads) {
		d.c.led.Broadcast()
	}
}

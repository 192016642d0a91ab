package coltsgateway

// Applies the evacuations of data centres that control reports. Control instances may be behind each
// other, so only a higher revision than the known one counts, whichever instance it comes from.

import (
	"time"

	"coltsfootstall/coltsevacuation"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

// applyEvacuations applies the evacuations in a reply if they are newer than the known ones.
func (w *controlWatcher) applyEvacuations(reply *coltspb.WatchReply, now time.Time) {
	state := coltswire.DecodeEvacuationsWithAges(reply.GetEvacuations(), now).KeepTimes(w.evacuations)
	if state.Revision <= w.evacuations.Revision {
		return
	}
	changes := coltsevacuation.ChangesBetween(w.evacuations, state, now)
	evacuated := state.Evacuated()
	// What the end of an evacuation limits must be in force before the upstreams are chosen again.
	for _, e := range changes.Ended {
		w.applyEvacuationEnd(e.DataCentre, e.ChangedAt, now)
	}
	w.g.balancer.SetEvacuations(evacuated)
	w.evacuations = state
	for _, dc := range changes.Begun {
		w.g.log.Info("A data centre is evacuated.", coltslog.Fields{
			"data-centre": dc, "revision": state.Revision, "source": reply.GetSource(),
		})
	}
	w.g.metrics.Put(coltsmetric.EvacuatedDataCentres, int64(len(evacuated)))
	// Requests that wait for room are refused now, or find the upstreams that are in use again.
	w.g.capacityFreed.Broadcast()
}

// applyEvacuationEnd handles the end of an evacuation, which took effect a time ago: the upstreams may have
// become cold shortly before. It is called once for each end, also for those that control had before this
// instance started.
func (w *controlWatcher) applyEvacuationEnd(dc coltsidentity.DataCentre, endedAt, now time.Time) {
	w.g.balancer.MarkCold(dc, endedAt)
	w.g.log.Info("The evacuation of a data centre has ended.", coltslog.Fields{
		"data-centre": dc, "ended-ago-ms": now.Sub(endedAt).Milliseconds(),
	})
}

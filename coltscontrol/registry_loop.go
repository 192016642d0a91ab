package coltscontrol

// The leader maintains the registry of upstreams. The other instances mirror it, so that a new leader
// starts with its predecessor's entries. Reports don't go through the replicated log, because each
// upstream reports about once a second; departures do.

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsregistry"
	"coltsfootstall/coltsstore"
	"coltsfootstall/coltsweights"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

const (
	// sweepPeriod is how often the leader checks for upstreams that have stopped reporting or that
	// no entry hears from.
	sweepPeriod = 200 * time.Millisecond
	// mirrorWait is how long the leader may hold a mirror's Watch call before it answers;
	// mirrorTimeout is the timeout of that call.
	mirrorWait    = time.Second
	mirrorTimeout = 2 * time.Second
)

// maintainRegistry maintains the registry while this instance leads, and mirrors the leader's
// otherwise, until ctx ends.
func (c *Control) maintainRegistry(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	m := &registryMirror{c: c}
	wasLeader := false
	for ctx.Err() == nil {
		isLeader := c.driver.view.Load().isLeader
		if isLeader && !wasLeader {
			c.registry.ResetDeadlines(c.cfg.Now())
			c.poison.Reset()
		}
		if wasLeader && !isLeader {
			c.warmup.forget()
		}
		wasLeader = isLeader
		if !isLeader && m.poll(ctx) {
			c.registry.SweepMirror(c.cfg.Now())
			continue
		}
		if isLeader {
			c.sweepRegistry()
			c.sweepPoison()
			c.warmup.sweep()
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (c *Control) sweepRegistry() {
	silent := c.registry.Sweep(c.cfg.Now())
	for _, u := range silent {
		c.log.Warn("An upstream stopped reporting.", coltslog.Fields{
			"upstream": u.ID, "address": u.Addr, "sequence": u.Sequence,
		})
	}
	quiet := c.registry.MarkQuiet(c.loads.Quiet(c.cfg.Now()))
	for _, u := range quiet {
		c.log.Warn("No entry hears from an upstream any more.", coltslog.Fields{
			"upstream": u.ID, "address": u.Addr, "sequence": u.Sequence,
		})
	}
	if len(silent)+len(quiet) > 0 {
		c.watchChanged.Broadcast()
	}
}

// registryMirror mirrors the leader's registry. source identifies the registry, revision is the
// newest of its revisions that was fetched.
type registryMirror struct {
	c        *Control
	source   string
	revision uint64
}

// poll fetches registry changes from the leader once and reports whether the leader answered.
func (m *registryMirror) poll(ctx context.Context) bool {
	leader, known := m.c.driver.peers.find(m.c.driver.view.Load().leader)
	if !known {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	reply, err := leader.control.Watch(ctx, &coltspb.WatchRequest{
		RoutesVersion:    uint64(m.c.routes.Load().Version),
		Source:           m.source,
		RegistryRevision: m.revision,
		WaitNanos:        int64(mirrorWait),
		RegistryOnly:     true,
	})
	if err != nil {
		return false
	}
	m.source, m.revision = reply.GetSource(), reply.GetRegistryRevision()
	m.c.catalogue.Mirror(coltswire.DecodeStoreOffers(reply.GetStoreOffers()))
	changed := false
	now := m.c.cfg.Now()
	for _, e := range coltswire.DecodeRegistryEntries(reply.GetEntries(), now) {
		changed = m.c.registry.Mirror(e, now) || changed
	}
	if changed {
		m.c.watchChanged.Broadcast()
	}
	return true
}

// Report updates the leader's registry with an upstream's report, or removes an upstream that is
// leaving.
func (s *controlServer) Report(ctx context.Context, r *coltspb.ReportRequest) (*coltspb.ReportReply, error) {
	leader, err := s.c.leaderClient(r.GetForwarded())
	if err != nil {
		return nil, err
	}
	if leader != nil {
		r.Forwarded = true
		return leader.Report(ctx, r)
	}
	now := s.c.cfg.Now()
	u := coltswire.DecodeReportedUpstream(r.GetUpstream(), now)
	changed := false
	if r.GetLeaving() {
		u.State = coltsregistry.StateGone
		changed = s.c.registry.Leave(u.ID, u.StartedAt, now)
	} else {
		u.State = max(u.State, s.c.machine.Departures.StateOf(u.Process()))
		changed, err = s.c.registry.Report(u, now)
	}
	if err != nil {
		s.c.log.Info("An upstream's report was ignored.", coltslog.Fields{
			"upstream": u.ID, "sequence": u.Sequence, "reason": err,
		})
	}
	if changed {
		s.c.log.Info("An upstream changed.", coltslog.Fields{
			"upstream": u.ID, "service": u.Service, "address": u.Addr, "state": u.State.String(),
			"leaving": r.GetLeaving(), "sequence": u.Sequence, "weights": u.Weights,
		})
		s.c.watchChanged.Broadcast()
	}
	var invalid *coltsregistry.InvalidError
	if !errors.As(err, &invalid) {
		if err := s.commitDepartures(ctx, u); err != nil {
			return nil, err
		}
	}
	return &coltspb.ReportReply{Leader: string(s.c.replicaID)}, nil
}

// Watch returns as soon as something is newer than what the caller has, or after the wait that the
// caller requests. It also records the heartbeat, loads, suspects, crashes and fetches in an entry's
// request.
func (s *controlServer) Watch(ctx context.Context, r *coltspb.WatchRequest) (*coltspb.WatchReply, error) {
	if r.GetMember() != nil {
		member := coltswire.DecodeMember(r.GetMember())
		s.c.roster.Heartbeat(member, s.c.cfg.Now())
		s.c.loads.Report(member.ID, coltswire.DecodeLoads(r.GetLoads(), s.c.cfg.Now()), s.c.cfg.Now())
		s.mergeSuspects(r)
		if s.c.driver.view.Load().isLeader {
			s.c.poison.Receive(coltswire.DecodePoisonReport(r, s.c.cfg.Now()), s.c.cfg.Now())
			s.recordLeaving(r)
		}
		for _, fetch := range coltswire.DecodeStoreChanges(r.GetFetches()) {
			s.c.catalogue.MarkFetched(fetch.Store, fetch.Key, s.c.cfg.Now())
		}
	}
	timer := time.NewTimer(time.Duration(r.GetWaitNanos()))
	defer timer.Stop()
	for {
		changed := s.c.watchChanged.Channel()
		view := s.c.driver.view.Load()
		if !s.c.stateFresh() || r.GetRegistryOnly() && !view.isLeader || !r.GetRegistryOnly() && !view.caughtUp && s.c.awaitsCommit() {
			return nil, unavailable(errStaleState)
		}
		reply, hasChanges := s.watchReply(r)
		if hasChanges || s.c.stopping() {
			return s.c.warmup.addPermits(r, reply), nil
		}
		select {
		case <-ctx.Done():
			return nil, unavailable(ctx.Err())
		case <-timer.C:
			return s.c.warmup.addPermits(r, reply), nil
		case <-changed:
		}
	}
}

// recordLeaving records the processes that have told an entry that they are leaving.
func (s *controlServer) recordLeaving(r *coltspb.WatchRequest) {
	for _, p := range coltswire.DecodeProcesses(r.GetLeaving()) {
		if !s.c.registry.RecordLeaving(p) {
			continue
		}
		s.c.log.Info("An upstream has told an entry that it is leaving.", coltslog.Fields{
			"upstream": p.ID, "started": p.StartedAt, "entry": r.GetMember().GetId(),
		})
		s.c.watchChanged.Broadcast()
	}
}

// watchReply returns what is newer than what the caller has, and reports whether any of it should be
// sent without further waiting.
func (s *controlServer) watchReply(r *coltspb.WatchRequest) (*coltspb.WatchReply, bool) {
	reply := &coltspb.WatchReply{Source: s.c.registrySource}
	sameSource := r.GetSource() == s.c.registrySource
	var after uint64
	if sameSource {
		after = r.GetRegistryRevision()
	}
	entries, revision := s.c.registry.ChangedSince(after)
	reply.Entries, reply.RegistryRevision, reply.Whole = coltswire.EncodeRegistryEntries(entries, s.c.cfg.Now()), revision, !sameSource
	hasChanges := !sameSource || len(entries) > 0
	if r.GetRegistryOnly() {
		s.addStoreOffers(reply)
		return reply, hasChanges
	}
	reply.Unconfirmed = !s.c.driver.view.Load().caughtUp
	if encoded := s.c.routes.Load(); uint64(encoded.Version) > r.GetRoutesVersion() {
		reply.Routes = coltswire.EncodeRouteTable(*encoded)
		hasChanges = true
	}
	hasChanges = s.addWeights(r, reply, sameSource) || hasChanges
	hasChanges = s.addEvacuations(r, reply) || hasChanges
	reply.Controls, reply.Term = s.c.controlAddrs()
	reply.EntryInstances = int32(s.c.liveEntries())
	return reply, s.addLeaderState(r, reply, sameSource) || hasChanges
}

// addWeights adds the named versions if they are newer than what the caller has, or one of them was named lately. It
// reports whether they are newer. The newest versions alone would not do: the time to load each version counts from its
// own naming.
func (s *controlServer) addWeights(r *coltspb.WatchRequest, reply *coltspb.WatchReply, sameSource bool) bool {
	versions, revision := s.c.machine.Weights.Versions()
	reply.WeightsRevision = revision
	now := s.c.cfg.Now()
	isNewer := !sameSource || revision != r.GetWeightsRevision()
	isRecent := func(n coltsweights.NamedVersion) bool { return s.c.weightAges.age(n, now) < repeatPeriod }
	if !isNewer && !slices.ContainsFunc(versions, isRecent) {
		return false
	}
	reply.Weights = coltswire.EncodeNamedVersions(versions)
	for i, n := range versions {
		reply.Weights[i].AgeNanos = int64(s.c.weightAges.age(n, now))
	}
	return isNewer
}

// addStoreOffers adds the stores that answer. Instances of earlier releases read only the names of
// those that take parts.
func (s *controlServer) addStoreOffers(reply *coltspb.WatchReply) {
	offers := s.c.catalogue.Offers(s.c.cfg.Now())
	reply.StoreOffers = coltswire.EncodeStoreOffers(offers)
	for _, o := range offers {
		if o.TakesParts {
			reply.UsableStores = append(reply.UsableStores, string(o.Store))
		}
	}
}

const (
	// maxStoreChanges is the greatest number of store changes in one reply. Longer replies could
	// take an entry with a slow link longer than it waits.
	maxStoreChanges = 1500
)

// addLeaderState adds the state that only the leader has: loads, store contents and suspects. It
// reports whether the reply should be sent without further waiting, which is so only while an entry
// receives the whole catalogue. Loads change all the time, so they are only sent along with other replies.
func (s *controlServer) addLeaderState(r *coltspb.WatchRequest, reply *coltspb.WatchReply, sameSource bool) bool {
	if !s.c.driver.view.Load().isLeader {
		return false
	}
	reply.Leads = true
	now := s.c.cfg.Now()
	reply.Loads = coltswire.EncodeLoads(s.c.loads.Others(coltsidentity.Instance(r.GetMember().GetId()), now), now)
	reply.Suspects = s.sharedSuspects(now)
	coltswire.AddPoisonVerdict(reply, s.c.poison.Verdict(), now)
	// An entry goes on with what it has until the catalogue is complete.
	if !s.c.catalogue.Complete() {
		return false
	}
	var position coltsstore.Position
	if sameSource {
		position = coltsstore.Position{Revision: r.GetStoreRevision(), Base: r.GetStoreBase()}
	}
	delta := s.c.catalogue.Since(position, maxStoreChanges)
	reply.StoresComplete, reply.StoresWhole, reply.StoresMore = true, delta.IsStart, delta.More
	reply.Stores = coltswire.EncodeStoreChanges(delta.Changes)
	reply.StoreRevision, reply.StoreBase = delta.Position.Revision, delta.Position.Base
	s.addStoreOffers(reply)
	return delta.IsStart || delta.More
}

package coltscontrol

// The leader keeps the registry of upstreams; the other instances hold a copy of it,
// so that the next leader knows at once what the last one knew. Nothing of it is on
// a disk: upstreams report themselves every second or so.

import (
	"context"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

const (
	// sweepPeriod is how often the leader looks for upstreams that fell silent.
	sweepPeriod = 500 * time.Millisecond
	// mirrorWait is how long a question of a copy to the leader is kept waiting,
	// mirrorTimeout how long its answer may take.
	mirrorWait    = time.Second
	mirrorTimeout = 2 * time.Second
)

// keepRegistry keeps the registry, or a copy of the leader's, until ctx ends.
func (c *Control) keepRegistry(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	m := &registryMirror{c: c}
	led := false
	for ctx.Err() == nil {
		leads := c.driver.view.Load().leads
		if leads && !led {
			c.registry.Renew(c.cfg.Now())
		}
		led = leads
		if !leads && m.follow(ctx) {
			continue
		}
		if leads {
			c.sweepRegistry()
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
		c.log.Warn("An upstream fell silent.", coltslog.Fields{"upstream": u.ID, "address": u.Addr, "sequence": u.Sequence})
	}
	if len(silent) > 0 {
		c.news.Broadcast()
	}
}

// registryMirror copies the leader's registry.
type registryMirror struct {
	c        *Control
	source   string
	revision uint64
}

// follow asks the leader once for what is new and says whether it answered.
func (m *registryMirror) follow(ctx context.Context) bool {
	leader, known := m.c.driver.others.find(m.c.driver.view.Load().leader)
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
	news := false
	for _, e := range coltswire.DecodeRegistryEntries(reply.GetEntries()) {
		news = m.c.registry.Mirror(e, m.c.cfg.Now()) || news
	}
	if news {
		m.c.news.Broadcast()
	}
	return true
}

// Report takes in what an upstream reports of itself, at the leader.
func (s *controlServer) Report(ctx context.Context, r *coltspb.ReportRequest) (*coltspb.ReportReply, error) {
	leader, err := s.c.leaderOf(r.GetForwarded())
	if err != nil {
		return nil, err
	}
	if leader != nil {
		r.Forwarded = true
		return leader.Report(ctx, r)
	}
	u := coltswire.DecodeReportedUpstream(r.GetUpstream())
	now := s.c.cfg.Now()
	changed := false
	if r.GetLeaving() {
		changed = s.c.registry.Leave(u.ID, u.StartedAt, now)
	} else {
		changed, err = s.c.registry.Report(u, now)
	}
	if err != nil {
		s.c.log.Info("A report was passed over.", coltslog.Fields{"upstream": u.ID, "sequence": u.Sequence, "reason": err})
	}
	if changed {
		s.c.log.Info("An upstream changed.", coltslog.Fields{
			"upstream": u.ID, "service": u.Service, "address": u.Addr, "state": u.State.String(),
			"leaving": r.GetLeaving(), "sequence": u.Sequence, "weights": u.Weights,
		})
		s.c.news.Broadcast()
	}
	return &coltspb.ReportReply{Leader: string(s.c.replicaID)}, nil
}

// Watch answers as soon as something is newer than what the asker has.
func (s *controlServer) Watch(ctx context.Context, r *coltspb.WatchRequest) (*coltspb.WatchReply, error) {
	if r.GetMember() != nil {
		member := coltswire.DecodeMember(r.GetMember())
		s.c.roster.Heartbeat(member, s.c.cfg.Now())
		s.c.loads.Report(member.ID, coltswire.DecodeLoads(r.GetLoads()), s.c.cfg.Now())
		s.takeSuspects(r)
		for _, fetch := range coltswire.DecodeStoreChanges(r.GetFetches()) {
			s.c.catalogue.MarkFetched(fetch.Store, fetch.Key, s.c.cfg.Now())
		}
	}
	timer := time.NewTimer(time.Duration(r.GetWaitNanos()))
	defer timer.Stop()
	for {
		news := s.c.news.Channel()
		if !s.c.inTouch() || r.GetRegistryOnly() && !s.c.driver.view.Load().leads {
			return nil, unavailable(errOutOfTouch)
		}
		reply, isNews := s.watched(r)
		if isNews || s.c.stopping() {
			return reply, nil
		}
		select {
		case <-ctx.Done():
			return nil, unavailable(ctx.Err())
		case <-timer.C:
			return reply, nil
		case <-news:
		}
	}
}

// watched returns what is newer than what the asker has, and whether anything is.
func (s *controlServer) watched(r *coltspb.WatchRequest) (*coltspb.WatchReply, bool) {
	reply := &coltspb.WatchReply{Source: s.c.registrySource}
	known := r.GetSource() == s.c.registrySource
	var after uint64
	if known {
		after = r.GetRegistryRevision()
	}
	entries, upTo := s.c.registry.ChangedSince(after)
	reply.Entries, reply.RegistryRevision, reply.Whole = coltswire.EncodeRegistryEntries(entries), upTo, !known
	isNews := !known || len(entries) > 0
	if r.GetRegistryOnly() {
		return reply, isNews
	}
	if text := s.c.routes.Load(); uint64(text.Version) > r.GetRoutesVersion() {
		reply.Routes = coltswire.EncodeRoutesText(*text)
		isNews = true
	}
	named, revision := s.c.machine.Weights.Newest()
	reply.WeightsRevision = revision
	if !known || revision != r.GetWeightsRevision() {
		reply.Weights = coltswire.EncodeNamed(named)
		isNews = true
	}
	reply.Controls, reply.Term = s.c.controlAddrs()
	reply.EntryInstances = int32(s.c.liveEntries())
	return reply, s.watchedStores(r, reply, known) || isNews
}

const (
	// mostSuspects bounds the suspects that are told at once.
	mostSuspects = 64
	// sharedCrashes is the number of crashes from which a request is told of.
	sharedCrashes = 2
)

// takeSuspects takes in which requests an entry saw crash upstreams.
func (s *controlServer) takeSuspects(r *coltspb.WatchRequest) {
	for _, m := range r.GetSuspects() {
		suspect := coltswire.DecodeSuspect(m)
		if s.c.suspects.Merge(suspect, s.c.cfg.Now()) {
			s.c.log.Info("A request was running on an upstream that crashed.", coltslog.Fields{
				"fingerprint": suspect.Fingerprint, "upstreams": suspect.Upstreams, "entry": r.GetMember().GetId(),
			})
			s.c.news.Broadcast()
		}
	}
}

// sharedSuspects returns the suspects of more than one crash. Most others only ran beside
// the culprit.
func (s *controlServer) sharedSuspects() []*coltspb.Suspect {
	var shared []*coltspb.Suspect
	for _, suspect := range s.c.suspects.SuspectsWithCrashes(sharedCrashes, s.c.cfg.Now()) {
		if len(shared) < mostSuspects {
			shared = append(shared, coltswire.EncodeSuspect(suspect))
		}
	}
	return shared
}

// watchedStores adds what only the leader knows, and says whether any of it is news that
// should not wait. Loads change all the time and come with whatever is told.
func (s *controlServer) watchedStores(r *coltspb.WatchRequest, reply *coltspb.WatchReply, known bool) bool {
	if !s.c.driver.view.Load().leads {
		return false
	}
	reply.Leads = true
	reply.Loads = coltswire.EncodeLoads(s.c.loads.Others(coltsidentity.Instance(r.GetMember().GetId()), s.c.cfg.Now()))
	var after uint64
	if known {
		after = r.GetStoreRevision()
	}
	changes, upTo, whole := s.c.catalogue.Since(after)
	reply.Stores, reply.StoreRevision, reply.StoresWhole = coltswire.EncodeStoreChanges(changes), upTo, whole
	reply.Suspects = s.sharedSuspects()
	return whole && len(changes) > 0
}

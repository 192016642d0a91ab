package coltsentry

// What one entry hears from upstreams, others must hear too. News is passed on to
// a few others, who pass it on in turn; whoever knows it already passes it to
// nobody. No entry talks to all.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsloop"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

const (
	// spreadTo is the number of entries that news is passed on to.
	spreadTo = 3
	// spreadGather is how long news is gathered before it is passed on.
	spreadGather = 100 * time.Millisecond
	// comparePeriod is how often an entry compares its document with a peer's.
	comparePeriod = time.Second
	// maxSuspects bounds the suspects in one message.
	maxSuspects = 16
	// shareTimeout bounds one message to a peer.
	shareTimeout = time.Second
)

// peerLink talks to the other entries and serves them.
type peerLink struct {
	coltspbconnect.UnimplementedPeerHandler
	e *Entry
	// news asks for a round of spreading.
	news chan struct{}

	mu      sync.Mutex
	peers   []peer
	clients map[coltsidentity.Instance]peer
}

// peer is another entry.
type peer struct {
	member coltsmembership.Member
	client coltspbconnect.PeerClient
}

func newPeerLink(e *Entry) *peerLink {
	return &peerLink{e: e, news: make(chan struct{}, 1), clients: map[coltsidentity.Instance]peer{}}
}

// setPeers takes in the entries that control counts as alive.
func (l *peerLink) setPeers(members []coltsmembership.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = l.peers[:0]
	kept := make(map[coltsidentity.Instance]peer, len(members))
	for _, m := range members {
		if m.ID == l.e.id() || !m.PeerAddr.IsValid() {
			continue
		}
		p, known := l.clients[m.ID]
		if !known || p.member.PeerAddr != m.PeerAddr {
			client := coltslink.NewClient(coltslink.Config{})
			p = peer{client: coltspbconnect.NewPeerClient(client, coltslink.URL(m.PeerAddr))}
		}
		p.member = m
		kept[m.ID] = p
		l.peers = append(l.peers, p)
	}
	l.clients = kept
}

// pick returns a few peers at random.
func (l *peerLink) pick(n int) []peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	picked := make([]peer, len(l.peers))
	copy(picked, l.peers)
	rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(n, len(picked))]
}

// notify asks for a round of spreading.
func (l *peerLink) notify() {
	select {
	case l.news <- struct{}{}:
	default:
	}
}

// spread passes on news until ctx ends.
func (l *peerLink) spread(ctx context.Context) {
	var sent uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.news:
		}
		if !coltsloop.Sleep(ctx, spreadGather) {
			return
		}
		sent = l.spreadOnce(ctx, sent)
	}
}

// spreadOnce passes on what changed after a number and returns the newest one.
func (l *peerLink) spreadOnce(ctx context.Context, after uint64) uint64 {
	announcements, newest := l.e.fleet.ChangedSince(after)
	if len(announcements) == 0 {
		return after
	}
	request := &coltspb.ShareRequest{}
	for _, a := range announcements {
		request.Announcements = append(request.Announcements, coltswire.EncodeAnnouncement(a))
	}
	for _, p := range l.pick(spreadTo) {
		l.share(ctx, p, request)
	}
	return newest
}

// share sends one message to a peer and takes in a newer document.
func (l *peerLink) share(ctx context.Context, p peer, request *coltspb.ShareRequest) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	request.Revision = uint64(l.e.document().Revision)
	reply, err := p.client.Share(ctx, request)
	if err == nil {
		l.e.heard()
		err = l.e.takeDocument(reply.GetDocument())
	}
	if err != nil {
		l.e.log.Debug("A peer does not answer.", coltslog.Fields{"peer": p.member.ID, "error": err})
	}
}

// suspects returns the messages of a bounded number of suspects.
func (l *peerLink) suspects() []*coltspb.Suspect {
	var messages []*coltspb.Suspect
	for _, s := range l.e.quarantine.Suspects(l.e.cfg.Now()) {
		if len(messages) < maxSuspects {
			messages = append(messages, coltswire.EncodeSuspect(s))
		}
	}
	return messages
}

// tellSuspect passes on at once that a request has crashed its upstream: its caller
// may already be sending it to another entry. Who hears it for the first time
// passes it on in turn.
func (l *peerLink) tellSuspect(s coltsattempt.Suspect) {
	for _, p := range l.pick(spreadTo) {
		l.e.background.TrySubmit(func() {
			l.share(context.Background(), p, &coltspb.ShareRequest{Suspects: []*coltspb.Suspect{coltswire.EncodeSuspect(s)}})
		})
	}
}

// compare asks one peer after another for a newer document until ctx ends, so
// that an entry whose link to control has gone silent does not stay behind. It also
// tells of suspects again, for those who missed the first word of them.
func (l *peerLink) compare(ctx context.Context) {
	for coltsloop.Sleep(ctx, comparePeriod) {
		for _, p := range l.pick(1) {
			l.share(ctx, p, &coltspb.ShareRequest{Suspects: l.suspects()})
		}
	}
}

// Share takes in what another entry passes on.
func (l *peerLink) Share(_ context.Context, r *coltspb.ShareRequest) (*coltspb.ShareReply, error) {
	l.e.heard()
	for _, m := range r.GetAnnouncements() {
		// An untrusted one is counted and logged where it is refused.
		_ = l.e.announce(coltswire.DecodeAnnouncement(m))
	}
	for _, m := range r.GetEvents() {
		l.e.takeEvent(coltswire.DecodeCacheEvent(m))
	}
	for _, m := range r.GetSuspects() {
		suspect := coltswire.DecodeSuspect(m)
		if l.e.quarantine.Merge(suspect, l.e.cfg.Now()) {
			l.tellSuspect(suspect)
		}
	}
	reply := &coltspb.ShareReply{}
	if text := l.e.text.Load(); text.GetRevision() > r.GetRevision() {
		reply.Document = text
	}
	return reply, nil
}

// Fleet lists the live upstreams that the entry knows.
func (l *peerLink) Fleet(context.Context, *coltspb.FleetRequest) (*coltspb.FleetReply, error) {
	reply := &coltspb.FleetReply{}
	for _, c := range l.e.fleet.All(l.e.document(), l.e.cfg.Now()) {
		reply.Announcements = append(reply.Announcements, coltswire.EncodeAnnouncement(c.Announcement))
	}
	return reply, nil
}

// Burn reports the counts of objectives.
func (l *peerLink) Burn(context.Context, *coltspb.BurnRequest) (*coltspb.BurnReply, error) {
	reply := &coltspb.BurnReply{}
	for _, row := range l.e.recorder.Rows(l.e.cfg.Now()) {
		reply.Rows = append(reply.Rows, coltswire.EncodeBurnRow(row))
	}
	return reply, nil
}

// Suspects lists the requests that crash upstreams and releases one if asked.
func (l *peerLink) Suspects(_ context.Context, r *coltspb.SuspectsRequest) (*coltspb.SuspectsReply, error) {
	if len(r.GetRelease()) == len(coltsidentity.Digest{}) {
		l.e.quarantine.Cleared(coltsidentity.Digest(r.GetRelease()), l.e.cfg.Now())
	}
	reply := &coltspb.SuspectsReply{}
	for _, s := range l.e.quarantine.Suspects(l.e.cfg.Now()) {
		reply.Suspects = append(reply.Suspects, coltswire.EncodeSuspect(s))
	}
	return reply, nil
}

// takeEvent takes in what an upstream holds.
func (e *Entry) takeEvent(event coltscodec.CacheEvent) {
	e.metrics.Add(coltsmetric.CacheEvents, 1)
	e.directory.Record(event.Added, event.Upstream, e.cfg.Now())
	e.directory.Remove(event.Removed, event.Upstream)
}

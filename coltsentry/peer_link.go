package coltsentry

// Entries spread the announcements of upstreams and the suspects of the quarantine by
// gossip: an entry sends what is new to it to a few random peers, which do the same,
// so no entry has to contact all others.

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
	// gossipFanout is the number of random peers to which a change is sent.
	gossipFanout = 3
	// gossipDelay is how long changes are collected before they are sent.
	gossipDelay = 100 * time.Millisecond
	// antiEntropyInterval is how often an entry compares its document with a random
	// peer's.
	antiEntropyInterval = time.Second
	// maxSuspects is the maximum number of suspects in one message.
	maxSuspects = 16
	// shareTimeout bounds one call to a peer.
	shareTimeout = time.Second
)

// peerLink is the client of the other entries and the server of their calls.
type peerLink struct {
	coltspbconnect.UnimplementedPeerHandler
	e *Entry
	// changed requests a gossip round. Its buffer of one merges requests.
	changed chan struct{}

	mu    sync.Mutex
	peers []peer
	byID  map[coltsidentity.Instance]peer
}

// peer is another entry.
type peer struct {
	member coltsmembership.Member
	client coltspbconnect.PeerClient
}

func newPeerLink(e *Entry) *peerLink {
	return &peerLink{e: e, changed: make(chan struct{}, 1), byID: map[coltsidentity.Instance]peer{}}
}

// setPeers replaces the peers with the live entries that control has reported. Clients of
// unchanged addresses are kept.
func (l *peerLink) setPeers(members []coltsmembership.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = l.peers[:0]
	byID := make(map[coltsidentity.Instance]peer, len(members))
	for _, m := range members {
		if m.ID == l.e.id() || !m.PeerAddr.IsValid() {
			continue
		}
		p, known := l.byID[m.ID]
		if !known || p.member.PeerAddr != m.PeerAddr {
			client := coltslink.NewClient(coltslink.Config{})
			p = peer{client: coltspbconnect.NewPeerClient(client, coltslink.URL(m.PeerAddr))}
		}
		p.member = m
		byID[m.ID] = p
		l.peers = append(l.peers, p)
	}
	l.byID = byID
}

// randomPeers returns up to n peers in random order.
func (l *peerLink) randomPeers(n int) []peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	shuffled := make([]peer, len(l.peers))
	copy(shuffled, l.peers)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(n, len(shuffled))]
}

// requestGossip starts a gossip round unless one is already requested.
func (l *peerLink) requestGossip() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// gossip sends changed announcements to random peers until ctx ends.
func (l *peerLink) gossip(ctx context.Context) {
	var sent uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.changed:
		}
		if !coltsloop.Sleep(ctx, gossipDelay) {
			return
		}
		sent = l.gossipOnce(ctx, sent)
	}
}

// gossipOnce sends the announcements whose change number is greater than after, and returns
// the newest change number.
func (l *peerLink) gossipOnce(ctx context.Context, after uint64) uint64 {
	announcements, newest := l.e.fleet.ChangedSince(after)
	if len(announcements) == 0 {
		return after
	}
	request := &coltspb.ShareRequest{}
	for _, a := range announcements {
		request.Announcements = append(request.Announcements, coltswire.EncodeAnnouncement(a))
	}
	for _, p := range l.randomPeers(gossipFanout) {
		l.share(ctx, p, request)
	}
	return newest
}

// share sends one message to a peer, which answers with its document if that is newer.
func (l *peerLink) share(ctx context.Context, p peer, request *coltspb.ShareRequest) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	request.Revision = uint64(l.e.document().Revision)
	reply, err := p.client.Share(ctx, request)
	if err == nil {
		l.e.recordContact()
		err = l.e.receiveDocument(reply.GetDocument())
	}
	if err != nil {
		l.e.log.Debug("A call to a peer failed.", coltslog.Fields{"peer": p.member.ID, "error": err})
	}
}

// encodeSuspects encodes up to maxSuspects suspects.
func (l *peerLink) encodeSuspects() []*coltspb.Suspect {
	var messages []*coltspb.Suspect
	for _, s := range l.e.quarantine.Suspects(l.e.cfg.Now()) {
		if len(messages) < maxSuspects {
			messages = append(messages, coltswire.EncodeSuspect(s, l.e.cfg.Now()))
		}
	}
	return messages
}

// gossipSuspect sends a suspect that has changed to random peers at once, without gossipDelay, since
// the caller may already be retrying the request at another entry. A peer that did
// not know of the change forwards it in turn.
func (l *peerLink) gossipSuspect(s coltsattempt.Suspect) {
	for _, p := range l.randomPeers(gossipFanout) {
		l.e.background.TrySubmit(func() {
			l.share(context.Background(), p, &coltspb.ShareRequest{
				Suspects: []*coltspb.Suspect{coltswire.EncodeSuspect(s, l.e.cfg.Now())},
			})
		})
	}
}

// runAntiEntropy asks a random peer for a newer document at each interval until ctx ends,
// so that an entry that has lost its connection to control still gets updates. It also
// sends the suspects again, for peers that missed them.
func (l *peerLink) runAntiEntropy(ctx context.Context) {
	for coltsloop.Sleep(ctx, antiEntropyInterval) {
		for _, p := range l.randomPeers(1) {
			l.share(ctx, p, &coltspb.ShareRequest{Suspects: l.encodeSuspects()})
		}
	}
}

// Share handles announcements, cache events and suspects from another entry. The reply contains
// the document if the sender's revision is older.
func (l *peerLink) Share(_ context.Context, r *coltspb.ShareRequest) (*coltspb.ShareReply, error) {
	l.e.recordContact()
	for _, m := range r.GetAnnouncements() {
		// applyAnnouncement counts and logs untrusted announcements.
		_ = l.e.applyAnnouncement(coltswire.DecodeAnnouncement(m))
	}
	for _, m := range r.GetEvents() {
		l.e.applyCacheEvent(coltswire.DecodeCacheEvent(m))
	}
	for _, m := range r.GetSuspects() {
		suspect := coltswire.DecodeSuspect(m, l.e.cfg.Now())
		if l.e.quarantine.Merge(suspect, l.e.cfg.Now()) {
			l.gossipSuspect(suspect)
		}
	}
	reply := &coltspb.ShareReply{}
	if document := l.e.encodedDocument.Load(); document.GetRevision() > r.GetRevision() {
		reply.Document = document
	}
	return reply, nil
}

// Fleet returns the live upstreams that the entry knows.
func (l *peerLink) Fleet(context.Context, *coltspb.FleetRequest) (*coltspb.FleetReply, error) {
	reply := &coltspb.FleetReply{}
	for _, c := range l.e.fleet.All(l.e.document(), l.e.cfg.Now()) {
		reply.Announcements = append(reply.Announcements, coltswire.EncodeAnnouncement(c.Announcement))
	}
	return reply, nil
}

// Burn returns the counts from which the burn rates of the objectives are computed.
func (l *peerLink) Burn(context.Context, *coltspb.BurnRequest) (*coltspb.BurnReply, error) {
	reply := &coltspb.BurnReply{}
	for _, row := range l.e.recorder.Rows(l.e.cfg.Now()) {
		reply.Rows = append(reply.Rows, coltswire.EncodeBurnRow(row))
	}
	return reply, nil
}

// Suspects returns the requests suspected of crashing upstreams. If the request names a
// digest to release, that suspect is cleared first.
func (l *peerLink) Suspects(_ context.Context, r *coltspb.SuspectsRequest) (*coltspb.SuspectsReply, error) {
	if len(r.GetRelease()) == len(coltsidentity.Digest{}) {
		l.e.quarantine.Clear(coltsidentity.Digest(r.GetRelease()), l.e.cfg.Now())
	}
	reply := &coltspb.SuspectsReply{}
	for _, s := range l.e.quarantine.Suspects(l.e.cfg.Now()) {
		reply.Suspects = append(reply.Suspects, coltswire.EncodeSuspect(s, l.e.cfg.Now()))
	}
	return reply, nil
}

// applyCacheEvent updates the directory of cached pieces.
func (e *Entry) applyCacheEvent(event coltscodec.CacheEvent) {
	e.metrics.Add(coltsmetric.CacheEvents, 1)
	e.directory.Record(event.Added, event.Upstream, e.cfg.Now())
	e.directory.Remove(event.Removed, event.Upstream)
}

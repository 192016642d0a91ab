package coltsentry

// An entry uses any control instance that answers. All its commands are idempotent, so a
// command whose answer was lost is sent to the next instance.

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsloop"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltsusage"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

const (
	// quorumTimeout is how long a starting entry accepts only a document that a quorum of
	// the control instances has confirmed.
	quorumTimeout = 10 * time.Second
	// longPollTimeout is how long control may wait for a newer document before it answers.
	longPollTimeout = 10 * time.Second
	// callTimeout bounds one try of a call to a control instance, in addition to
	// longPollTimeout for a long poll.
	callTimeout = time.Second
	// retryDelay is the delay after all control instances have failed, and after each
	// failed long poll.
	retryDelay = 200 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = time.Second
)

// controlLink is the client of the control instances.
type controlLink struct {
	e       *Entry
	clients []coltspbconnect.ControlClient
	addrs   []netip.AddrPort
	// heartbeatNow requests a heartbeat before the interval ends. Its buffer of one merges
	// requests.
	heartbeatNow chan struct{}

	mu sync.Mutex
	// currentIndex is the index in clients of the instance that is called first.
	currentIndex int
}

func newControlLink(e *Entry) *controlLink {
	l := &controlLink{e: e, addrs: e.settings.ControlAddrs, heartbeatNow: make(chan struct{}, 1)}
	client := coltslink.NewClient(coltslink.Config{})
	for _, addr := range l.addrs {
		l.clients = append(l.clients, coltspbconnect.NewControlClient(client, coltslink.URL(addr)))
	}
	return l
}

// current returns the index of the instance to call.
func (l *controlLink) current() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentIndex
}

// failOver makes the instance after the failed one current, unless another goroutine
// already did.
func (l *controlLink) failOver(failed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.currentIndex == failed {
		l.currentIndex = (failed + 1) % len(l.clients)
	}
}

// callAny makes a call to one instance after another until one answers or ctx ends.
func (l *controlLink) callAny(
	ctx context.Context, call func(context.Context, coltspbconnect.ControlClient) error,
) error {
	for n := 0; ; n++ {
		i := l.current()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(callCtx, l.clients[i])
		cancel()
		if err == nil {
			return nil
		}
		l.failOver(i)
		if (n+1)%len(l.clients) == 0 && !coltsloop.Sleep(ctx, retryDelay) {
			return errors.Wrap(err, "no control instance answered")
		}
	}
}

// follow long-polls control for newer documents and applies them until ctx ends. The first
// document must be confirmed by a quorum, so that a starting process does not serve
// with an old one. If there is none within quorumTimeout, the document of any control
// instance is accepted. Documents from other entries are accepted at any time.
func (l *controlLink) follow(ctx context.Context) {
	quorumDeadline := l.e.cfg.Now().Add(quorumTimeout)
	required := freshnessQuorum
	failing := false
	for ctx.Err() == nil {
		i := l.current()
		err := l.followOnce(ctx, l.clients[i], required)
		if err == nil {
			required, failing = freshnessInContact, false
			continue
		}
		if l.e.document().Revision == 0 && !l.e.cfg.Now().Before(quorumDeadline) {
			required = freshnessAny
			l.e.log.Warn("No quorum confirmed the document; accepting the document of any control instance.", nil)
		}
		if ctx.Err() == nil && !failing {
			failing = true
			l.e.log.Warn("A control instance does not answer; trying the next one.",
				coltslog.Fields{"control": l.addrs[i], "error": err})
		}
		l.failOver(i)
		coltsloop.Sleep(ctx, retryDelay)
	}
}

// freshness is how recent a document must be to be accepted.
type freshness int

const (
	// freshnessQuorum requires that a quorum has confirmed the document.
	freshnessQuorum freshness = iota
	// freshnessInContact requires that the control instance is in contact with its group.
	freshnessInContact
	// freshnessAny accepts a document of any age.
	freshnessAny
)

// followOnce makes one long poll and applies the document in its reply, if any.
func (l *controlLink) followOnce(
	ctx context.Context, client coltspbconnect.ControlClient, required freshness,
) error {
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout+callTimeout)
	defer cancel()
	reply, err := client.Follow(ctx, &coltspb.FollowRequest{
		After:    uint64(l.e.document().Revision),
		AnswerBy: coltswire.EncodeTime(l.e.cfg.Now().Add(longPollTimeout)),
		Fresh:    required == freshnessQuorum,
		AnyAge:   required == freshnessAny,
	})
	if err != nil {
		return err
	}
	l.e.recordContact()
	return l.e.receiveDocument(reply.GetDocument())
}

// requestHeartbeat requests a heartbeat before the interval ends.
func (l *controlLink) requestHeartbeat() {
	select {
	case l.heartbeatNow <- struct{}{}:
	default:
	}
}

// sendHeartbeats sends a heartbeat to control at each interval, and on request, until ctx
// ends.
func (l *controlLink) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		l.sendHeartbeat(ctx, false)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.heartbeatNow:
		}
	}
}

// sendHeartbeat sends a heartbeat to the current instance and applies the list of peers in
// its reply.
func (l *controlLink) sendHeartbeat(ctx context.Context, leaving bool) {
	i := l.current()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := l.clients[i].Heartbeat(ctx, &coltspb.HeartbeatRequest{
		Member:  coltswire.EncodeMember(l.e.member()),
		Leaving: leaving,
	})
	if err != nil {
		l.failOver(i)
		return
	}
	l.e.recordContact()
	l.e.peers.setPeers(filterEntries(coltswire.DecodeMembers(reply.GetPeers())))
}

func filterEntries(members []coltsmembership.Member) []coltsmembership.Member {
	var entries []coltsmembership.Member
	for _, m := range members {
		if m.Role == coltsmembership.RoleEntry {
			entries = append(entries, m)
		}
	}
	return entries
}

// leave informs control that the entry is stopping.
func (l *controlLink) leave(ctx context.Context) {
	l.sendHeartbeat(ctx, true)
}

// submit sends a command to control. It returns a refusal by control as an error.
func (l *controlLink) submit(ctx context.Context, c coltsstate.Command) (*coltspb.SubmitReply, error) {
	var reply *coltspb.SubmitReply
	err := l.callAny(ctx, func(ctx context.Context, client coltspbconnect.ControlClient) error {
		var err error
		reply, err = client.Submit(ctx, &coltspb.SubmitRequest{Command: coltswire.EncodeCommand(c)})
		return err
	})
	if err != nil {
		return nil, err
	}
	return reply, coltswire.DecodeRefusal(reply.GetRefusal())
}

func (l *controlLink) grant(ctx context.Context, r coltsbooking.Request) (coltsbooking.Decision, error) {
	reply, err := l.submit(ctx, coltsstate.Command{Kind: coltsstate.CommandGrant, Grant: r})
	if err != nil {
		return coltsbooking.Decision{}, err
	}
	return coltsbooking.Decision{
		Granted: reply.GetGranted(),
		Record:  coltswire.DecodeBooking(reply.GetBooking()),
	}, nil
}

// settle sends a settlement. It also returns nil if the ledger rejects the settlement
// permanently, so that it is not retried.
func (l *controlLink) settle(ctx context.Context, s coltsbooking.Settlement) error {
	_, err := l.submit(ctx, coltsstate.Command{Kind: coltsstate.CommandSettle, Settle: s})
	var notHolder *coltsbooking.NotHolderError
	if errors.As(err, &notHolder) {
		l.e.log.Warn("A settlement was rejected because its grant is no longer current.",
			coltslog.Fields{"key": s.Key, "grant": s.Grant})
		return nil
	}
	return err
}

func (l *controlLink) withdraw(ctx context.Context, r coltsbooking.Request) error {
	_, err := l.submit(ctx, coltsstate.Command{Kind: coltsstate.CommandWithdraw, Withdraw: r})
	return err
}

func (l *controlLink) reportUsage(ctx context.Context, b coltsusage.Batch) error {
	_, err := l.submit(ctx, coltsstate.Command{Kind: coltsstate.CommandUsage, Usage: b})
	return err
}

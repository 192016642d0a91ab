package coltsentry

// An entry works with whichever control instance answers. Every command that it
// sends is idempotent, so a call whose answer was lost is sent to the next one.

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
	// freshTimeout is how long an entry that starts insists on a document that a
	// quorum confirms.
	freshTimeout = 10 * time.Second
	// followWait is how long control may hold a question for a newer document.
	followWait = 10 * time.Second
	// callTimeout bounds one try of a call that is answered at once.
	callTimeout = time.Second
	// retryPause is the pause after every control instance has failed.
	retryPause = 200 * time.Millisecond
	// beatPeriod is how often an entry reports itself.
	beatPeriod = time.Second
)

// controlLink talks to the control instances.
type controlLink struct {
	e       *Entry
	clients []coltspbconnect.ControlClient
	addrs   []netip.AddrPort
	// changed asks for a heartbeat at once.
	changed chan struct{}

	mu sync.Mutex
	// preferred is the instance that answered last.
	preferred int
}

func newControlLink(e *Entry) *controlLink {
	l := &controlLink{e: e, addrs: e.settings.Controls, changed: make(chan struct{}, 1)}
	client := coltslink.NewClient(coltslink.Config{})
	for _, addr := range l.addrs {
		l.clients = append(l.clients, coltspbconnect.NewControlClient(client, coltslink.URL(addr)))
	}
	return l
}

func (l *controlLink) current() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.preferred
}

// next turns to the instance after the one that failed, unless that was done.
func (l *controlLink) next(failed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.preferred == failed {
		l.preferred = (failed + 1) % len(l.clients)
	}
}

// try makes a call to one instance after another until one answers or ctx ends.
func (l *controlLink) try(ctx context.Context, call func(context.Context, coltspbconnect.ControlClient) error) error {
	for n := 0; ; n++ {
		i := l.current()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(callCtx, l.clients[i])
		cancel()
		if err == nil {
			return nil
		}
		l.next(i)
		if (n+1)%len(l.clients) == 0 && !coltsloop.Sleep(ctx, retryPause) {
			return errors.Wrap(err, "no control instance answered")
		}
	}
}

// follow keeps the newest document in force until ctx ends. It begins with one
// that a quorum confirms, so that a process that starts does not serve by an old
// document; only if no quorum can be had for long does it take what any control
// instance or entry has.
func (l *controlLink) follow(ctx context.Context) {
	freshBy := l.e.cfg.Now().Add(freshTimeout)
	ask := followFresh
	failing := false
	for ctx.Err() == nil {
		i := l.current()
		err := l.followOnce(ctx, l.clients[i], ask)
		if err == nil {
			ask, failing = followRecent, false
			continue
		}
		if l.e.document().Revision == 0 && !l.e.cfg.Now().Before(freshBy) {
			ask = followAnyAge
			l.e.log.Warn("No quorum confirms the document; taking what any instance has.", nil)
		}
		if ctx.Err() == nil && !failing {
			failing = true
			l.e.log.Warn("Control does not answer; trying the next instance.",
				coltslog.Fields{"control": l.addrs[i], "error": err})
		}
		l.next(i)
		coltsloop.Sleep(ctx, retryPause)
	}
}

// followAsk says how sure an entry wants to be of a document.
type followAsk int

const (
	// followFresh asks for one that a quorum confirms.
	followFresh followAsk = iota
	// followRecent asks an instance that is in touch with the group.
	followRecent
	// followAnyAge asks for whatever an instance has.
	followAnyAge
)

func (l *controlLink) followOnce(ctx context.Context, client coltspbconnect.ControlClient, ask followAsk) error {
	ctx, cancel := context.WithTimeout(ctx, followWait+callTimeout)
	defer cancel()
	reply, err := client.Follow(ctx, &coltspb.FollowRequest{
		After:    uint64(l.e.document().Revision),
		AnswerBy: coltswire.EncodeTime(l.e.cfg.Now().Add(followWait)),
		Fresh:    ask == followFresh,
		AnyAge:   ask == followAnyAge,
	})
	if err != nil {
		return err
	}
	l.e.heard()
	return l.e.takeDocument(reply.GetDocument())
}

// announce asks for a heartbeat at once.
func (l *controlLink) announce() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// beat reports the entry to control until ctx ends.
func (l *controlLink) beat(ctx context.Context) {
	ticker := time.NewTicker(beatPeriod)
	defer ticker.Stop()
	for {
		l.beatOnce(ctx, false)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.changed:
		}
	}
}

func (l *controlLink) beatOnce(ctx context.Context, leaving bool) {
	i := l.current()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := l.clients[i].Heartbeat(ctx, &coltspb.HeartbeatRequest{
		Member:  coltswire.EncodeMember(l.e.member()),
		Leaving: leaving,
	})
	if err != nil {
		l.next(i)
		return
	}
	l.e.heard()
	l.e.peers.setPeers(entriesOf(coltswire.DecodeMembers(reply.GetPeers())))
}

func entriesOf(members []coltsmembership.Member) []coltsmembership.Member {
	var entries []coltsmembership.Member
	for _, m := range members {
		if m.Role == coltsmembership.RoleEntry {
			entries = append(entries, m)
		}
	}
	return entries
}

// leave tells control that the entry stops.
func (l *controlLink) leave(ctx context.Context) {
	l.beatOnce(ctx, true)
}

// submit carries out a command.
func (l *controlLink) submit(ctx context.Context, c coltsstate.Command) (*coltspb.SubmitReply, error) {
	var reply *coltspb.SubmitReply
	err := l.try(ctx, func(ctx context.Context, client coltspbconnect.ControlClient) error {
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

// settle returns nil also if the ledger refuses the settlement for good.
func (l *controlLink) settle(ctx context.Context, s coltsbooking.Settlement) error {
	_, err := l.submit(ctx, coltsstate.Command{Kind: coltsstate.CommandSettle, Settle: s})
	var notHolder *coltsbooking.NotHolderError
	if errors.As(err, &notHolder) {
		l.e.log.Warn("A settlement came too late.", coltslog.Fields{"key": s.Key, "grant": s.Grant})
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

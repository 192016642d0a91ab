package coltscontrol

// Each other replica has its own bounded queue of messages, so that a slow or unreachable replica does
// not delay the rest. Messages that don't fit are dropped: the replication protocol tolerates lost
// messages.

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltssettings"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

const (
	// outboxLength is the greatest number of messages queued for one replica.
	outboxLength = 512
	// deliverTimeout bounds one Deliver call. It leaves time for a large snapshot.
	deliverTimeout = 2 * time.Second
)

// peerControl is the link to another control instance: clients for its services and its queue of
// outgoing messages.
type peerControl struct {
	id      coltsidentity.Instance
	replica coltspbconnect.ReplicaClient
	control coltspbconnect.ControlClient
	outbox  chan coltsreplica.Message
}

// newPeerControl returns a link that does not deliver yet.
func newPeerControl(id coltsidentity.Instance, addr netip.AddrPort) *peerControl {
	client := coltslink.NewClient(coltslink.Config{})
	return &peerControl{
		id:      id,
		replica: coltspbconnect.NewReplicaClient(client, coltslink.URL(addr)),
		control: coltspbconnect.NewControlClient(client, coltslink.URL(addr)),
		outbox:  make(chan coltsreplica.Message, outboxLength),
	}
}

// peerControls holds the links to the other control instances. Their addresses come from the settings
// or are part of their IDs.
type peerControls struct {
	self coltsidentity.Instance

	mu    sync.Mutex
	links map[coltsidentity.Instance]*peerControl
	// runCtx is nil until start is called.
	runCtx context.Context
	loops  sync.WaitGroup
}

func newPeerControls(replicas []coltssettings.Replica, self coltsidentity.Instance) *peerControls {
	p := &peerControls{self: self, links: map[coltsidentity.Instance]*peerControl{}}
	for _, r := range replicas {
		if id := coltsidentity.Instance(r.Instance); id != self {
			p.links[id] = newPeerControl(id, r.Addr)
		}
	}
	return p
}

// start starts delivery on all links, including those added later, until ctx ends.
func (p *peerControls) start(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runCtx = ctx
	for _, link := range p.links {
		p.loops.Go(func() { link.run(ctx) })
	}
}

// wait blocks until delivery has stopped on all links.
func (p *peerControls) wait() { p.loops.Wait() }

// find returns the link to an instance. It creates one if there is none and the instance's ID contains
// its address.
func (p *peerControls) find(id coltsidentity.Instance) (*peerControl, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if link, known := p.links[id]; known {
		return link, true
	}
	addr, known := coltsmembership.AddrOf(id)
	if !known || id == p.self || p.runCtx == nil {
		return nil, false
	}
	link := newPeerControl(id, addr)
	p.links[id] = link
	ctx := p.runCtx
	p.loops.Go(func() { link.run(ctx) })
	return link, true
}

// send queues a message, or drops it if the queue is full.
func (p *peerControl) send(m coltsreplica.Message) {
	select {
	case p.outbox <- m:
	default:
	}
}

// run delivers queued messages until ctx ends.
func (p *peerControl) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.outbox:
			p.deliver(ctx, p.drainOutbox(m))
		}
	}
}

// drainOutbox returns a request with first and the messages that are queued already.
func (p *peerControl) drainOutbox(first coltsreplica.Message) *coltspb.DeliverRequest {
	request := &coltspb.DeliverRequest{Messages: []*coltspb.ReplicaMessage{coltswire.EncodeReplicaMessage(first)}}
	for len(request.Messages) < outboxLength {
		select {
		case m := <-p.outbox:
			request.Messages = append(request.Messages, coltswire.EncodeReplicaMessage(m))
		default:
			return request
		}
	}
	return request
}

// deliver sends messages once, without retries: the replication protocol tolerates lost messages.
func (p *peerControl) deliver(ctx context.Context, request *coltspb.DeliverRequest) {
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	_, _ = p.replica.Deliver(ctx, request)
}

// replicaServer implements coltspbconnect.ReplicaHandler.
type replicaServer struct {
	d *replicaDriver
}

// Deliver queues received messages for the driver's loop, or drops them if the queue is full.
func (s *replicaServer) Deliver(_ context.Context, r *coltspb.DeliverRequest) (*coltspb.DeliverReply, error) {
	messages := make([]coltsreplica.Message, 0, len(r.GetMessages()))
	for _, m := range r.GetMessages() {
		messages = append(messages, coltswire.DecodeReplicaMessage(m))
	}
	select {
	case s.d.incoming <- messages:
	default:
	}
	return &coltspb.DeliverReply{}, nil
}

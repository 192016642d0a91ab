package coltscontrol

// Messages to each other replica go through a bounded queue of its own, so that
// one that is slow or gone holds nothing up. What does not fit is dropped: the
// algorithm makes up for lost messages.

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
	// outboxLength bounds the messages that wait for one replica.
	outboxLength = 512
	// deliverTimeout bounds one delivery; a snapshot may be large.
	deliverTimeout = 2 * time.Second
)

// otherControl is how another control instance is reached.
type otherControl struct {
	id      coltsidentity.Instance
	replica coltspbconnect.ReplicaClient
	control coltspbconnect.ControlClient
	outbox  chan coltsreplica.Message
}

// newOtherControl returns the link to another control instance.
func newOtherControl(id coltsidentity.Instance, addr netip.AddrPort) *otherControl {
	client := coltslink.NewClient(coltslink.Config{})
	return &otherControl{
		id:      id,
		replica: coltspbconnect.NewReplicaClient(client, coltslink.URL(addr)),
		control: coltspbconnect.NewControlClient(client, coltslink.URL(addr)),
		outbox:  make(chan coltsreplica.Message, outboxLength),
	}
}

// otherControls are the links to the other control instances. The settings name
// them, or their identities hold their addresses.
type otherControls struct {
	self coltsidentity.Instance

	mu    sync.Mutex
	links map[coltsidentity.Instance]*otherControl
	// running is nil until the links may deliver.
	running context.Context
	loops   sync.WaitGroup
}

func newOtherControls(replicas []coltssettings.Replica, self coltsidentity.Instance) *otherControls {
	o := &otherControls{self: self, links: map[coltsidentity.Instance]*otherControl{}}
	for _, r := range replicas {
		if id := coltsidentity.Instance(r.Instance); id != self {
			o.links[id] = newOtherControl(id, r.Addr)
		}
	}
	return o
}

// start lets the links deliver until ctx ends.
func (o *otherControls) start(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running = ctx
	for _, link := range o.links {
		o.loops.Go(func() { link.run(ctx) })
	}
}

// wait returns when all links have ended.
func (o *otherControls) wait() { o.loops.Wait() }

// find returns the link to an instance, made now if its identity holds its address.
func (o *otherControls) find(id coltsidentity.Instance) (*otherControl, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if link, known := o.links[id]; known {
		return link, true
	}
	addr, known := coltsmembership.AddrOf(id)
	if !known || id == o.self || o.running == nil {
		return nil, false
	}
	link := newOtherControl(id, addr)
	o.links[id] = link
	ctx := o.running
	o.loops.Go(func() { link.run(ctx) })
	return link, true
}

// send queues a message, or drops it if the queue is full.
func (o *otherControl) send(m coltsreplica.Message) {
	select {
	case o.outbox <- m:
	default:
	}
}

// run delivers queued messages until ctx ends.
func (o *otherControl) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.outbox:
			o.deliver(ctx, o.gather(m))
		}
	}
}

// gather takes along the messages that wait already.
func (o *otherControl) gather(first coltsreplica.Message) *coltspb.DeliverRequest {
	request := &coltspb.DeliverRequest{Messages: []*coltspb.ReplicaMessage{coltswire.EncodeReplicaMessage(first)}}
	for len(request.Messages) < outboxLength {
		select {
		case m := <-o.outbox:
			request.Messages = append(request.Messages, coltswire.EncodeReplicaMessage(m))
		default:
			return request
		}
	}
	return request
}

// deliver sends messages once; lost ones are made up for by later ones.
func (o *otherControl) deliver(ctx context.Context, request *coltspb.DeliverRequest) {
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	_, _ = o.replica.Deliver(ctx, request)
}

// replicaServer serves coltspbconnect.ReplicaHandler.
type replicaServer struct {
	d *replicaDriver
}

// Deliver takes messages in. Those that don't fit are dropped.
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

package coltscontrol

// Messages to each other replica go through a bounded queue of its own, so that
// one that is slow or gone holds nothing up. What does not fit is dropped: the
// algorithm makes up for lost messages.

import (
	"context"
	"net/netip"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltsreplica"
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

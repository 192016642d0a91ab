package coltsupstream

// Requests to upstreams whose answer is read as a whole: prompts that are not streamed, and the
// JSON requests of the protocol.

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltscache"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsorder"
)

// statusOK is the status of a successful response.
const statusOK = 200

// Complete sends a prompt to a runner and reads the complete answer. An answer that carries
// the ID of another request is a failure.
func (c *Client) Complete(ctx context.Context, r Request) (Answer, *Failure) {
	a, failure := c.Do(ctx, r)
	if failure != nil {
		return Answer{}, failure
	}
	if a.Status != statusOK {
		f := newFailure(coltsattempt.PhaseSent, false, "upstream %s answered status %d: %s",
			r.Addr, a.Status, bytes.TrimSpace(a.Body))
		f.Permanent = a.Status >= 400 && a.Status < 500
		return Answer{}, f
	}
	// Runners send white space as heartbeats before the answer.
	a.Body = bytes.TrimSpace(a.Body)
	if coltscodec.AnswerID(a.Body) != r.ID.String() {
		c.cfg.OnWrongRequestID(r.Addr)
		return Answer{}, newFailure(coltsattempt.PhaseSent, false,
			"upstream %s sent the response to another request", r.Addr)
	}
	return a, nil
}

// Lookup asks a store how many of the given leading pieces it holds.
func (c *Client) Lookup(
	ctx context.Context, store netip.AddrPort, pieces []coltscache.Piece, deadline time.Time,
) (int, error) {
	var reply coltscodec.LookupReply
	err := c.postJSON(ctx, store, coltscodec.PathLookup,
		coltscodec.LookupRequest{Pieces: coltscodec.PieceNames(pieces)}, &reply, deadline)
	return reply.HeldPieces, err
}

// Export asks a runner to copy pieces to a store and returns how many of the leading ones
// the store holds afterwards.
func (c *Client) Export(
	ctx context.Context, runner, store netip.AddrPort, pieces []coltscache.Piece, deadline time.Time,
) (int, error) {
	var reply coltscodec.ExportReply
	err := c.postJSON(ctx, runner, coltscodec.PathExport,
		coltscodec.ExportRequest{Store: store, Pieces: coltscodec.PieceNames(pieces)}, &reply, deadline)
	return reply.HeldPieces, err
}

// Cancel cancels a request at its runner. Closing the connection has the same effect, but the
// runner doesn't notice it if the network drops the connection's packets.
func (c *Client) Cancel(
	ctx context.Context, runner netip.AddrPort, id coltsidentity.Request, deadline time.Time,
) error {
	_, failure := c.Do(ctx, Request{
		ID: id, Addr: runner, Method: "POST", Path: coltscodec.PathCancel, Deadline: deadline,
	})
	if failure != nil {
		return failure
	}
	return nil
}

// Order sends a runner an order to load or unload a model version.
func (c *Client) Order(ctx context.Context, o coltsorder.Order) error {
	var reply struct{}
	return c.postJSON(ctx, o.Addr, coltscodec.PathOrder, coltscodec.OrderRequest{
		Kind:         string(o.Kind),
		Model:        string(o.ModelVersion.Model),
		Version:      string(o.ModelVersion.Version),
		FencingToken: uint64(o.FencingToken),
	}, &reply, o.Deadline)
}

// postJSON sends a JSON message and decodes the JSON reply. The upstream need not send
// heartbeats while it works.
func (c *Client) postJSON(
	ctx context.Context, addr netip.AddrPort, path string, message, reply any, deadline time.Time,
) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	a, failure := c.Do(ctx, Request{
		ID:           coltsidentity.NewRequest(),
		Addr:         addr,
		Method:       "POST",
		Path:         path,
		ContentType:  "application/json",
		Body:         body,
		Deadline:     deadline,
		NoHeartbeats: true,
	})
	if failure != nil {
		return failure
	}
	if a.Status != statusOK {
		return errors.Errorf("%s on %s answered status %d", path, addr, a.Status)
	}
	return errors.Wrap(json.Unmarshal(a.Body, reply), "decode reply")
}

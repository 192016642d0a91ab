package coltsupstream

// The smaller questions and orders to upstreams, each one exchange of JSON.

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

// statusOK is the status of an answer that can be used.
const statusOK = 200

// Complete sends a request to a runner and reads its whole answer. An answer
// that carries another request's identity is not handed out.
func (c *Client) Complete(ctx context.Context, r Request) (Answer, *Failure) {
	a, failure := c.Do(ctx, r)
	if failure != nil {
		return Answer{}, failure
	}
	if a.Status != statusOK {
		f := failed(coltsattempt.PhaseSent, false, "upstream %s answered status %d: %s",
			r.Addr, a.Status, bytes.TrimSpace(a.Body))
		f.Permanent = a.Status >= 400 && a.Status < 500
		return Answer{}, f
	}
	// The white space before the answer was the runner's heartbeat.
	a.Body = bytes.TrimSpace(a.Body)
	if coltscodec.AnswerID(a.Body) != r.ID.String() {
		c.cfg.OnCrossed(r.Addr)
		return Answer{}, failed(coltsattempt.PhaseSent, false, "upstream %s answered another request", r.Addr)
	}
	return a, nil
}

// Lookup asks a store how many leading pieces it holds.
func (c *Client) Lookup(
	ctx context.Context, store netip.AddrPort, pieces []coltscache.Piece, by time.Time,
) (int, error) {
	var reply coltscodec.LookupReply
	err := c.exchangeJSON(ctx, store, coltscodec.PathLookup,
		coltscodec.LookupRequest{Pieces: coltscodec.PieceNames(pieces)}, &reply, by)
	return reply.Held, err
}

// Export orders a runner to copy pieces to a store and returns how many leading
// ones the store now holds.
func (c *Client) Export(
	ctx context.Context, runner, store netip.AddrPort, pieces []coltscache.Piece, by time.Time,
) (int, error) {
	var reply coltscodec.ExportReply
	err := c.exchangeJSON(ctx, runner, coltscodec.PathExport,
		coltscodec.ExportRequest{Store: store, Pieces: coltscodec.PieceNames(pieces)}, &reply, by)
	return reply.Exported, err
}

// Cancel tells a runner that nobody waits for a request any more. Closing the
// connection says the same, unless the connection has gone silent.
func (c *Client) Cancel(ctx context.Context, runner netip.AddrPort, id coltsidentity.Request, by time.Time) error {
	_, failure := c.Do(ctx, Request{ID: id, Addr: runner, Method: "POST", Path: coltscodec.PathCancel, Deadline: by})
	if failure != nil {
		return failure
	}
	return nil
}

// Order gives an order to a runner.
func (c *Client) Order(ctx context.Context, o coltsorder.Order) error {
	var reply struct{}
	return c.exchangeJSON(ctx, o.Addr, coltscodec.PathOrder, coltscodec.OrderRequest{
		Kind:    string(o.Kind),
		Model:   string(o.ModelVersion.Model),
		Version: string(o.ModelVersion.Version),
		Fence:   uint64(o.Fence),
	}, &reply, o.Deadline)
}

// exchangeJSON sends one message and reads one. The upstream need not send a
// heartbeat meanwhile.
func (c *Client) exchangeJSON(
	ctx context.Context, addr netip.AddrPort, path string, message, reply any, by time.Time,
) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	a, failure := c.Do(ctx, Request{
		ID:          coltsidentity.NewRequest(),
		Addr:        addr,
		Method:      "POST",
		Path:        path,
		ContentType: "application/json",
		Body:        body,
		Deadline:    by,
		Unheard:     true,
	})
	if failure != nil {
		return failure
	}
	if a.Status != statusOK {
		return errors.Errorf("%s on %s answered status %d", path, addr, a.Status)
	}
	return errors.Wrap(json.Unmarshal(a.Body, reply), "decode reply")
}

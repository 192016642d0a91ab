// Package coltscaller is a client for callers: it sends prompts and calls to entries,
// measures latencies, and checks that answers are complete. coltsload, coltstry and the
// tests use it.
package coltscaller

// The client uses only the interface for callers, so its results are those that any client
// would see.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsresponse"
)

// defaultTimeout is the default of Config.Timeout.
const defaultTimeout = time.Minute

// Config is the configuration of a client.
type Config struct {
	// Key is the organisation's bearer key.
	Key string
	// Timeout is the read timeout of each request; 0 means a minute.
	Timeout time.Duration
	// MaxConnections is the maximum number of connections to one entry; 0 means practically
	// unlimited.
	MaxConnections int
}

// Client sends requests to entries. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *fasthttp.Client
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = 1 << 20
	}
	return &Client{cfg: cfg, http: &fasthttp.Client{
		Transport:                coltsresponse.Transport{},
		MaxConnsPerHost:          cfg.MaxConnections,
		ReadTimeout:              cfg.Timeout,
		StreamResponseBody:       true,
		NoDefaultUserAgentHeader: true,
		// Calls must be sent only once, but by default fasthttp retries methods that it
		// considers idempotent.
		MaxIdemponentCallAttempts: 1,
	}}
}

// Prompt is a chat completion request.
type Prompt struct {
	Model string
	// Messages are the turns of the conversation, starting with the caller's.
	Messages []Message
	// MaxTokens is the maximum length of the answer; 0 means the model's own limit.
	MaxTokens int
}

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Reply is the result of a prompt as seen by the caller.
type Reply struct {
	Status int
	// FirstToken is the time until the first part arrived; Total is the time until the
	// response ended.
	FirstToken time.Duration
	Total      time.Duration
	// Text is the text of the answer; Parts is the number of its parts.
	Text  string
	Parts int
	// Complete is set if the answer was received up to its final event.
	Complete bool
	// Refusal, Outcome and Reason are the fields of the error in the response; empty if there
	// is none.
	Refusal string
	Outcome string
	Reason  string
	// Upstream is the upstream that sent the first part.
	Upstream string
	// RequestID is the ID that the entry assigned to the request.
	RequestID string
}

// HasError reports whether the response contains an error: the request was refused, or its
// stream ended with an error event.
func (r Reply) HasError() bool {
	return r.Refusal != ""
}

// chatRequest is the JSON body of a prompt.
type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
}

// responseBody is the JSON of one part of an answer, or of an error.
type responseBody struct {
	Choices []struct {
		Delta Message `json:"delta"`
	} `json:"choices"`
	Error *errorBody `json:"error"`
}

// errorBody is the error in a responseBody.
type errorBody struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// Stream sends a prompt to an entry and reads the streamed answer to its end. It returns an
// error if the entry could not be reached or the response was cut off or malformed; a refusal
// is not an error.
func (c *Client) Stream(entry netip.AddrPort, p Prompt) (Reply, error) {
	body, err := json.Marshal(chatRequest{
		Model: p.Model, Messages: p.Messages, MaxTokens: p.MaxTokens, Stream: true,
	})
	if err != nil {
		return Reply{}, errors.Wrap(err, "encode prompt")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	c.prepare(req, entry, fasthttp.MethodPost, "/v1/chat/completions", body)
	start := time.Now()
	if err := c.http.Do(req, resp); err != nil {
		return Reply{}, errors.Wrap(err, "send prompt to entry")
	}
	reply := Reply{
		Status:   resp.StatusCode(),
		Upstream: string(resp.Header.Peek(coltscodec.HeaderUpstream)),
		// Refusals have this header, too.
		RequestID: string(resp.Header.Peek("X-Request-Id")),
	}
	if reply.Status != fasthttp.StatusOK {
		return readRefusal(reply, resp)
	}
	err = reply.readParts(resp.BodyStream(), start)
	reply.Total = time.Since(start)
	return reply, err
}

// prepare sets the fields of a request.
func (c *Client) prepare(req *fasthttp.Request, entry netip.AddrPort, method, path string, body []byte) {
	req.SetRequestURI("http://" + entry.String() + path)
	req.Header.SetMethod(method)
	req.Header.SetContentType("application/json")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.cfg.Key)
	req.SetBodyRaw(body)
}

// readRefusal reads the error of a response with an error status into reply.
func readRefusal(reply Reply, resp *fasthttp.Response) (Reply, error) {
	body, err := io.ReadAll(resp.BodyStream())
	if err != nil {
		return reply, errors.Wrap(err, "read error response")
	}
	var text responseBody
	if err := json.Unmarshal(body, &text); err != nil || text.Error == nil {
		return reply, errors.Errorf("status %d without an error body: %s", reply.Status, body)
	}
	reply.setError(text.Error)
	return reply, nil
}

// setError copies the fields of an error.
func (r *Reply) setError(e *errorBody) {
	r.Refusal = e.Message
	r.Outcome = e.Outcome
	r.Reason = e.Reason
}

// readParts reads server-sent events until the final one or an error event.
func (r *Reply) readParts(stream io.Reader, start time.Time) error {
	var text bytes.Buffer
	defer func() { r.Text = text.String() }()
	br := bufio.NewReader(stream)
	for {
		line, err := br.ReadBytes('\n')
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		data, found := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !found {
			continue
		}
		if r.Parts == 0 {
			r.FirstToken = time.Since(start)
		}
		if string(data) == "[DONE]" {
			r.Complete = true
			_, err := io.Copy(io.Discard, br)
			return errors.Wrap(err, "read end of answer")
		}
		var part responseBody
		if err := json.Unmarshal(data, &part); err != nil {
			return errors.Wrap(err, "decode part")
		}
		if part.Error != nil {
			r.setError(part.Error)
			return nil
		}
		r.Parts++
		for _, choice := range part.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
}

// Call is a call to a plain service.
type Call struct {
	Service string
	Path    string
	// Method is the HTTP method; empty means POST.
	Method string
	// IdempotencyKey is the idempotency key; empty means none.
	IdempotencyKey string
	Body           []byte
}

// CallReply is the response to a call.
type CallReply struct {
	Status int
	// Outcome is what is known about whether the call ran: "ran", "not-run" or "unknown".
	Outcome string
	// Reason is the reason of a refusal; empty if the call was not refused.
	Reason string
	// Replayed is set if the answer is the recorded one of an earlier call with the same
	// idempotency key.
	Replayed bool
	Body     []byte
}

// Call calls a service through an entry.
func (c *Client) Call(entry netip.AddrPort, call Call) (CallReply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	method := call.Method
	if method == "" {
		method = fasthttp.MethodPost
	}
	c.prepare(req, entry, method, "/services/"+call.Service+"/"+call.Path, call.Body)
	if call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	if err := c.http.Do(req, resp); err != nil {
		return CallReply{}, errors.Wrap(err, "call entry")
	}
	body, err := io.ReadAll(resp.BodyStream())
	if err != nil {
		return CallReply{}, errors.Wrap(err, "read answer")
	}
	reply := CallReply{
		Status:   resp.StatusCode(),
		Outcome:  string(resp.Header.Peek(coltscodec.HeaderOutcome)),
		Replayed: len(resp.Header.Peek(coltscodec.HeaderReplayed)) > 0,
		Body:     body,
	}
	var text responseBody
	if json.Unmarshal(body, &text) == nil && text.Error != nil {
		reply.Reason = text.Error.Reason
	}
	return reply, nil
}

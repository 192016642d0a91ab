// Package coltscaller is a caller of the system: it sends prompts and calls,
// measures what a caller feels, and checks that answers are whole. The trial day,
// the load tool and the tests use it.
package coltscaller

// It knows only the callers' interface, so that what it finds is what any client
// would find.

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
)

// defaultTimeout bounds a request when the configuration doesn't.
const defaultTimeout = time.Minute

// Config says whom to call and as whom.
type Config struct {
	// Key is the organisation's bearer key.
	Key string
	// Timeout bounds each request; 0 for a minute.
	Timeout time.Duration
	// Connections bounds the connections to one entry; 0 for no bound.
	Connections int
}

// Client calls entries. It may be used concurrently.
type Client struct {
	cfg  Config
	http *fasthttp.Client
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Connections == 0 {
		cfg.Connections = 1 << 20
	}
	return &Client{cfg: cfg, http: &fasthttp.Client{
		MaxConnsPerHost:          cfg.Connections,
		ReadTimeout:              cfg.Timeout,
		StreamResponseBody:       true,
		NoDefaultUserAgentHeader: true,
		// A call must be sent once, whatever the library thinks of its method.
		MaxIdemponentCallAttempts: 1,
	}}
}

// Prompt is a chat completion to ask for.
type Prompt struct {
	Model string
	// Messages are the conversation's turns, the caller's first.
	Messages []Message
	// MaxTokens bounds the answer; 0 for the model's own bound.
	MaxTokens int
}

// Message is one turn.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Reply is what a caller got.
type Reply struct {
	Status int
	// FirstToken is the time to the first part, Total the time to the end.
	FirstToken time.Duration
	Total      time.Duration
	// Text is the answer, Parts the number of its parts.
	Text  string
	Parts int
	// Whole says that the answer came to its last event.
	Whole bool
	// Refusal is the error body's message, and Outcome and Reason its fields.
	Refusal string
	Outcome string
	Reason  string
	// Upstream is the upstream that gave the first part.
	Upstream string
	// RequestID is the name that the entry gave the request.
	RequestID string
}

// Refused says whether the request was refused or broke off.
func (r Reply) Refused() bool {
	return r.Refusal != ""
}

type chatText struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
}

type partText struct {
	Choices []struct {
		Delta Message `json:"delta"`
	} `json:"choices"`
	Error *errorText `json:"error"`
}

type errorText struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// Stream asks an entry for a streamed answer and reads it to its end. An error
// means that the entry could not be reached or broke off.
func (c *Client) Stream(entry netip.AddrPort, p Prompt) (Reply, error) {
	body, err := json.Marshal(chatText{Model: p.Model, Messages: p.Messages, MaxTokens: p.MaxTokens, Stream: true})
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
		return Reply{}, errors.Wrap(err, "ask entry")
	}
	reply := Reply{
		Status:   resp.StatusCode(),
		Upstream: string(resp.Header.Peek(coltscodec.HeaderUpstream)),
		// The entry says it in refusals, too.
		RequestID: string(resp.Header.Peek("X-Request-Id")),
	}
	if reply.Status != fasthttp.StatusOK {
		return readRefusal(reply, resp)
	}
	err = reply.readParts(resp.BodyStream(), start)
	reply.Total = time.Since(start)
	return reply, err
}

func (c *Client) prepare(req *fasthttp.Request, entry netip.AddrPort, method, path string, body []byte) {
	req.SetRequestURI("http://" + entry.String() + path)
	req.Header.SetMethod(method)
	req.Header.SetContentType("application/json")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.cfg.Key)
	req.SetBodyRaw(body)
}

// readRefusal reads an error body.
func readRefusal(reply Reply, resp *fasthttp.Response) (Reply, error) {
	body, err := io.ReadAll(resp.BodyStream())
	if err != nil {
		return reply, errors.Wrap(err, "read refusal")
	}
	var text partText
	if err := json.Unmarshal(body, &text); err != nil || text.Error == nil {
		return reply, errors.Errorf("status %d without an error body: %s", reply.Status, body)
	}
	reply.refuse(text.Error)
	return reply, nil
}

func (r *Reply) refuse(e *errorText) {
	r.Refusal = e.Message
	r.Outcome = e.Outcome
	r.Reason = e.Reason
}

// readParts reads server-sent events to the last one.
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
			r.Whole = true
			_, err := io.Copy(io.Discard, br)
			return errors.Wrap(err, "read end of answer")
		}
		var part partText
		if err := json.Unmarshal(data, &part); err != nil {
			return errors.Wrap(err, "decode part")
		}
		if part.Error != nil {
			r.refuse(part.Error)
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
	Method  string
	// Key is the idempotency key; empty to send none.
	Key  string
	Body []byte
}

// CallReply is what came of a call.
type CallReply struct {
	Status int
	// Outcome says what ran: "ran", "not-run" or "unknown".
	Outcome string
	Reason  string
	// Replayed says that the answer is that of an earlier call.
	Replayed bool
	Body     []byte
}

// Call calls a service by way of an entry.
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
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
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
	var text partText
	if json.Unmarshal(body, &text) == nil && text.Error != nil {
		reply.Reason = text.Error.Reason
	}
	return reply, nil
}

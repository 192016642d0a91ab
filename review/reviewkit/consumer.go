//go:build review

package reviewkit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Channel is a consumer's connection to a gateway, kept for many requests.
type Channel struct {
	conn net.Conn
	br   *bufio.Reader
}

// Dial opens a channel.
func Dial(addr string) (*Channel, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Channel{conn: conn, br: bufio.NewReader(conn)}, nil
}

// Close closes the channel.
func (c *Channel) Close() { _ = c.conn.Close() }

// Request is a consumer's request.
type Request struct {
	Method  string
	Host    string
	Path    string
	ID      string
	Headers map[string]string
	Body    string
	// Budget is how long the consumer waits.
	Budget time.Duration
}

// Result is what a consumer received.
type Result struct {
	// SentAt is when the last byte of the request was sent.
	SentAt time.Time
	EndAt  time.Time
	Status int
	Header http.Header
	Body   []byte
	// Err is set if there was no complete answer.
	Err error
	// Closed is set if the gateway closes the channel after the answer.
	Closed bool
}

// Do sends a request and reads the answer.
func (c *Channel) Do(r Request) Result {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Coltsfootstall-Request-Id: %s\r\nX-Coltsfootstall-Deadline-Ms: %d\r\n",
		r.Method, r.Path, r.Host, r.ID, r.Budget.Milliseconds())
	for name, value := range r.Headers {
		text += name + ": " + value + "\r\n"
	}
	text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
	_ = c.conn.SetDeadline(time.Now().Add(r.Budget)) // the write below fails on a closed connection
	if _, err := io.WriteString(c.conn, text); err != nil {
		return Result{SentAt: time.Now(), EndAt: time.Now(), Err: err}
	}
	result := Result{SentAt: time.Now()}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
	if err == nil {
		result.Status, result.Header, result.Closed = resp.StatusCode, resp.Header, resp.Close
		result.Body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	result.Err, result.EndAt = err, time.Now()
	return result
}

// NotRead reports whether the channel ended before any byte of an answer.
func (r Result) NotRead() bool {
	return r.Status == 0 && r.Err != nil && !errors.Is(r.Err, net.ErrClosed)
}

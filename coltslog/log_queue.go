package coltslog

// A slow log reader must not block the goroutines that log. Lines go through a bounded queue
// to one writer goroutine. Lines that don't fit are dropped, and their number is logged with
// the next write.

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// queueLines is the maximum number of queued lines.
	queueLines = 2048
	// writeBatchBytes is the approximate maximum size of one write.
	writeBatchBytes = 32 << 10
)

// Queue is an io.Writer that never blocks. It is safe for concurrent use.
type Queue struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue that writes to output. Its writer goroutine runs until the process
// exits.
func NewQueue(output io.Writer) *Queue {
	q := &Queue{output: output, lines: make(chan []byte, queueLines)}
	go q.run()
	return q
}

// Write queues a copy of line, or drops the line if the queue is full. It returns no error in
// either case.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines in batches.
func (q *Queue) run() {
	var buffer []byte
	for line := range q.lines {
		buffer = append(buffer[:0], line...)
		for len(buffer) < writeBatchBytes {
			more, ok := q.poll()
			if !ok {
				break
			}
			buffer = append(buffer, more...)
		}
		if n := q.dropped.Swap(0); n > 0 {
			buffer = fmt.Appendf(buffer,
				"{\"level\":\"warning\",\"msg\":\"log: Lines were dropped.\",\"lines\":%d}\n", n)
		}
		// An error is ignored, since there is nowhere else to report it.
		_, _ = q.output.Write(buffer)
	}
}

// poll returns the next queued line without blocking, and whether there was one.
func (q *Queue) poll() ([]byte, bool) {
	select {
	case line := <-q.lines:
		return line, true
	default:
		return nil, false
	}
}

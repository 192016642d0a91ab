package coltslog

// Whoever logs must never wait for whoever reads the log. Lines go through a bounded
// queue to one writer; those that don't fit are dropped and counted, and the count is
// logged as soon as there is room again.

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// queueLines bounds the lines that wait.
	queueLines = 2048
	// queueWriteBytes is about how much is written at once.
	queueWriteBytes = 32 << 10
)

// Queue is a writer that never blocks. It may be used concurrently.
type Queue struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue in front of a writer.
func NewQueue(to io.Writer) *Queue {
	q := &Queue{to: to, lines: make(chan []byte, queueLines)}
	go q.run()
	return q
}

// Write queues a line, or drops it if the queue is full. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the lines that wait, as many as there are at once.
func (q *Queue) run() {
	var buffer []byte
	for line := range q.lines {
		buffer = append(buffer[:0], line...)
		for len(buffer) < queueWriteBytes {
			more, ok := q.poll()
			if !ok {
				break
			}
			buffer = append(buffer, more...)
		}
		if n := q.dropped.Swap(0); n > 0 {
			buffer = fmt.Appendf(buffer, "{\"level\":\"warning\",\"msg\":\"log: Lines were dropped.\",\"lines\":%d}\n", n)
		}
		// There is nowhere left to report that the log itself can't be written.
		_, _ = q.to.Write(buffer)
	}
}

func (q *Queue) poll() ([]byte, bool) {
	select {
	case line := <-q.lines:
		return line, true
	default:
		return nil, false
	}
}

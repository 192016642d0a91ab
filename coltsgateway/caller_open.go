package coltsgateway

// The open connections of callers, so that those which are idle can be closed at a
// shutdown, between two requests and never within one.

import (
	"net"
	"sync"
	"time"

	"coltsfootstall/coltsshard"
)

// openConns holds the open connections, in shards.
type openConns struct {
	shards [coltsshard.Count]openShard
}

type openShard struct {
	mu sync.Mutex
	// conns are the open connections; true for those that are idle.
	conns map[net.Conn]bool
}

func (o *openConns) shard(nc net.Conn) *openShard {
	return &o.shards[coltsshard.Of(nc.RemoteAddr().String())]
}

// set takes in that a connection is idle, or not.
func (o *openConns) set(nc net.Conn, idle bool) {
	s := o.shard(nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[net.Conn]bool{}
	}
	s.conns[nc] = idle
}

func (o *openConns) remove(nc net.Conn) {
	s := o.shard(nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, nc)
}

func (o *openConns) count() int {
	n := 0
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		n += len(s.conns)
		s.mu.Unlock()
	}
	return n
}

// closeIdle ends the wait of every idle connection; its own goroutine closes it.
func (o *openConns) closeIdle() {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for nc, idle := range s.conns {
			if idle {
				// One that is closed already has ended its wait.
				_ = nc.SetReadDeadline(time.Unix(1, 0))
			}
		}
		s.mu.Unlock()
	}
}

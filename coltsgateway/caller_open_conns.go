package coltsgateway

// The set of open caller connections, so that a shutdown can close the idle ones without
// interrupting a request.

import (
	"net"
	"sync"
	"time"

	"coltsfootstall/coltsshard"
)

// openConns is the set of open connections, sharded by remote address.
type openConns struct {
	shards [coltsshard.Count]openConnShard
}

type openConnShard struct {
	mu sync.Mutex
	// conns maps each open connection to whether it is idle.
	conns map[net.Conn]bool
}

func (o *openConns) shard(nc net.Conn) *openConnShard {
	return &o.shards[coltsshard.Of(nc.RemoteAddr().String())]
}

// setIdle records whether a connection is idle, adding the connection if it is new.
func (o *openConns) setIdle(nc net.Conn, idle bool) {
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

// closeIdle ends the pending read of every idle connection; the connection's own goroutine
// then closes it.
func (o *openConns) closeIdle() {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for nc, idle := range s.conns {
			if idle {
				// An error means that the connection is closed, and then its read has ended
				// already.
				_ = nc.SetReadDeadline(time.Unix(1, 0))
			}
		}
		s.mu.Unlock()
	}
}

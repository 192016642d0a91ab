package coltsgateway

// The set of open caller connections, so that a shutdown can close the idle ones without
// interrupting a request, and so that those that hold memory or descriptors without progress can be
// ended when either is short. Which ones end is decided by coltsbuffer.

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootstall/coltsbuffer"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
	"coltsfootstall/coltsshard"
)

const (
	// shedPause is the least time between two searches for connections to end, because each looks at
	// all that are open.
	shedPause = 20 * time.Millisecond
	// shedBatchShare is the divisor that gives how many connections end at once when the bound of open
	// ones is reached, so that not every new one starts a search.
	shedBatchShare = 64
	// shedMemoryShare is the divisor that gives how much of the memory for buffers a search for memory frees
	// at least. Others who need some before the next search find it.
	shedMemoryShare = 16
	// admitTries is how often a new connection looks for a place while each search ends others.
	admitTries = 3
	// roomWait is how long a message waits for the memory of connections that were ended to make room.
	// Their goroutines release it as soon as they run.
	roomWait = 20 * time.Millisecond
	// newConnGrace is the age up to which a connection ends only if no older one can: its first request is
	// on its way. It exceeds the round trip to callers.
	newConnGrace = 250 * time.Millisecond
	// shedLogPause is the least time between two log lines about ended connections.
	shedLogPause = time.Second
)

// readingPace returns the progress that a request must show. Its grace exceeds several round trips, so that a
// caller that has just connected is not chosen. The slowest link to a gateway carries five times its rate.
func readingPace() coltsbuffer.Pace {
	return coltsbuffer.Pace{Grace: 500 * time.Millisecond, BytesPerSecond: 256 << 10}
}

// openConns is the set of open connections, sharded by remote address.
type openConns struct {
	shards [coltsshard.Count]openConnShard
	open   atomic.Int64
}

type openConnShard struct {
	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

func (o *openConns) shard(c *callerConn) *openConnShard {
	return &o.shards[coltsshard.Of(c.nc.RemoteAddr().String())]
}

func (o *openConns) add(c *callerConn) {
	o.open.Add(1)
	s := o.shard(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*callerConn]struct{}{}
	}
	s.conns[c] = struct{}{}
}

func (o *openConns) remove(c *callerConn) {
	o.open.Add(-1)
	s := o.shard(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (o *openConns) count() int { return int(o.open.Load()) }

// all returns all open connections.
func (o *openConns) all() []*callerConn {
	all := make([]*callerConn, 0, o.count())
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for c := range s.conns {
			all = append(all, c)
		}
		s.mu.Unlock()
	}
	return all
}

// closeIdle ends the pending read of every idle connection; the connection's own goroutine
// then closes it.
func (o *openConns) closeIdle() {
	for _, c := range o.all() {
		if c.state.phase() == coltsbuffer.PhaseIdle {
			c.endRead()
		}
	}
}

// connState is what a connection is doing, as the search for connections to end sees it. It changes
// without a lock, because it changes with every request.
type connState struct {
	// current is a coltsbuffer.Phase, sinceNanos when it began, in nanoseconds of the Unix time.
	current    atomic.Int32
	sinceNanos atomic.Int64
	received   atomic.Int64
	held       atomic.Int64
}

func (s *connState) phase() coltsbuffer.Phase { return coltsbuffer.Phase(s.current.Load()) }

// enter begins a phase and reports whether the connection may go on, which it may not once it was
// chosen to end.
func (s *connState) enter(next coltsbuffer.Phase, now time.Time) bool {
	s.sinceNanos.Store(now.UnixNano())
	previous := s.phase()
	return previous != coltsbuffer.PhaseShed && s.current.CompareAndSwap(int32(previous), int32(next))
}

// shed chooses the connection to end unless it has entered another phase since it was looked at.
func (s *connState) shed(seen coltsbuffer.Phase) bool {
	return s.current.CompareAndSwap(int32(seen), int32(coltsbuffer.PhaseShed))
}

func (s *connState) holder() coltsbuffer.Holder {
	return coltsbuffer.Holder{
		Phase: s.phase(), Since: time.Unix(0, s.sinceNanos.Load()),
		Received: int(s.received.Load()), Held: int(s.held.Load()),
	}
}

// shedder ends connections when memory or descriptors are short.
type shedder struct {
	mu sync.Mutex
	// nextAt is when the next search may begin, and ended how many connections the last one ended. logAt is
	// when the next line may be logged, and unlogged the number of connections that ended since the last one.
	nextAt   time.Time
	ended    int
	logAt    time.Time
	unlogged int
}

// shed ends connections so that what is needed becomes free and returns how many it ended. It ends none
// within shedPause of the previous search.
func (g *Gateway) shed(need coltsbuffer.Need) int {
	s := &g.shedding
	s.mu.Lock()
	defer s.mu.Unlock()
	now := g.now()
	if now.Before(s.nextAt) {
		return 0
	}
	s.nextAt = now.Add(shedPause)
	if need.Bytes > 0 {
		need.Bytes = max(need.Bytes, g.buffers.Limit()/shedMemoryShare)
	}
	conns := g.openConns.all()
	older := slices.DeleteFunc(slices.Clone(conns), func(c *callerConn) bool { return now.Sub(c.acceptedAt) < newConnGrace })
	n := endChosen(older, need, now)
	if n == 0 {
		n = endChosen(conns, need, now)
	}
	g.metrics.Add(coltsmetric.ConnectionsShed, int64(n))
	s.ended = n
	s.unlogged += n
	if s.unlogged > 0 && !now.Before(s.logAt) {
		g.log.Warn("Connections were ended to free memory or descriptors.", coltslog.Fields{
			"ended": s.unlogged, "open": len(conns), "buffered-bytes": g.buffers.Used(), "buffer-limit": g.buffers.Limit(),
			"connection-limit": g.maxConns,
		})
		s.unlogged, s.logAt = 0, now.Add(shedLogPause)
	}
	return n
}

// endChosen ends those of the connections that are chosen for a need, and returns their number.
func endChosen(conns []*callerConn, need coltsbuffer.Need, now time.Time) int {
	holders := make([]coltsbuffer.Holder, len(conns))
	for i, c := range conns {
		holders[i] = c.state.holder()
	}
	n := 0
	for _, i := range coltsbuffer.Choose(holders, need, readingPace(), now) {
		if conns[i].state.shed(holders[i].Phase) {
			conns[i].endRead()
			n++
		}
	}
	return n
}

// countRefused counts a new connection for which there is no room.
func (g *Gateway) countRefused() {
	g.metrics.Add(coltsmetric.ConnectionsShed, 1)
	g.shedding.mu.Lock()
	defer g.shedding.mu.Unlock()
	g.shedding.unlogged++
}

// makeRoom ends connections so that a message of the given size finds memory, and waits for it. If the
// previous search was just before, it waits for the next one.
func (g *Gateway) makeRoom(size int) {
	need := coltsbuffer.Need{Bytes: size}
	if g.shed(need) == 0 {
		time.Sleep(shedPause)
		if g.buffers.Limit()-g.buffers.Used() < size {
			g.shed(need)
		}
	}
	time.Sleep(roomWait)
}

// findPlace ends connections unless there is a place for a new one, and reports whether there is one or
// will be in a moment. While searches end connections, it waits for the next search.
func (g *Gateway) findPlace(isFree func() bool, need coltsbuffer.Need) bool {
	for range admitTries {
		if isFree() || g.shed(need) > 0 {
			return true
		}
		if g.shedding.foundNone() {
			return false
		}
		time.Sleep(shedPause)
	}
	return false
}

// foundNone reports whether the last search ended no connection.
func (s *shedder) foundNone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended == 0
}

// admit takes memory and a place for a new connection, ending others if there is none, and reports
// whether there is room for it.
func (g *Gateway) admit(c *callerConn) bool {
	hasPlace := func() bool { return g.maxConns == 0 || g.openConns.count() < g.maxConns }
	if !g.findPlace(hasPlace, coltsbuffer.Need{Connections: max(1, g.maxConns/shedBatchShare)}) {
		return false
	}
	takeMemory := func() bool { return c.base.TryGrow(g.connBytes) == nil }
	if !g.findPlace(takeMemory, coltsbuffer.Need{Bytes: shedBatchShare * g.connBytes}) {
		return false
	}
	// Those that were just ended release their memory in a moment.
	c.base.Overdraw(g.connBytes)
	c.state.held.Store(int64(g.connBytes))
	c.state.enter(coltsbuffer.PhaseIdle, g.now())
	g.openConns.add(c)
	return true
}

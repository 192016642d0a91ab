package coltsfront

// Refused bodies and closed connections are counted, and logged together at most once a second: a crowd
// causes thousands of them.

import (
	"sync"
	"time"

	"coltsfootstall/coltsbody"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
)

// shedLogPeriod is the least time between two log lines.
const shedLogPeriod = time.Second

// ShedLog counts what a server sheds. It is safe for concurrent use.
type ShedLog struct {
	log     *coltslog.Logger
	metrics *coltsmetric.Set

	mu sync.Mutex
	// refused and closed are the numbers since the last log line, which was at loggedAt.
	refused  map[coltsbody.Refusal]int
	closed   int
	loggedAt time.Time
}

// NewShedLog returns a log that has counted nothing yet.
func NewShedLog(log *coltslog.Logger, metrics *coltsmetric.Set) *ShedLog {
	return &ShedLog{log: log, metrics: metrics, refused: map[coltsbody.Refusal]int{}}
}

// RecordRefused counts a refused body.
func (s *ShedLog) RecordRefused(reason coltsbody.Refusal) {
	s.metrics.Add(coltsmetric.BodiesRefused, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[reason]++
	s.write(time.Now())
}

// RecordClosed counts a connection that was closed for another one.
func (s *ShedLog) RecordClosed() {
	s.metrics.Add(coltsmetric.ConnectionsShed, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed++
	s.write(time.Now())
}

// write logs the numbers since the last line, unless that was just before. s.mu is held.
func (s *ShedLog) write(now time.Time) {
	if now.Before(s.loggedAt.Add(shedLogPeriod)) {
		return
	}
	fields := coltslog.Fields{"connections-closed": s.closed}
	for reason, n := range s.refused {
		fields["bodies-"+string(reason)] = n
	}
	s.log.Warn("Requests or connections were shed.", fields)
	s.refused, s.closed, s.loggedAt = map[coltsbody.Refusal]int{}, 0, now
}

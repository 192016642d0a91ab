package coltsbalance

// Each entry instance sees only what it sent itself. Together they tell the leader, and
// the leader tells each what all the others have under way.

import (
	"slices"
	"strings"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// loadTimeout is how long an instance's loads count after it reported them: several of
// its reports.
const loadTimeout = 2 * time.Second

// Load is the work under way at an upstream, in the unit of its service.
type Load struct {
	Upstream coltsidentity.Upstream
	Amount   float64
}

// Loads holds the newest report of each instance, in shards by instance. It may be used
// concurrently.
type Loads struct {
	shards [coltsshard.Count]loadsShard
}

type loadsShard struct {
	mu      sync.Mutex
	reports map[coltsidentity.Instance]loadReport
}

type loadReport struct {
	loads []Load
	until time.Time
}

// NewLoads returns loads that nobody has reported.
func NewLoads() *Loads {
	l := &Loads{}
	for i := range l.shards {
		l.shards[i].reports = map[coltsidentity.Instance]loadReport{}
	}
	return l
}

// Report takes in an instance's loads.
func (l *Loads) Report(from coltsidentity.Instance, loads []Load, now time.Time) {
	s := &l.shards[coltsshard.Of(from)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[from] = loadReport{loads: loads, until: now.Add(loadTimeout)}
}

// Others returns the sums of the loads that all instances but one have reported, in the
// order of the upstreams.
func (l *Loads) Others(but coltsidentity.Instance, now time.Time) []Load {
	sums := map[coltsidentity.Upstream]float64{}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for from, report := range s.reports {
			if !now.Before(report.until) {
				delete(s.reports, from)
				continue
			}
			if from == but {
				continue
			}
			for _, load := range report.loads {
				sums[load.Upstream] += load.Amount
			}
		}
		s.mu.Unlock()
	}
	all := make([]Load, 0, len(sums))
	for upstream, amount := range sums {
		all = append(all, Load{Upstream: upstream, Amount: amount})
	}
	slices.SortFunc(all, func(a, b Load) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return all
}

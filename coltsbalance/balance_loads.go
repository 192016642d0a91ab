package coltsbalance

// Each entry instance knows only the load that it has put on the upstreams itself. All
// instances report it to the leader, which tells each of them the sum of the others.

import (
	"slices"
	"strings"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// loadReportTTL is how long an instance's load report counts. It spans several report
// intervals.
const loadReportTTL = 2 * time.Second

// Load is the load of an upstream in the unit of its service: KV cache tokens or requests.
type Load struct {
	Upstream coltsidentity.Upstream
	Amount   float64
}

// Loads holds the newest load report of each instance, in shards by instance. It is safe
// for concurrent use.
type Loads struct {
	shards [coltsshard.Count]loadsShard
}

type loadsShard struct {
	mu      sync.Mutex
	reports map[coltsidentity.Instance]loadReport
}

type loadReport struct {
	loads     []Load
	expiresAt time.Time
}

// NewLoads returns a Loads without reports.
func NewLoads() *Loads {
	l := &Loads{}
	for i := range l.shards {
		l.shards[i].reports = map[coltsidentity.Instance]loadReport{}
	}
	return l
}

// Report replaces the loads of an instance.
func (l *Loads) Report(from coltsidentity.Instance, loads []Load, now time.Time) {
	s := &l.shards[coltsshard.Of(from)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[from] = loadReport{loads: loads, expiresAt: now.Add(loadReportTTL)}
}

// Others returns the loads that all instances except one have reported, summed and sorted
// by upstream.
func (l *Loads) Others(except coltsidentity.Instance, now time.Time) []Load {
	sums := map[coltsidentity.Upstream]float64{}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for from, report := range s.reports {
			if !now.Before(report.expiresAt) {
				delete(s.reports, from)
				continue
			}
			if from == except {
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

package coltsbalance

// Each entry instance knows only the load that it has put on the upstreams itself. All
// instances report it to the leader, which tells each of them the sum of the others. The
// leader keeps the sums up to date with each report, because it is asked for them many times
// a second by each of many instances.

import (
	"slices"
	"strings"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// loadReportTTL is how long an instance's load report counts. It spans several report
	// intervals.
	loadReportTTL = 2 * time.Second
	// loadSweepPeriod is how often expired reports are looked for.
	loadSweepPeriod = 100 * time.Millisecond
	// freshReportTTL is how long a report says something about upstreams that don't answer: about
	// three report intervals.
	freshReportTTL = 350 * time.Millisecond
	// quietAfter is the time without a byte from an upstream after which it counts as quiet, and
	// quietInstances the number of instances that must have been waiting for that long. A fetch from a slow store
	// or a load of weights can delay all answers of an upstream for about a second.
	quietAfter     = 1200 * time.Millisecond
	quietInstances = 2
)

// Load is the load of an upstream in the unit of its service: KV cache tokens or requests.
type Load struct {
	Upstream coltsidentity.Upstream
	Amount   float64
	// HeardAt is when the instance last got a byte from the upstream; zero if it never has.
	// WaitingSince is since when it has been waiting for one. Both are zero in sums.
	HeardAt      time.Time
	WaitingSince time.Time
}

// Loads holds the newest load report of each instance, in shards by instance, and the sums of
// all reports, in shards by upstream. It is safe for concurrent use. A shard of sums is locked
// while a shard of reports is, never the other way round.
type Loads struct {
	shards [coltsshard.Count]loadsShard
	sums   [coltsshard.Count]loadSumsShard

	sweepMu sync.Mutex
	sweepAt time.Time
}

type loadsShard struct {
	mu      sync.Mutex
	reports map[coltsidentity.Instance]loadReport
}

type loadReport struct {
	loads []Load
	// freshUntil is until when the report says something about quiet upstreams.
	freshUntil time.Time
	expiresAt  time.Time
}

type loadSumsShard struct {
	mu      sync.Mutex
	amounts map[coltsidentity.Upstream]float64
}

// NewLoads returns a Loads without reports.
func NewLoads() *Loads {
	l := &Loads{}
	for i := range l.shards {
		l.shards[i].reports = map[coltsidentity.Instance]loadReport{}
		l.sums[i].amounts = map[coltsidentity.Upstream]float64{}
	}
	return l
}

// Report replaces the loads of an instance. Amounts are whole numbers, so the sums stay exact.
func (l *Loads) Report(from coltsidentity.Instance, loads []Load, now time.Time) {
	s := &l.shards[coltsshard.Of(from)]
	s.mu.Lock()
	defer s.mu.Unlock()
	l.add(s.reports[from].loads, -1)
	l.add(loads, 1)
	s.reports[from] = loadReport{loads: loads, freshUntil: now.Add(freshReportTTL), expiresAt: now.Add(loadReportTTL)}
}

// add adds loads to the sums, sign times.
func (l *Loads) add(loads []Load, sign float64) {
	for _, load := range loads {
		s := &l.sums[coltsshard.Of(load.Upstream)]
		s.mu.Lock()
		s.amounts[load.Upstream] += sign * load.Amount
		if s.amounts[load.Upstream] == 0 {
			delete(s.amounts, load.Upstream)
		}
		s.mu.Unlock()
	}
}

// Others returns the loads that all instances except one have reported, summed and sorted
// by upstream.
func (l *Loads) Others(except coltsidentity.Instance, now time.Time) []Load {
	l.sweep(now)
	own := map[coltsidentity.Upstream]float64{}
	for _, load := range l.reportOf(except) {
		own[load.Upstream] = load.Amount
	}
	var all []Load
	for i := range l.sums {
		s := &l.sums[i]
		s.mu.Lock()
		for upstream, amount := range s.amounts {
			if amount -= own[upstream]; amount > 0 {
				all = append(all, Load{Upstream: upstream, Amount: amount})
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b Load) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return all
}

// reportOf returns the loads that an instance reported.
func (l *Loads) reportOf(instance coltsidentity.Instance) []Load {
	s := &l.shards[coltsshard.Of(instance)]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports[instance].loads
}

// sweep removes the reports that have expired, at most once in each loadSweepPeriod.
func (l *Loads) sweep(now time.Time) {
	l.sweepMu.Lock()
	due := !now.Before(l.sweepAt)
	if due {
		l.sweepAt = now.Add(loadSweepPeriod)
	}
	l.sweepMu.Unlock()
	if !due {
		return
	}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for from, report := range s.reports {
			if !now.Before(report.expiresAt) {
				l.add(report.loads, -1)
				delete(s.reports, from)
			}
		}
		s.mu.Unlock()
	}
}

// quietEvidence is what the fresh reports say about one upstream: when any instance last heard from
// it, and how many have been waiting for quietAfter.
type quietEvidence struct {
	heardAt time.Time
	waiting int
}

// Quiet returns the upstreams from which several instances have been waiting for an answer, and none
// has heard, for quietAfter. An upstream that has lost its network sends nothing on any connection, while one that
// works sends events to some caller all the time.
func (l *Loads) Quiet(now time.Time) []coltsidentity.Upstream {
	evidence := map[coltsidentity.Upstream]quietEvidence{}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, report := range s.reports {
			if !now.Before(report.freshUntil) {
				continue
			}
			for _, load := range report.loads {
				e := evidence[load.Upstream]
				if now.Sub(load.WaitingSince) >= quietAfter {
					e.waiting++
				}
				if load.HeardAt.After(e.heardAt) {
					e.heardAt = load.HeardAt
				}
				evidence[load.Upstream] = e
			}
		}
		s.mu.Unlock()
	}
	var quiet []coltsidentity.Upstream
	for upstream, e := range evidence {
		if e.waiting >= quietInstances && now.Sub(e.heardAt) >= quietAfter {
			quiet = append(quiet, upstream)
		}
	}
	slices.Sort(quiet)
	return quiet
}

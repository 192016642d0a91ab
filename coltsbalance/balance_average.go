package coltsbalance

// The loads that control reports are 50 to 200 ms old. Requests to application servers end sooner, so an
// old load says little about the load now, and instances that all follow the same figure send to the same
// upstream in turns. The average over a longer time still shows which upstreams are slow, and differs
// little between two reports. Prompts run longer than the reports are old: their newest load counts.

import (
	"math"
	"time"
)

// LoadEstimate is the way in which the load of the other instances at an upstream is estimated.
type LoadEstimate string

// The estimates.
const (
	// EstimateNewest takes the newest reported load.
	EstimateNewest LoadEstimate = "newest"
	// EstimateAveraged takes the moving average of the reported loads where the load is counted in
	// requests, and the newest one where it is counted in KV cache tokens.
	EstimateAveraged LoadEstimate = "averaged"
)

// LoadEstimates returns the names of all estimates.
func LoadEstimates() []string { return []string{string(EstimateNewest), string(EstimateAveraged)} }

// loadMeanTime is the time constant of the average: ten report intervals, so that a single report counts
// for a tenth, and an upstream that turns slow is noticed within a second.
const loadMeanTime = time.Second

const (
	// shareExponent is the power of an upstream's load with which its share of the requests falls.
	shareExponent = 2
	// shareSteps is the resolution of a random draw.
	shareSteps = 1 << 20
)

// loadMean is an exponential moving average over time.
type loadMean struct {
	value float64
	// at is when the last amount was added; zero before the first one.
	at time.Time
}

// add takes an amount into account that was reported at now.
func (m *loadMean) add(amount float64, now time.Time) {
	if m.at.IsZero() || now.Sub(m.at) > peerLoadTTL {
		m.value, m.at = amount, now
		return
	}
	m.value += (1 - math.Exp(-float64(now.Sub(m.at))/float64(loadMeanTime))) * (amount - m.value)
	m.at = now
}

// estimatedLoad returns the load of all instances at an upstream, as far as it matters for a demand.
func (b *Balancer) estimatedLoad(u *upstream, d Demand, now time.Time) float64 {
	if b.averages(d) && now.Before(u.peerLoadUntil) {
		return u.load + u.peerMean.value
	}
	return u.totalLoad(now)
}

// averages reports whether averages count for a demand: its load is counted in requests, and not in KV
// cache tokens.
func (b *Balancer) averages(d Demand) bool {
	return b.cfg.LoadEstimate == EstimateAveraged && d.Weight == 1 && d.Capacity == 1
}

// pickByShare returns the index of a candidate drawn at random, with a probability that falls with its
// load. All instances that took the least loaded one would send to the same upstream until its average
// has risen; drawn in proportion, an upstream that is twice as loaded gets a quarter as many requests.
func (b *Balancer) pickByShare(candidates []candidate) int {
	shares := make([]float64, len(candidates))
	sum := 0.0
	for i, c := range candidates {
		shares[i] = math.Pow(1+c.load, -shareExponent)
		sum += shares[i]
	}
	point := sum * float64(b.cfg.Random(shareSteps)) / shareSteps
	for i, share := range shares {
		if point -= share; point < 0 {
			return i
		}
	}
	return len(candidates) - 1
}

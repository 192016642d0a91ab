package coltsattempt

// Retries are paid for by first attempts: each first attempt adds a share of a
// token and each retry takes a whole one. When upstreams fail in numbers, the
// added load stays at that share instead of multiplying it.

import (
	"sync"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// budgetUnit is one retry, in the budget's own units.
	budgetUnit = 100
	// budgetPerRequest is what a first attempt adds: a tenth of a retry.
	budgetPerRequest = 10
	// budgetMax is the most that an organisation can have saved up.
	budgetMax = 20 * budgetUnit
	// budgetInitial lets an organisation retry before it has sent much.
	budgetInitial = 10 * budgetUnit
)

// Budget bounds the retries of each organisation.
type Budget struct {
	shards [coltsshard.Count]budgetShard
}

type budgetShard struct {
	mu    sync.Mutex
	saved map[coltsidentity.Organisation]int
}

// NewBudget returns a budget in which each organisation has a small start.
func NewBudget() *Budget {
	b := &Budget{}
	for i := range b.shards {
		b.shards[i].saved = map[coltsidentity.Organisation]int{}
	}
	return b
}

// Earn adds what a first attempt is worth.
func (b *Budget) Earn(org coltsidentity.Organisation) {
	s := &b.shards[coltsshard.Of(org)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved[org] = min(budgetMax, s.get(org)+budgetPerRequest)
}

// Spend takes one retry and says whether there was one.
func (b *Budget) Spend(org coltsidentity.Organisation) bool {
	s := &b.shards[coltsshard.Of(org)]
	s.mu.Lock()
	defer s.mu.Unlock()
	saved := s.get(org)
	if saved < budgetUnit {
		return false
	}
	s.saved[org] = saved - budgetUnit
	return true
}

func (s *budgetShard) get(org coltsidentity.Organisation) int {
	saved, known := s.saved[org]
	if !known {
		return budgetInitial
	}
	return saved
}

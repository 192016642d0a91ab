package coltsattempt

// Each organisation has a token bucket of retries: a first attempt adds a fraction of a
// token and a retry takes a whole one. When many upstreams fail, retries add only that
// fraction to the load instead of multiplying it.

import (
	"sync"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

const (
	// retryCost is the cost of one retry, in the units of a balance: hundredths of a retry.
	retryCost = 100
	// requestCredit is what a first attempt adds to the balance: a tenth of a retry.
	requestCredit = 10
	// maxBalance is the highest balance of an organisation: 20 retries.
	maxBalance = 20 * retryCost
	// initialBalance allows an organisation 10 retries before it has sent many requests.
	initialBalance = 10 * retryCost
)

// RetryBudget limits the retries of each organisation. It is safe for concurrent use.
type RetryBudget struct {
	shards [coltsshard.Count]budgetShard
}

type budgetShard struct {
	mu       sync.Mutex
	balances map[coltsidentity.Organisation]int
}

// NewRetryBudget returns a budget in which each organisation starts with a few retries.
func NewRetryBudget() *RetryBudget {
	b := &RetryBudget{}
	for i := range b.shards {
		b.shards[i].balances = map[coltsidentity.Organisation]int{}
	}
	return b
}

// Earn adds the credit for a first attempt of an organisation.
func (b *RetryBudget) Earn(org coltsidentity.Organisation) {
	s := &b.shards[coltsshard.Of(org)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balances[org] = min(maxBalance, s.balance(org)+requestCredit)
}

// Spend takes one retry from an organisation's balance and reports whether there was one.
func (b *RetryBudget) Spend(org coltsidentity.Organisation) bool {
	s := &b.shards[coltsshard.Of(org)]
	s.mu.Lock()
	defer s.mu.Unlock()
	balance := s.balance(org)
	if balance < retryCost {
		return false
	}
	s.balances[org] = balance - retryCost
	return true
}

func (s *budgetShard) balance(org coltsidentity.Organisation) int {
	balance, found := s.balances[org]
	if !found {
		return initialBalance
	}
	return balance
}

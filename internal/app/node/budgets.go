package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/retry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// budgetTable holds the retry budget of each pool. It is safe for concurrent use.
type budgetTable struct {
	mutex   sync.Mutex
	random  *rand.Rand
	budgets map[port.PoolName]*retry.Budget
}

func newBudgetTable(seed uint64) *budgetTable {
	return &budgetTable{
		random:  rand.New(rand.NewPCG(seed, 1)),
		budgets: make(map[port.PoolName]*retry.Budget),
	}
}

func (t *budgetTable) of(pool *port.Pool, now time.Time) *retry.Budget {
	budget := t.budgets[pool.Name]
	if budget == nil {
		budget = retry.NewBudget(pool.Retry.BudgetRatio, now)
		t.budgets[pool.Name] = budget
	}
	budget.SetRatio(pool.Retry.BudgetRatio)
	return budget
}

// succeeded adds a successful request to the pool's retry budget.
func (t *budgetTable) succeeded(pool *port.Pool) {
	now := time.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.of(pool, now).Success(now)
}

// decide decides whether a failed attempt is retried.
func (t *budgetTable) decide(pool *port.Pool, attempt retry.Attempt) retry.Decision {
	now := time.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return retry.FromConfiguration(pool.Retry).Decide(now, attempt, t.of(pool, now), t.random)
}

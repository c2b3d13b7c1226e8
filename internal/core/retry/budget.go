package retry

import "time"

// Parameters of a budget, in retries.
const (
	floorRate            = 0.2 // per second
	floorCapacity        = 3.0
	budgetCapacity       = 100.0
	initialBalance       = floorCapacity
	nanosecondsPerSecond = float64(time.Second)
	retryCost            = 1.0
	balanceTolerance     = 1e-9
)

// Budget limits the retries of one route to a share of its successes. A small floor allows a
// route without successes to retry occasionally. The zero value is not usable.
type Budget struct {
	ratio      float64
	balance    float64
	lastRefill time.Time
}

// NewBudget returns a budget in which each success earns ratio retries.
func NewBudget(ratio float64, now time.Time) *Budget {
	return &Budget{ratio: max(ratio, 0), balance: initialBalance, lastRefill: now}
}

// SetRatio sets the number of retries that each success earns.
func (b *Budget) SetRatio(ratio float64) { b.ratio = max(ratio, 0) }

// Success adds the retries earned by one success.
func (b *Budget) Success(now time.Time) {
	b.refillFloor(now)
	b.balance = min(b.balance+b.ratio, budgetCapacity)
}

// Withdraw removes one retry from the budget and reports whether there was one.
func (b *Budget) Withdraw(now time.Time) bool {
	b.refillFloor(now)
	if b.balance < retryCost-balanceTolerance {
		return false
	}
	b.balance = max(b.balance-retryCost, 0)
	return true
}

// Balance returns the number of available retries.
func (b *Budget) Balance() float64 { return b.balance }

// refillFloor adds the floor for the elapsed time, up to its capacity. A clock that goes
// back adds nothing and restarts the measurement.
func (b *Budget) refillFloor(now time.Time) {
	elapsed := now.Sub(b.lastRefill)
	b.lastRefill = now
	if elapsed > 0 && b.balance < floorCapacity {
		earned := floorRate * float64(elapsed) / nanosecondsPerSecond
		b.balance = min(b.balance+earned, floorCapacity)
	}
}

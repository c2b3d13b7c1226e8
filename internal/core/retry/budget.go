package retry

import "time"

// Floor and capacity of a budget, in retries.
const (
	floorPerSecond   = 0.2
	floorCapacity    = 3.0
	budgetCapacity   = 100.0
	startingBalance  = floorCapacity
	nanosPerSecond   = float64(time.Second)
	retryCost        = 1.0
	smallestMeasured = 1e-9
)

// Budget bounds the retries of one route to a share of its successes. A small
// floor lets a quiet route retry now and then. The zero value is not usable.
type Budget struct {
	ratio   float64
	balance float64
	refill  time.Time
}

// NewBudget makes a budget in which each success earns ratio retries.
func NewBudget(ratio float64, now time.Time) *Budget {
	return &Budget{ratio: max(ratio, 0), balance: startingBalance, refill: now}
}

// SetRatio changes the share of successes that retries may spend.
func (b *Budget) SetRatio(ratio float64) { b.ratio = max(ratio, 0) }

// Success earns a share of a retry.
func (b *Budget) Success(now time.Time) {
	b.addFloor(now)
	b.balance = min(b.balance+b.ratio, budgetCapacity)
}

// Withdraw takes one retry from the budget, or reports that there is none.
func (b *Budget) Withdraw(now time.Time) bool {
	b.addFloor(now)
	if b.balance < retryCost-smallestMeasured {
		return false
	}
	b.balance = max(b.balance-retryCost, 0)
	return true
}

// Balance gives the retries left.
func (b *Budget) Balance() float64 { return b.balance }

// addFloor earns the floor for the time gone by, up to the floor's capacity. A
// clock that goes back earns nothing, and time counts from there on.
func (b *Budget) addFloor(now time.Time) {
	elapsed := now.Sub(b.refill)
	b.refill = now
	if elapsed > 0 && b.balance < floorCapacity {
		earned := floorPerSecond * float64(elapsed) / nanosPerSecond
		b.balance = min(b.balance+earned, floorCapacity)
	}
}

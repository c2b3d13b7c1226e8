package rollout

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// StagingTurn lets one of the rollouts that share a set of engines stage at a
// time. An engine keeps few staged versions and drops the oldest for a new one,
// so that rollouts which stage side by side and wait for all replicas would take
// each other's staged weights away for ever.
//
// The turn ends with the switch, since activated weights need no staging place.
// Rollouts that wait follow in the order in which they asked. It is not safe for
// concurrent use.
type StagingTurn struct {
	holder  port.PoolName
	until   time.Time
	waiting []port.PoolName
}

// take asks for the turn and says whether the pool has it. A turn lasts at most
// the given time while others wait, so that a pool whose weights can't be
// fetched holds up no other one.
func (t *StagingTurn) take(now time.Time, pool port.PoolName, length time.Duration) bool {
	if t.holder != "" && !now.Before(t.until) && len(t.waiting) > 0 {
		t.pass(t.holder)
	}
	if t.holder == pool {
		return true
	}
	if !slices.Contains(t.waiting, pool) {
		t.waiting = append(t.waiting, pool)
	}
	if t.holder != "" || t.waiting[0] != pool {
		return false
	}
	t.waiting = t.waiting[1:]
	t.holder, t.until = pool, now.Add(length)
	return true
}

// pass ends the pool's turn or takes it out of those that wait.
func (t *StagingTurn) pass(pool port.PoolName) {
	if t.holder == pool {
		t.holder = ""
	}
	t.waiting = slices.DeleteFunc(t.waiting, func(waiting port.PoolName) bool { return waiting == pool })
}

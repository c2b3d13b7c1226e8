package rollout

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// StagingLock is a lock that lets only one of the rollouts on the same engines stage at
// a time. An engine keeps few staged versions and evicts the oldest for a new one, so
// rollouts staging concurrently would evict each other's weights forever.
//
// A rollout releases the turn at the switch, since activated weights occupy no staging
// slot. Waiting rollouts acquire it in the order of their requests. It is not safe for
// concurrent use.
type StagingLock struct {
	holder  port.PoolName
	expires time.Time
	waiting []port.PoolName
}

// acquire requests the turn and reports whether the pool holds it. While others wait, a
// pool holds the turn for at most the given time, so that a pool whose weights cannot be
// fetched does not block the others.
func (t *StagingLock) acquire(now time.Time, pool port.PoolName, duration time.Duration) bool {
	if t.holder != "" && !now.Before(t.expires) && len(t.waiting) > 0 {
		t.release(t.holder)
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
	t.holder, t.expires = pool, now.Add(duration)
	return true
}

// release ends the pool's turn or removes it from the waiting pools.
func (t *StagingLock) release(pool port.PoolName) {
	if t.holder == pool {
		t.holder = ""
	}
	t.waiting = slices.DeleteFunc(t.waiting, func(waiting port.PoolName) bool { return waiting == pool })
}

package rollout

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// StagingLock is a lock that lets only one of the rollouts on the same engines stage at
// a time. An engine stores only a few staged versions and evicts the oldest for a new
// one, so rollouts staging concurrently would evict each other's weights forever.
//
// A rollout releases the lock at the switch, since activated weights occupy no staging
// slot. Waiting rollouts acquire it in the order of their requests. It is not safe for
// concurrent use.
type StagingLock struct {
	holder  port.PoolName
	expires time.Time
	waiting []port.PoolName
}

// acquire requests the lock and reports whether the pool holds it. While others wait, a
// pool holds the lock for at most the given time, so that a pool whose weights cannot be
// fetched does not block the others.
func (l *StagingLock) acquire(now time.Time, pool port.PoolName, duration time.Duration) bool {
	if l.holder != "" && !now.Before(l.expires) && len(l.waiting) > 0 {
		l.release(l.holder)
	}
	if l.holder == pool {
		return true
	}
	if !slices.Contains(l.waiting, pool) {
		l.waiting = append(l.waiting, pool)
	}
	if l.holder != "" || l.waiting[0] != pool {
		return false
	}
	l.waiting = l.waiting[1:]
	l.holder, l.expires = pool, now.Add(duration)
	return true
}

// release releases the lock if the pool holds it, and removes the pool from the waiting
// ones.
func (l *StagingLock) release(pool port.PoolName) {
	if l.holder == pool {
		l.holder = ""
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(waiting port.PoolName) bool { return waiting == pool })
}

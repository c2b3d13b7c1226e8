package sitecontrol

import (
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

const (
	// maxRecentUpdates limits the cached updates; most watchers are at the same few positions.
	maxRecentUpdates = 64
	// minPackedReplicas is the number of replicas from which an update is packed once for
	// all its watchers; packing smaller ones is cheaper than their frames.
	minPackedReplicas = 8
)

// updateKey identifies an update by the watcher's position and interest.
type updateKey struct {
	after    uint64
	interest sitestate.Interest
}

// recentUpdates caches recent updates, which watchers at the same position share. It is safe
// for concurrent use.
type recentUpdates struct {
	mutex   sync.Mutex
	updates map[updateKey]*recentUpdate
}

// recentUpdate is a cached update and its lazily packed form.
type recentUpdate struct {
	update    sitestate.Update
	createdAt time.Time
	once      sync.Once
	packed    []byte
}

// answer returns the message to send: a large update is packed, a small one is not.
func (u *recentUpdate) answer() siteview.WatchAnswer {
	if len(u.update.Replicas)+len(u.update.Removed) < minPackedReplicas {
		return siteview.WatchAnswer{Update: u.update}
	}
	u.once.Do(func() {
		packed, err := wire.MarshalCompressed(u.update)
		if err == nil {
			u.packed = packed
		}
	})
	if len(u.packed) == 0 {
		return siteview.WatchAnswer{Update: u.update}
	}
	return siteview.WatchAnswer{Packed: u.packed, Update: sitestate.Update{Position: u.update.Position}}
}

// get returns the cached update of a key if it is younger than maxAge, else a new one.
func (r *recentUpdates) get(key updateKey, maxAge time.Duration, build func() (sitestate.Update, error)) (*recentUpdate, error) {
	now := time.Now()
	r.mutex.Lock()
	cached := r.updates[key]
	r.mutex.Unlock()
	if cached != nil && now.Sub(cached.createdAt) < maxAge {
		return cached, nil
	}
	update, err := build()
	if err != nil {
		return nil, err
	}
	created := &recentUpdate{update: update, createdAt: now}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.updates == nil || len(r.updates) >= maxRecentUpdates {
		r.updates = map[updateKey]*recentUpdate{}
	}
	r.updates[key] = created
	return created, nil
}

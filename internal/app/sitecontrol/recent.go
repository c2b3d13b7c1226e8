package sitecontrol

import (
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

const (
	// maxRecent bounds the updates that are held; watchers are at few positions.
	maxRecent = 64
	// leastShared is from how many replicas on an update is packed once for all who get it:
	// with fewer, packing each is less than a frame's own cost.
	leastShared = 8
)

// newsKey is what a watcher lacks.
type newsKey struct {
	after    uint64
	interest sitestate.Interest
}

// recentUpdates holds updates that were made a moment ago: watchers that are at the same
// position share one. It is safe for concurrent use.
type recentUpdates struct {
	mutex   sync.Mutex
	updates map[newsKey]*recentUpdate
}

// recentUpdate is an update for several watchers.
type recentUpdate struct {
	update sitestate.Update
	madeAt time.Time
	once   sync.Once
	packed []byte
}

// answer gives what is sent of it: a large one packed, ahead of one that says its position.
func (u *recentUpdate) answer() siteview.WatchAnswer {
	if len(u.update.Replicas)+len(u.update.Removed) < leastShared {
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
	return siteview.WatchAnswer{Whole: u.packed, Update: sitestate.Update{Position: u.update.Position}}
}

// get gives the update of a key, made less than so long ago, or makes it.
func (r *recentUpdates) get(key newsKey, fresh time.Duration, build func() (sitestate.Update, error)) (*recentUpdate, error) {
	now := time.Now()
	r.mutex.Lock()
	held := r.updates[key]
	r.mutex.Unlock()
	if held != nil && now.Sub(held.madeAt) < fresh {
		return held, nil
	}
	update, err := build()
	if err != nil {
		return nil, err
	}
	made := &recentUpdate{update: update, madeAt: now}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.updates == nil || len(r.updates) >= maxRecent {
		r.updates = map[newsKey]*recentUpdate{}
	}
	r.updates[key] = made
	return made, nil
}

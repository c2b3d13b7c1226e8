package sitecontrol

import (
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// maxRecent bounds the updates that are held; watchers are at few positions.
const maxRecent = 64

// newsKey is what a watcher lacks.
type newsKey struct {
	after    uint64
	interest sitestate.Interest
}

// recentUpdates holds updates that were made a moment ago: watchers that are at the same
// position share one. It is safe for concurrent use.
type recentUpdates struct {
	mutex   sync.Mutex
	updates map[newsKey]recentUpdate
}

type recentUpdate struct {
	update sitestate.Update
	madeAt time.Time
}

// get gives the update of a key, made less than so long ago, or makes it.
func (r *recentUpdates) get(key newsKey, fresh time.Duration, make func() (sitestate.Update, error)) (sitestate.Update, error) {
	now := time.Now()
	r.mutex.Lock()
	held, known := r.updates[key]
	r.mutex.Unlock()
	if known && now.Sub(held.madeAt) < fresh {
		return held.update, nil
	}
	update, err := make()
	if err != nil {
		return sitestate.Update{}, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.updates == nil || len(r.updates) >= maxRecent {
		r.updates = map[newsKey]recentUpdate{}
	}
	r.updates[key] = recentUpdate{update: update, madeAt: now}
	return update, nil
}

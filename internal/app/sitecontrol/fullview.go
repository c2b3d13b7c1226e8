package sitecontrol

import (
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// fullViewTTL is how long a full view is sent to new watchers, together with the changes
// since. After a failure of all power, hundreds of watchers start within a second.
const fullViewTTL = 2 * time.Second

// fullView caches the packed state that is sent to new watchers. It is safe for concurrent
// use; concurrent callers share one packing.
type fullView struct {
	mutex     sync.Mutex
	position  uint64
	packed    []byte
	createdAt time.Time
}

// get returns the packed state of the view, or a cached one younger than fullViewTTL, and
// its position.
func (w *fullView) get(view *sitestate.View, now time.Time) (packed []byte, position uint64, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.packed != nil && now.Sub(w.createdAt) < fullViewTTL && w.position <= view.Position {
		return w.packed, w.position, nil
	}
	packed, err = wire.MarshalCompressed(view.Update())
	if err != nil {
		return nil, 0, err
	}
	w.packed, w.position, w.createdAt = packed, view.Position, now
	return packed, view.Position, nil
}

package sitecontrol

import (
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// wholeFor is how long a whole state is sent to watchers that begin: what has changed
// since goes with it. After a loss of all power hundreds begin within a second.
const wholeFor = 2 * time.Second

// wholeView holds the state of one position as it is sent to watchers that begin. It is
// safe for concurrent use: of several that need it one makes it.
type wholeView struct {
	mutex    sync.Mutex
	position uint64
	packed   []byte
	madeAt   time.Time
}

// get gives the packed state of the view, or of one that was made less than wholeFor ago,
// and its position.
func (w *wholeView) get(view *sitestate.View, now time.Time) (packed []byte, position uint64, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.packed != nil && now.Sub(w.madeAt) < wholeFor && w.position <= view.Position {
		return w.packed, w.position, nil
	}
	packed, err = wire.MarshalCompressed(view.Update())
	if err != nil {
		return nil, 0, err
	}
	w.packed, w.position, w.madeAt = packed, view.Position, now
	return packed, view.Position, nil
}

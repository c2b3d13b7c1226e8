package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/port"
)

// watchPause is the wait before a broken watch is taken up again.
const watchPause = 200 * time.Millisecond

// watch follows the control state until the node stops. A gap starts the watch
// anew at the observer's position.
func (n *Node) watch() {
	var after uint64
	for n.background.Err() == nil {
		ctx, cancel := context.WithCancel(n.background)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = n.config.Control.Watch(ctx, after, func(update port.ViewUpdate) { n.postWaiting(viewUpdate{update}) })
		}()
		select {
		case after = <-n.rewatch:
		case <-ended:
			after = n.snapshot.Load().View.Position
		case <-n.background.Done():
		}
		cancel()
		<-ended
		select {
		case <-time.After(watchPause):
		case <-n.background.Done():
		}
	}
}

// restartWatch asks for the updates after a position again.
func (n *Node) restartWatch(after uint64) {
	select {
	case n.rewatch <- after:
	default:
	}
}

// confirmed says whether the configuration lease holds. It is over by the clock that counts
// suspended time, and does not follow the time of day.
func (n *Node) confirmed() bool {
	return int64(boottime.Now()) < n.confirmedUntil.Load()
}

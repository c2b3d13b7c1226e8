package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/port"
)

// watchRetryDelay is the delay before an ended watch is restarted.
const watchRetryDelay = 200 * time.Millisecond

// watch applies updates of the control state until the node stops. After a gap in the
// updates it restarts at the position of the node's state.
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
		case <-time.After(watchRetryDelay):
		case <-n.background.Done():
		}
	}
}

// restartWatch restarts the watch after a position.
func (n *Node) restartWatch(after uint64) {
	select {
	case n.rewatch <- after:
	default:
	}
}

// confirmed reports whether the configuration lease is valid. The lease expires by the
// boot time clock, which includes suspended time and ignores wall clock changes.
func (n *Node) confirmed() bool {
	return int64(boottime.Now()) < n.confirmedUntil.Load()
}

package node

import "context"

// spawn runs a short background task, which is cancelled when the node stops.
func (n *Node) spawn(work func(ctx context.Context)) {
	n.work.Go(func() {
		ctx, cancel := context.WithTimeout(n.background, n.config.Intervals.CallTimeout)
		defer cancel()
		work(ctx)
	})
}

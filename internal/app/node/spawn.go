package node

import "context"

// spawn runs a short piece of background work that ends with the node.
func (n *Node) spawn(work func(ctx context.Context)) {
	n.work.Go(func() {
		ctx, cancel := context.WithTimeout(n.background, n.config.Intervals.CallTimeout)
		defer cancel()
		work(ctx)
	})
}

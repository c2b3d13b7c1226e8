package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/port"
)

// report tells control about this node when it is time. The call runs on a
// traffic goroutine; one that is still under way puts the next one off.
func (c *controller) report(now time.Time) {
	if now.Sub(c.lastReport) < c.node.config.Intervals.Report || !c.node.reporting.CompareAndSwap(false, true) {
		return
	}
	c.lastReport = now
	view := c.observer.View()
	counts := c.serving(now)
	c.node.serving.Store(&counts)
	report := port.NodeReport{
		Node:     c.node.address(c.draining),
		Position: view.Position,
		Revision: view.Revision,
		Serving:  counts,
	}
	c.node.work.Go(func() {
		defer c.node.reporting.Store(false)
		asking, cancel := context.WithTimeout(c.node.background, c.node.config.Intervals.CallTimeout)
		defer cancel()
		_ = c.node.config.Control.Report(asking, report)
	})
}

// serving counts the own home replicas by pool and version.
func (c *controller) serving(now time.Time) []port.ServingCount {
	records := func(yield func(*home.Record) bool) {
		for _, held := range c.homes {
			if !yield(&held.Record) {
				return
			}
		}
	}
	return home.Serving(now, c.observer.View().Configuration.Pools, records)
}

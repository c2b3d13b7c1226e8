package node

import (
	"cmp"
	"context"
	"slices"
	"time"

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
	var counts []port.ServingCount
	for _, held := range c.homes {
		if !held.Polled {
			continue
		}
		version := held.Version(now)
		index := slices.IndexFunc(counts, func(count port.ServingCount) bool {
			return count.Pool == held.Replica.Pool && count.Version == version
		})
		if index < 0 {
			counts = append(counts, port.ServingCount{Pool: held.Replica.Pool, Version: version})
			index = len(counts) - 1
		}
		counts[index].Replicas++
	}
	slices.SortFunc(counts, func(a, b port.ServingCount) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Version, b.Version))
	})
	return counts
}

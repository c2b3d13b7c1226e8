package controlmember

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// NodeTimeouts tracks the last report of each node at the leader. The zero value is
// ready for use.
type NodeTimeouts struct {
	lastReport map[port.NodeID]time.Time
}

// Reset clears the reports. The caller calls it while the member is not the leader.
func (w *NodeTimeouts) Reset() { w.lastReport = nil }

// TimedOut returns the registered nodes without a report for the timeout. ages holds the
// times since the nodes' last reports. For a new leader or a newly registered node, the
// timeout starts now.
func (w *NodeTimeouts) TimedOut(nodes []port.NodeAddress, ages map[port.NodeID]time.Duration, now time.Time, timeout time.Duration) []port.NodeID {
	reports := make(map[port.NodeID]time.Time, len(nodes))
	var silent []port.NodeID
	for _, node := range nodes {
		last, known := w.lastReport[node.ID]
		if !known {
			last = now
		}
		if age, reported := ages[node.ID]; reported && now.Add(-age).After(last) {
			last = now.Add(-age)
		}
		reports[node.ID] = last
		if now.Sub(last) >= timeout {
			silent = append(silent, node.ID)
		}
	}
	w.lastReport = reports
	return silent
}

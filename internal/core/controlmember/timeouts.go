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
func (t *NodeTimeouts) Reset() { t.lastReport = nil }

// TimedOut returns the registered nodes without a report for the timeout. ages holds the
// times since the nodes' last reports. For a new leader or a newly registered node, the
// timeout starts now.
func (t *NodeTimeouts) TimedOut(nodes []port.NodeAddress, ages map[port.NodeID]time.Duration, now time.Time, timeout time.Duration) []port.NodeID {
	reports := make(map[port.NodeID]time.Time, len(nodes))
	var timedOut []port.NodeID
	for _, node := range nodes {
		last, found := t.lastReport[node.ID]
		if !found {
			last = now
		}
		if age, reported := ages[node.ID]; reported && now.Add(-age).After(last) {
			last = now.Add(-age)
		}
		reports[node.ID] = last
		if now.Sub(last) >= timeout {
			timedOut = append(timedOut, node.ID)
		}
	}
	t.lastReport = reports
	return timedOut
}

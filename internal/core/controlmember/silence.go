package controlmember

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// SilenceWatcher knows since when the leader has heard nothing of a node. The
// zero value is ready for use.
type SilenceWatcher struct {
	lastHeard map[port.NodeID]time.Time
}

// Reset forgets everything: the member does not lead.
func (w *SilenceWatcher) Reset() { w.lastHeard = nil }

// Silent gives the registered nodes that no member heard of for the timeout.
// Ages are the times since the last reports. A leader that is new, or a node
// that just registered, starts from now.
func (w *SilenceWatcher) Silent(nodes []port.NodeAddress, ages map[port.NodeID]time.Duration, now time.Time, timeout time.Duration) []port.NodeID {
	heard := make(map[port.NodeID]time.Time, len(nodes))
	var silent []port.NodeID
	for _, node := range nodes {
		last, known := w.lastHeard[node.ID]
		if !known {
			last = now
		}
		if age, reported := ages[node.ID]; reported && now.Add(-age).After(last) {
			last = now.Add(-age)
		}
		heard[node.ID] = last
		if now.Sub(last) >= timeout {
			silent = append(silent, node.ID)
		}
	}
	w.lastHeard = heard
	return silent
}

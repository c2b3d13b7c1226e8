package nodestate

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// pollersPerZone is the number of nodes of a zone that poll the machine list
	// and send it to the others, so that its load doesn't grow with the zone.
	pollersPerZone = 2
	// pollChecksPerInterval is the number of times in a poll interval that a node
	// checks whether it has to poll.
	pollChecksPerInterval = 4
	// maxListAge is the age of the newest list received, in poll intervals, at which
	// a node polls by itself. Waiting for the failure detector to report dead pollers
	// would send requests to leaving back ends for too long.
	maxListAge = 1.25
)

// MachinePollCheckInterval returns the time between two calls of ShouldPollMachines.
func MachinePollCheckInterval(interval time.Duration) time.Duration {
	return interval / pollChecksPerInterval
}

// ShouldPollMachines reports whether the node has to poll the machine list now: a poll
// interval has passed since its last poll, sent at polledAt, and it is one of the
// zone's pollers or the newest list, received at receivedAt, is too old.
func ShouldPollMachines(now time.Time, interval time.Duration, zoneNodes []port.NodeID, self port.NodeID, polledAt, receivedAt time.Time) bool {
	if now.Sub(polledAt) < interval {
		return false
	}
	maxAge := time.Duration(maxListAge * float64(interval))
	return now.Sub(receivedAt) >= maxAge || isPoller(zoneNodes, self)
}

// isPoller reports whether the node is among the first pollersPerZone live nodes of
// its zone by rendezvous hashing, or the zone has no more nodes than that.
func isPoller(zoneNodes []port.NodeID, self port.NodeID) bool {
	nodes := slices.Clone(zoneNodes)
	for range pollersPerZone {
		id, found := membership.NewAssigner(nodes).HomeOf("machine-list")
		if !found || id == self {
			return true
		}
		nodes = slices.DeleteFunc(nodes, func(node port.NodeID) bool { return node == id })
	}
	return len(nodes) == 0
}

// HandleMachines handles the machine list received from a poller.
func (s *State) HandleMachines(now time.Time, message MachinesMessage) {
	if s.leaving.Update(now, message.Node, message.Leaving) {
		s.resetPacing()
		s.updateDetectorMachines()
	}
}

// machineListTimeout is how long a node that just started waits for the machine
// list before it routes requests without it.
const machineListTimeout = 2 * time.Second

// mayRoute reports whether requests may be routed. Before the first machine list, a
// node doesn't know which back ends are leaving.
func (s *State) mayRoute(now time.Time) bool {
	view := s.observer.View()
	if view.Configuration.MachineList == "" || !s.leaving.LastUpdate().IsZero() {
		return true
	}
	if s.machineListAwaitedSince.IsZero() {
		s.machineListAwaitedSince = now
	}
	return now.Sub(s.machineListAwaitedSince) >= machineListTimeout
}

// MachinesReceivedAt returns when the newest machine list was received; zero means never.
func (s *State) MachinesReceivedAt() time.Time { return s.leaving.LastUpdate() }

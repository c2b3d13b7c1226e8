package nodestate

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// pollersPerZone is the number of nodes of a zone that poll the machine list
	// and tell the others, so that the load on the list doesn't grow with the zone.
	pollersPerZone = 2
	// machineLooks is the number of times in a poll interval that a node looks
	// whether it has to poll.
	machineLooks = 4
	// wordAge is the age of the newest word of the pollers, in poll intervals,
	// from which a node polls itself: it may be cut off from them, or they may
	// have died, and the failure detector takes longer to say so than a leaving
	// back end may get new work.
	wordAge = 1.25
)

// MachineLook gives the time between two calls of PollsMachines.
func MachineLook(interval time.Duration) time.Duration { return interval / machineLooks }

// PollsMachines says whether a node has to ask the machine list now. It is one of
// its zone's pollers and asked last an interval ago, or the pollers are silent.
// Asked is when the node asked last, heard when it last had word of the list.
func PollsMachines(now time.Time, interval time.Duration, zoneNodes []port.NodeID, self port.NodeID, asked, heard time.Time) bool {
	if now.Sub(asked) < interval {
		return false
	}
	silence := time.Duration(wordAge * float64(interval))
	return now.Sub(heard) >= silence || isPoller(zoneNodes, self)
}

// isPoller says whether a node is among the first of its zone's live nodes by
// rendezvous, or the zone has too few.
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

// Machines takes what a poller of the machine list tells.
func (s *State) Machines(now time.Time, message MachinesMessage) {
	if s.leaving.Told(now, message.Node, message.Leaving) {
		s.urgent()
		s.tellDetector()
	}
}

// listPatience is how long a node that started waits for word of the machine list
// before it serves without.
const listPatience = 2 * time.Second

// mayRoute says whether requests may be routed: a node that just started doesn't
// know which back ends leave until it heard of the machine list.
func (s *State) mayRoute(now time.Time) bool {
	view := s.observer.View()
	if view.Configuration.MachineList == "" || !s.leaving.Newest().IsZero() {
		return true
	}
	if s.listWanted.IsZero() {
		s.listWanted = now
	}
	return now.Sub(s.listWanted) >= listPatience
}

// MachinesHeard gives when word of the machine list last came; the zero time
// means never.
func (s *State) MachinesHeard() time.Time { return s.leaving.Newest() }

package nodestate

import (
	"slices"
	"sync"

	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// HomeTable says which node is the home of each replica. Within the own zone it
// follows the failure detector, for other zones the view's list of nodes. It is
// safe for use by many goroutines.
type HomeTable struct {
	own   port.ZoneName
	nodes []port.NodeAddress
	live  []port.NodeID
	// byZone assigns over the nodes of each zone that has some.
	byZone map[port.ZoneName]*membership.Assigner
	// adopters chooses a zone with nodes for one that has none, so that a zone
	// that lost all its nodes isn't left without homes.
	adopters *membership.Assigner

	mutex sync.Mutex
	cache map[port.ReplicaID]port.NodeID
}

// NewHomeTable makes the table of a node of the own zone, from the nodes of the
// view and the live ones of the own zone.
func NewHomeTable(own port.ZoneName, nodes []port.NodeAddress, live []port.NodeID) *HomeTable {
	ids := make(map[port.ZoneName][]port.NodeID)
	for _, node := range nodes {
		if !node.Draining {
			ids[node.Zone] = append(ids[node.Zone], node.ID)
		}
	}
	if len(live) > 0 {
		ids[own] = live
	}
	table := &HomeTable{
		own: own, nodes: nodes, live: live,
		byZone: make(map[port.ZoneName]*membership.Assigner, len(ids)),
		cache:  make(map[port.ReplicaID]port.NodeID),
	}
	var names []port.NodeID
	for zone, members := range ids {
		table.byZone[zone] = membership.NewAssigner(members)
		names = append(names, port.NodeID(zone))
	}
	slices.Sort(names)
	table.adopters = membership.NewAssigner(names)
	return table
}

// holds says whether the table is still that of these nodes.
func (t *HomeTable) holds(nodes []port.NodeAddress, live []port.NodeID) bool {
	sameNodes := sameSlice(t.nodes, nodes) || slices.Equal(t.nodes, nodes)
	return sameNodes && (sameSlice(t.live, live) || slices.Equal(t.live, live))
}

// caretaker gives the zone whose nodes are homes of a zone's replicas.
func (t *HomeTable) caretaker(zone port.ZoneName) port.ZoneName {
	if t.byZone[zone] != nil {
		return zone
	}
	adopter, _ := t.adopters.HomeOf(string(zone))
	return port.ZoneName(adopter)
}

// Home gives the home of a replica; false means that there is no node.
func (t *HomeTable) Home(replica port.Replica) (port.NodeID, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known, cached := t.cache[replica.ID]; cached {
		return known, true
	}
	homes := t.byZone[t.caretaker(replica.Zone)]
	if homes == nil {
		return "", false
	}
	id, found := homes.Home(replica.ID)
	if found {
		t.cache[replica.ID] = id
	}
	return id, found
}

// Relay gives the node of a zone that relays what another zone tells of a pool.
func (t *HomeTable) Relay(zone, from port.ZoneName, pool port.PoolName) (port.NodeID, bool) {
	homes := t.byZone[zone]
	if homes == nil {
		return "", false
	}
	return homes.Relay(from, pool)
}

package nodestate

import (
	"slices"
	"sync"

	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// HomeTable maps each replica to its home. For the own zone it uses the live nodes of
// the failure detector, for other zones the nodes of the view. It is safe for
// concurrent use.
type HomeTable struct {
	own   port.ZoneName
	nodes []port.NodeAddress
	live  []port.NodeID
	// byZone assigns replicas to the nodes of each zone that has any.
	byZone map[port.ZoneName]*membership.Assigner
	// fallbackZones assigns a zone without nodes to one that has some.
	fallbackZones *membership.Assigner

	mutex sync.Mutex
	cache map[port.ReplicaID]port.NodeID
}

// NewHomeTable returns the table of a node in zone own, from the nodes of the view
// and the live nodes of the own zone.
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
	table.fallbackZones = membership.NewAssigner(names)
	return table
}

// matches reports whether the table was built from these nodes.
func (t *HomeTable) matches(nodes []port.NodeAddress, live []port.NodeID) bool {
	sameNodes := sameSlice(t.nodes, nodes) || slices.Equal(t.nodes, nodes)
	return sameNodes && (sameSlice(t.live, live) || slices.Equal(t.live, live))
}

// servingZone returns the zone whose nodes are the homes of a zone's replicas.
func (t *HomeTable) servingZone(zone port.ZoneName) port.ZoneName {
	if t.byZone[zone] != nil {
		return zone
	}
	fallback, _ := t.fallbackZones.HomeOf(string(zone))
	return port.ZoneName(fallback)
}

// Home returns the home of a replica; false means that no zone has nodes.
func (t *HomeTable) Home(replica port.Replica) (port.NodeID, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if id, cached := t.cache[replica.ID]; cached {
		return id, true
	}
	homes := t.byZone[t.servingZone(replica.Zone)]
	if homes == nil {
		return "", false
	}
	id, found := homes.Home(replica.ID)
	if found {
		t.cache[replica.ID] = id
	}
	return id, found
}

// Relay returns the node of a zone that relays another zone's aggregates of a pool.
func (t *HomeTable) Relay(zone, from port.ZoneName, pool port.PoolName) (port.NodeID, bool) {
	homes := t.byZone[zone]
	if homes == nil {
		return "", false
	}
	return homes.Relay(from, pool)
}

package node

import (
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// zoneTable says which zone's nodes look after the replicas of each zone: its
// own where it has nodes, and otherwise one chosen by rendezvous, so that a
// zone that lost all its nodes isn't left without homes.
type zoneTable struct {
	withNodes map[port.ZoneName]bool
	adopters  *membership.Assigner
}

func newZoneTable(nodes []port.NodeAddress) *zoneTable {
	table := &zoneTable{withNodes: make(map[port.ZoneName]bool)}
	for _, node := range nodes {
		if !node.Draining {
			table.withNodes[node.Zone] = true
		}
	}
	names := make([]port.NodeID, 0, len(table.withNodes))
	for zone := range table.withNodes {
		names = append(names, port.NodeID(zone))
	}
	slices.Sort(names)
	table.adopters = membership.NewAssigner(names)
	return table
}

// caretaker gives the zone whose nodes are homes of a zone's replicas.
func (t *zoneTable) caretaker(zone port.ZoneName) port.ZoneName {
	if t.withNodes[zone] {
		return zone
	}
	adopter, _ := t.adopters.HomeOf(string(zone))
	return port.ZoneName(adopter)
}

// aggregatorOf gives the node that speaks for a zone about a pool, as far as
// the view tells.
func aggregatorOf(view *port.View, zone port.ZoneName, pool port.PoolName) (port.NodeAddress, bool) {
	var ids []port.NodeID
	for _, node := range view.Nodes {
		if node.Zone == zone && !node.Draining {
			ids = append(ids, node.ID)
		}
	}
	id, found := membership.NewAssigner(ids).HomeOf(string(pool))
	if !found {
		return port.NodeAddress{}, false
	}
	return viewNode(view, id)
}

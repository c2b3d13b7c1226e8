package nodestate

import "github.com/loomgrade/loomgrade/internal/port"

// tables index the configuration and the nodes of a view. They are immutable and
// reused while a view changes neither.
type tables struct {
	pools       []port.Pool
	replicaList []port.Replica
	nodeList    []port.NodeAddress
	replicas    map[port.ReplicaID]port.Replica
	byPool      map[port.PoolName][]port.Replica
	nodes       map[port.NodeID]port.NodeAddress
	// byZone excludes draining nodes.
	byZone map[port.ZoneName][]port.NodeAddress
}

func newTables(view *port.View) *tables {
	result := &tables{
		pools: view.Configuration.Pools, replicaList: view.Configuration.Replicas, nodeList: view.Nodes,
		replicas: make(map[port.ReplicaID]port.Replica, len(view.Configuration.Replicas)),
		byPool:   make(map[port.PoolName][]port.Replica, len(view.Configuration.Pools)),
		nodes:    make(map[port.NodeID]port.NodeAddress, len(view.Nodes)),
		byZone:   make(map[port.ZoneName][]port.NodeAddress),
	}
	for _, replica := range view.Configuration.Replicas {
		result.replicas[replica.ID] = replica
		result.byPool[replica.Pool] = append(result.byPool[replica.Pool], replica)
	}
	for _, node := range view.Nodes {
		result.nodes[node.ID] = node
		if !node.Draining {
			result.byZone[node.Zone] = append(result.byZone[node.Zone], node)
		}
	}
	return result
}

// matches reports whether the tables were built from the view. Views share the slices
// that an update left unchanged.
func (t *tables) matches(view *port.View) bool {
	return sameSlice(t.pools, view.Configuration.Pools) && sameSlice(t.replicaList, view.Configuration.Replicas) && sameSlice(t.nodeList, view.Nodes)
}

// sameSlice reports whether two slices share their elements.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// ownedReplicas are the replicas that this node is the home of, computed from tables
// and homes.
type ownedReplicas struct {
	tables *tables
	homes  *HomeTable
	byID   map[port.ReplicaID]ownedReplica
	byPool map[port.PoolName][]port.Replica
}

// owned returns the replicas that this node is the home of.
func (s *State) owned() *ownedReplicas {
	if s.ownedCache != nil && s.ownedCache.tables == s.tables && s.ownedCache.homes == s.homes {
		return s.ownedCache
	}
	owned := &ownedReplicas{
		tables: s.tables, homes: s.homes,
		byID: make(map[port.ReplicaID]ownedReplica), byPool: make(map[port.PoolName][]port.Replica),
	}
	for index := range s.tables.pools {
		s.addOwnedReplicas(owned, &s.tables.pools[index])
	}
	s.ownedCache = owned
	return owned
}

// addOwnedReplicas adds the replicas of a pool that this node is the home of.
func (s *State) addOwnedReplicas(owned *ownedReplicas, pool *port.Pool) {
	for _, replica := range s.tables.byPool[pool.Name] {
		if s.homes.servingZone(replica.Zone) != s.config.Zone {
			continue
		}
		if home, found := s.homes.Home(replica); found && home == s.config.Self {
			owned.byID[replica.ID] = ownedReplica{replica: replica, polled: pool.Kind == port.PoolGeneration, gate: s.gate(pool)}
			owned.byPool[pool.Name] = append(owned.byPool[pool.Name], replica)
		}
	}
}

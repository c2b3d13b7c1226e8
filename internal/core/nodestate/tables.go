package nodestate

import "github.com/loomgrade/loomgrade/internal/port"

// tables hold what follows from the configuration and the nodes of a view. They
// are immutable, and stay while a view only brings other leases or weights.
type tables struct {
	pools    []port.Pool
	list     []port.Replica
	listed   []port.NodeAddress
	replicas map[port.ReplicaID]port.Replica
	byPool   map[port.PoolName][]port.Replica
	nodes    map[port.NodeID]port.NodeAddress
	// byZone leaves draining nodes out.
	byZone map[port.ZoneName][]port.NodeAddress
}

func newTables(view *port.View) *tables {
	made := &tables{
		pools: view.Configuration.Pools, list: view.Configuration.Replicas, listed: view.Nodes,
		replicas: make(map[port.ReplicaID]port.Replica, len(view.Configuration.Replicas)),
		byPool:   make(map[port.PoolName][]port.Replica, len(view.Configuration.Pools)),
		nodes:    make(map[port.NodeID]port.NodeAddress, len(view.Nodes)),
		byZone:   make(map[port.ZoneName][]port.NodeAddress),
	}
	for _, replica := range view.Configuration.Replicas {
		made.replicas[replica.ID] = replica
		made.byPool[replica.Pool] = append(made.byPool[replica.Pool], replica)
	}
	for _, node := range view.Nodes {
		made.nodes[node.ID] = node
		if !node.Draining {
			made.byZone[node.Zone] = append(made.byZone[node.Zone], node)
		}
	}
	return made
}

// holds says whether the tables are those of a view. Views share slices that no
// change has touched.
func (t *tables) holds(view *port.View) bool {
	return sameSlice(t.pools, view.Configuration.Pools) && sameSlice(t.list, view.Configuration.Replicas) && sameSlice(t.listed, view.Nodes)
}

// sameSlice says whether two slices are one.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// ownedReplicas are the replicas that this node is the home of, as long as the
// tables and the homes stay.
type ownedReplicas struct {
	tables *tables
	homes  *HomeTable
	byID   map[port.ReplicaID]ownedReplica
	byPool map[port.PoolName][]port.Replica
}

// owned lists the replicas that this node is the home of.
func (s *State) owned() *ownedReplicas {
	if s.ownedNow != nil && s.ownedNow.tables == s.tables && s.ownedNow.homes == s.homes {
		return s.ownedNow
	}
	owned := &ownedReplicas{
		tables: s.tables, homes: s.homes,
		byID: make(map[port.ReplicaID]ownedReplica), byPool: make(map[port.PoolName][]port.Replica),
	}
	for index := range s.tables.pools {
		s.ownPool(owned, &s.tables.pools[index])
	}
	s.ownedNow = owned
	return owned
}

// ownPool adds the own replicas of a pool.
func (s *State) ownPool(owned *ownedReplicas, pool *port.Pool) {
	for _, replica := range s.tables.byPool[pool.Name] {
		if s.homes.caretaker(replica.Zone) != s.config.Zone {
			continue
		}
		if home, found := s.homes.Home(replica); found && home == s.config.Self {
			owned.byID[replica.ID] = ownedReplica{replica: replica, polled: pool.Kind == port.PoolGeneration, gate: s.gate(pool)}
			owned.byPool[pool.Name] = append(owned.byPool[pool.Name], replica)
		}
	}
}

package node

import (
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// advance gives the view after an update, or the same view when the update is
// old or starts beyond what the view shows. A view never goes back.
func advance(view *port.View, update port.ViewUpdate) (next *port.View, usable bool) {
	if update.Position < view.Position {
		return view, false
	}
	if update.Full != nil {
		if update.Full.Position < view.Position {
			return view, false
		}
		return update.Full, true
	}
	if update.Position == view.Position {
		return view, true
	}
	if update.After > view.Position {
		return view, false
	}
	return applyChanges(view, update), true
}

func applyChanges(view *port.View, update port.ViewUpdate) *port.View {
	next := *view
	next.Position = update.Position
	next.Term = max(view.Term, update.Term)
	next.Revision = max(view.Revision, update.Revision)
	next.Configuration.Pools = slices.Clone(view.Configuration.Pools)
	next.Configuration.Replicas = slices.Clone(view.Configuration.Replicas)
	next.Weights = slices.Clone(view.Weights)
	next.Leases = slices.Clone(view.Leases)
	next.Nodes = slices.Clone(view.Nodes)
	for _, change := range update.Changes {
		applyChange(&next, change)
	}
	return &next
}

func applyChange(view *port.View, change port.ViewChange) {
	switch {
	case change.Edit != nil:
		applyEdit(&view.Configuration, *change.Edit)
	case change.Weights != nil:
		view.Weights = put(view.Weights, *change.Weights, func(w port.PublishedWeights) port.PoolName { return w.Pool })
	case change.Lease != nil:
		view.Leases = put(view.Leases, *change.Lease, leaseName)
	case change.LeaseRemoved != "":
		view.Leases = remove(view.Leases, change.LeaseRemoved, leaseName)
	case change.Node != nil:
		view.Nodes = put(view.Nodes, *change.Node, nodeID)
	case change.NodeRemoved != "":
		view.Nodes = remove(view.Nodes, change.NodeRemoved, nodeID)
	}
}

func leaseName(lease port.Lease) string             { return lease.Name }
func nodeID(node port.NodeAddress) port.NodeID      { return node.ID }
func poolName(pool port.Pool) port.PoolName         { return pool.Name }
func replicaID(replica port.Replica) port.ReplicaID { return replica.ID }

func applyEdit(configuration *port.Configuration, edit port.Edit) {
	switch {
	case edit.PutPool != nil:
		configuration.Pools = put(configuration.Pools, *edit.PutPool, poolName)
	case edit.RemovePool != "":
		configuration.Pools = remove(configuration.Pools, edit.RemovePool, poolName)
	case edit.PutReplica != nil:
		configuration.Replicas = put(configuration.Replicas, *edit.PutReplica, replicaID)
	case edit.RemoveReplica != "":
		configuration.Replicas = remove(configuration.Replicas, edit.RemoveReplica, replicaID)
	case edit.Tenants != nil:
		configuration.Tenants = *edit.Tenants
	case edit.MachineList != nil:
		configuration.MachineList = *edit.MachineList
	}
}

// put replaces the item with the same key, or adds it at the end.
func put[T any, K comparable](items []T, item T, key func(T) K) []T {
	for index := range items {
		if key(items[index]) == key(item) {
			items[index] = item
			return items
		}
	}
	return append(items, item)
}

// remove takes out the item with the key.
func remove[T any, K comparable](items []T, wanted K, key func(T) K) []T {
	return slices.DeleteFunc(items, func(item T) bool { return key(item) == wanted })
}

// viewPool finds a pool of the view.
func viewPool(view *port.View, name port.PoolName) (port.Pool, bool) {
	for _, pool := range view.Configuration.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return port.Pool{}, false
}

// viewWeights gives a pool's published weights; none give the zero value.
func viewWeights(view *port.View, pool port.PoolName) port.PublishedWeights {
	for _, weights := range view.Weights {
		if weights.Pool == pool {
			return weights
		}
	}
	return port.PublishedWeights{Pool: pool}
}

// viewLease finds a lease of the view.
func viewLease(view *port.View, name string) (port.Lease, bool) {
	for _, lease := range view.Leases {
		if lease.Name == name {
			return lease, true
		}
	}
	return port.Lease{}, false
}

// viewNode finds a live node of the view.
func viewNode(view *port.View, id port.NodeID) (port.NodeAddress, bool) {
	for _, node := range view.Nodes {
		if node.ID == id {
			return node, true
		}
	}
	return port.NodeAddress{}, false
}

package node

import "github.com/loomgrade/loomgrade/internal/port"

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

package node

import "github.com/loomgrade/loomgrade/internal/port"

// viewPool returns a pool of the view.
func viewPool(view *port.View, name port.PoolName) (port.Pool, bool) {
	for _, pool := range view.Configuration.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return port.Pool{}, false
}

// viewLease returns a lease of the view.
func viewLease(view *port.View, name string) (port.Lease, bool) {
	for _, lease := range view.Leases {
		if lease.Name == name {
			return lease, true
		}
	}
	return port.Lease{}, false
}

package localfleet

import (
	"context"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Leader returns the index of the control member that is the leader. It waits for one
// until ctx is done.
func (f *Fleet) Leader(ctx context.Context) (int, error) {
	leader := -1
	err := waitUntil(ctx, "a control member leads", func() bool {
		for index, slot := range f.members {
			if slot.member == nil {
				continue
			}
			status, err := slot.member.Status(ctx)
			if err == nil && status.Leader == slot.id {
				leader = index
				return true
			}
		}
		return false
	})
	return leader, err
}

// Coordinator returns the index of the node that holds a pool's coordinator lease. It
// waits for one until ctx is done.
func (f *Fleet) Coordinator(ctx context.Context, pool port.PoolName) (int, error) {
	holder := -1
	err := waitUntil(ctx, "a node coordinates "+string(pool), func() bool {
		holder = f.nodeIndex(f.leaseHolder(ctx, port.CoordinatorLease(pool)))
		return holder >= 0
	})
	return holder, err
}

// leaseHolder returns the holder of a lease according to the first running member that
// responds, or "" if there is none.
func (f *Fleet) leaseHolder(ctx context.Context, name string) port.NodeID {
	for _, slot := range f.members {
		if slot.member == nil {
			continue
		}
		view, err := slot.member.View(ctx, true)
		if err != nil {
			continue
		}
		for _, lease := range view.Leases {
			if lease.Name == name {
				return lease.Holder
			}
		}
		return ""
	}
	return ""
}

// nodeIndex returns the index of a running node, or -1 if no running node has the id.
func (f *Fleet) nodeIndex(id port.NodeID) int {
	for index, slot := range f.nodes {
		if slot.id == id && slot.node != nil {
			return index
		}
	}
	return -1
}

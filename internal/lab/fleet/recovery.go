package fleet

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// recovery measures how long the fleet takes to get over a fault.
type recovery struct {
	Began time.Duration `json:"began_ns"`
	// Change is the time until a change was accepted again.
	Change time.Duration `json:"change_ns"`
	// Leases is the time until every pool had a coordinator that is up.
	Leases time.Duration `json:"leases_ns"`
	// Detected is the time until the live nodes of the zones concerned held all
	// lost nodes of their zone for dead, Removed until no live node's view
	// listed a lost one.
	Detected time.Duration `json:"detected_ns"`
	Removed  time.Duration `json:"removed_ns"`
	// Stale counts, at the end of a cut, the nodes that showed an old revision,
	// and Unconfirmed those whose configuration lease had run out.
	Stale       int `json:"stale"`
	Unconfirmed int `json:"unconfirmed"`
	// Current is the time from the end of the fault until every node showed the
	// newest revision.
	Current time.Duration `json:"current_ns"`

	back    time.Duration
	changes int
}

// begin starts the measurement of a fault that has just begun.
func (r *recovery) begin(f *Fleet) {
	r.Began = f.Now()
	r.changes = len(f.inForce.accepted)
	r.watch(f)
}

// returned notes the end of the fault.
func (r *recovery) returned(f *Fleet) { r.back = f.Now() }

// watch looks again and again at what has been reached.
func (r *recovery) watch(f *Fleet) {
	passed := f.Now() - r.Began
	note := func(reached *time.Duration, holds bool) {
		if *reached == 0 && passed > 0 && holds {
			*reached = passed
		}
	}
	note(&r.Change, len(f.inForce.accepted) > r.changes)
	if passed > 0 && r.Leases == 0 {
		note(&r.Leases, f.allCoordinated())
	}
	if r.back == 0 {
		if r.Detected == 0 {
			note(&r.Detected, f.lostDetected())
		}
		if r.Removed == 0 {
			note(&r.Removed, f.lostRemoved())
		}
	}
	if r.back != 0 && r.Current == 0 && f.Now() > r.back && f.allCurrent() {
		r.Current = f.Now() - r.back
	}
	f.After(recoveryStep, func() { r.watch(f) })
}

func (r *recovery) countStale(f *Fleet) {
	for _, n := range f.nodes {
		if n.up && n.snapshot.View.Revision < f.inForce.newest() {
			r.Stale++
		}
		if n.up && !n.confirmed() {
			r.Unconfirmed++
		}
	}
}

// allCoordinated says whether every pool has a coordinator that is up and not
// cut off.
func (f *Fleet) allCoordinated() bool {
	for _, holder := range f.holders {
		if !holder.holds() || holder.node.endpoint.place.region == f.network.cut {
			return false
		}
	}
	return true
}

// lostDetected says whether every live node holds the lost nodes of its zone for
// dead.
func (f *Fleet) lostDetected() bool {
	for _, n := range f.nodes {
		if !n.up {
			continue
		}
		for _, id := range n.snapshot.ZoneNodes {
			if !f.nodeOf(id).up {
				return false
			}
		}
	}
	return true
}

// lostRemoved says whether no live node that is in touch lists a lost node.
func (f *Fleet) lostRemoved() bool {
	for _, n := range f.nodes {
		if !n.up || n.place.region == f.network.cut {
			continue
		}
		for _, listed := range n.snapshot.View.Nodes {
			if lost := f.nodeOf(listed.ID); !lost.up || lost.place.region == f.network.cut {
				return false
			}
		}
	}
	return true
}

// allCurrent says whether every node is up and shows the newest revision, as of
// a moment ago.
func (f *Fleet) allCurrent() bool {
	newest := f.inForce.newest()
	for _, n := range f.nodes {
		if !n.up || n.behindSince >= 0 && n.snapshot.View.Revision+1 < newest {
			return false
		}
	}
	return true
}

// checkConverged demands that at the end every node shows the newest revision
// and the same configuration and nodes as the leader.
func (f *Fleet) checkConverged() {
	leader := f.leader()
	if leader == nil {
		f.violate("progress", "no leader at the end")
		return
	}
	want := leader.core.State().View()
	for _, n := range f.nodes {
		if !n.up {
			continue
		}
		if view := n.snapshot.View; view.Revision != want.Revision || !sameConfiguration(view, want) {
			f.violate("in force", "%s shows revision %d at the end, the leader %d", n.address.ID, view.Revision, want.Revision)
		}
	}
}

func sameConfiguration(a, b *port.View) bool {
	if len(a.Configuration.Replicas) != len(b.Configuration.Replicas) || len(a.Configuration.Pools) != len(b.Configuration.Pools) {
		return false
	}
	for index, replica := range a.Configuration.Replicas {
		if replica != b.Configuration.Replicas[index] {
			return false
		}
	}
	return true
}

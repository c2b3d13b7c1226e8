package fleet

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Retry of an operator's change.
const (
	changeRetry = 200 * time.Millisecond
	// largeChange is the share of changes that replace a pool; the others
	// change a replica.
	largeChange = 16
)

// changes proposes changes of the configuration, one after the other.
type changes struct {
	fleet   *Fleet
	number  int
	refused int
	// openSince is when the present change was first proposed.
	openSince time.Duration
	longest   time.Duration
}

// schedule starts the changes.
func (c *changes) schedule() {
	mean := c.fleet.options.every(changesADay)
	if mean == 0 {
		return
	}
	c.fleet.After(c.fleet.exponential(mean), func() { c.begin(mean) })
}

func (c *changes) begin(mean time.Duration) {
	if c.fleet.settling {
		return
	}
	c.number++
	began := c.fleet.Now()
	c.openSince = began
	c.try(c.fleet.changeID(), c.edit(), 0, func() {
		c.openSince = 0
		c.longest = max(c.longest, c.fleet.Now()-began)
		c.fleet.After(c.fleet.exponential(mean)-(c.fleet.Now()-began), func() { c.begin(mean) })
	})
}

// edit makes the next change: mostly of a replica, sometimes of a pool.
func (c *changes) edit() port.Edit {
	if c.number%largeChange == 0 {
		made := pool(c.number/largeChange%trainers, c.fleet.options.Samples)
		made.Admission.MaxInflight = poolLimit + c.number%7
		return port.Edit{PutPool: &made}
	}
	changed := replica(c.fleet.random.IntN(c.fleet.options.Replicas))
	if c.number%2 == 0 {
		changed.State = port.ReplicaDrain
	}
	return port.Edit{PutReplica: &changed}
}

// try proposes a change until it is accepted, at one member after the other.
func (c *changes) try(id string, edit port.Edit, attempt int, accepted func()) {
	f := c.fleet
	retry := func() { f.After(changeRetry, func() { c.try(id, edit, attempt+1, accepted) }) }
	to := f.members[(c.number+attempt)%len(f.members)]
	if !to.up {
		retry()
		return
	}
	answered := false
	command := port.Command{ChangeID: id, ChangeConfiguration: &port.ChangeConfiguration{
		Expected: f.inForce.newest(), Edits: []port.Edit{edit}, Author: "operator",
	}}
	f.charge(&to.endpoint, workProposals, func() {
		to.propose(command, false, func(result port.Result, done bool) {
			if answered {
				return
			}
			answered = true
			if !done || result.Error != nil {
				c.refused++
				retry()
				return
			}
			accepted()
		})
	})
	f.After(proposeTimeout, func() {
		if !answered {
			answered = true
			retry()
		}
	})
}

package chaos

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// minLatency is the min one-way delay of a message.
const minLatency = 500 * time.Microsecond

// link is one direction between two processes. Processes other than members share the id
// outside.
type link struct{ from, to consensus.MemberID }

// outside is the id of operators, holders, observers, the trainer and the back end.
const outside consensus.MemberID = 0

// network delays, duplicates and drops messages.
type network struct {
	world       *World
	base        Network
	degradation Network
	// cuts is the number of active faults that block a direction.
	cuts map[link]int
}

func (n *network) cut(from, to consensus.MemberID) { n.cuts[link{from, to}]++ }

func (n *network) heal(from, to consensus.MemberID) {
	direction := link{from, to}
	if n.cuts[direction]--; n.cuts[direction] <= 0 {
		delete(n.cuts, direction)
	}
}

// send delivers a message zero, one or two times.
func (n *network) send(from, to consensus.MemberID, depart time.Duration, deliver func()) {
	loss, duplicate := n.base.Loss+n.degradation.Loss, n.base.Duplicate+n.degradation.Duplicate
	random := n.world.random
	if loss > 0 && random.Float64() < loss {
		return
	}
	copies := 1
	if duplicate > 0 && random.Float64() < duplicate {
		copies = 2
	}
	for range copies {
		n.world.at(depart+n.delay(), func() {
			if n.cuts[link{from, to}] == 0 {
				deliver()
			}
		})
	}
}

func (n *network) delay() time.Duration {
	extra := minLatency/4 + n.base.Delay + n.degradation.Delay
	return minLatency + time.Duration(n.world.random.Int64N(int64(extra)))
}

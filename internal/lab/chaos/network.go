package chaos

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// latency is the least one-way delay of a message.
const latency = 500 * time.Microsecond

// link is one direction between two processes. Processes other than members
// have the id of the role that they play.
type link struct{ from, to consensus.MemberID }

// outside stands for operators, holders and observers.
const outside consensus.MemberID = 0

// network decides what becomes of messages.
type network struct {
	world *World
	base  Network
	storm Network
	// cuts counts the reasons why a direction is cut.
	cuts map[link]int
}

func (n *network) cut(from, to consensus.MemberID) { n.cuts[link{from, to}]++ }

func (n *network) heal(from, to consensus.MemberID) {
	direction := link{from, to}
	if n.cuts[direction]--; n.cuts[direction] <= 0 {
		delete(n.cuts, direction)
	}
}

// carry delivers a message once, twice or not at all.
func (n *network) carry(from, to consensus.MemberID, depart time.Duration, deliver func()) {
	loss, duplicate := n.base.Loss+n.storm.Loss, n.base.Duplicate+n.storm.Duplicate
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
	extra := latency/4 + n.base.Delay + n.storm.Delay
	return latency + time.Duration(n.world.random.Int64N(int64(extra)))
}

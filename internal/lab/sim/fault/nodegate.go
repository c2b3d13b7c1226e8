package fault

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// nodeGate puts the pure gate of a pool into virtual time.
type nodeGate struct {
	node *node
	pure *gate.Gate
}

// settler is what waits for a ticket.
type settler interface{ settled(ticket *gate.Ticket) }

func (n *node) newGate(pool *port.Pool) nodestate.Gate {
	return &nodeGate{node: n, pure: gate.New(n.world.profile(pool.Kind), n.random)}
}

// settle hands tickets to who waits for them, after the present step.
func (g *nodeGate) settle(settled []*gate.Ticket) {
	life := g.node.life
	for _, ticket := range slices.Clone(settled) {
		g.node.world.after(0, func() {
			if g.node.life == life {
				ticket.Owner.(settler).settled(ticket)
			}
		})
	}
}

// Configure implements nodestate.Gate.
func (g *nodeGate) Configure(now time.Time, settings gate.Settings, replicas []gate.Replica) {
	g.settle(g.pure.Configure(now, settings, replicas))
}

// Tick implements nodestate.Gate.
func (g *nodeGate) Tick(now time.Time) { g.settle(g.pure.Tick(now)) }

// Loads implements nodestate.Gate.
func (g *nodeGate) Loads() (map[port.ReplicaID]gate.Load, int) { return g.pure.Loads() }

// ResetCache implements nodestate.Gate.
func (g *nodeGate) ResetCache(replica port.ReplicaID) { g.pure.ResetCache(replica) }

func (g *nodeGate) offer(ticket *gate.Ticket) {
	settled, _ := g.pure.Offer(g.node.world.clock(), ticket)
	if ticket.State != gate.Waiting && !slices.Contains(settled, ticket) {
		settled = append(slices.Clone(settled), ticket)
	}
	g.settle(settled)
}

func (g *nodeGate) cancel(ticket *gate.Ticket) {
	g.settle(g.pure.Cancel(g.node.world.clock(), ticket))
}

func (g *nodeGate) release(ticket *gate.Ticket, outcome gate.Outcome) {
	g.settle(g.pure.Release(g.node.world.clock(), ticket, outcome))
}

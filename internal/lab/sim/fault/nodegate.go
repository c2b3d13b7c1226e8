package fault

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// nodeGate runs a pool's gate in virtual time.
type nodeGate struct {
	node *node
	gate *gate.Gate
}

// ticketOwner is notified when its ticket is granted or refused.
type ticketOwner interface{ ticketResolved(ticket *gate.Ticket) }

func (n *node) newGate(pool *port.Pool) nodestate.Gate {
	return &nodeGate{node: n, gate: gate.New(n.world.profile(pool.Kind), n.random)}
}

// notify notifies the owners of resolved tickets after the current step.
func (g *nodeGate) notify(resolved []*gate.Ticket) {
	incarnation := g.node.incarnation
	for _, ticket := range slices.Clone(resolved) {
		g.node.world.after(0, func() {
			if g.node.incarnation == incarnation {
				ticket.Owner.(ticketOwner).ticketResolved(ticket)
			}
		})
	}
}

// Configure implements nodestate.Gate.
func (g *nodeGate) Configure(now time.Time, settings gate.Settings, replicas []gate.Replica) {
	g.notify(g.gate.Configure(now, settings, replicas))
}

// Tick implements nodestate.Gate.
func (g *nodeGate) Tick(now time.Time) { g.notify(g.gate.Tick(now)) }

// Loads implements nodestate.Gate.
func (g *nodeGate) Loads() (map[port.ReplicaID]gate.Load, int) { return g.gate.Loads() }

// ResetCache implements nodestate.Gate.
func (g *nodeGate) ResetCache(replica port.ReplicaID) { g.gate.ResetCache(replica) }

func (g *nodeGate) offer(ticket *gate.Ticket) {
	resolved, _ := g.gate.Offer(g.node.world.clock(), ticket)
	if ticket.State != gate.Waiting && !slices.Contains(resolved, ticket) {
		resolved = append(slices.Clone(resolved), ticket)
	}
	g.notify(resolved)
}

func (g *nodeGate) cancel(ticket *gate.Ticket) {
	g.notify(g.gate.Cancel(g.node.world.clock(), ticket))
}

func (g *nodeGate) release(ticket *gate.Ticket, outcome gate.Outcome) {
	g.notify(g.gate.Release(g.node.world.clock(), ticket, outcome))
}

package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// poolGate is the gate of the own home replicas of a pool. It hands tickets that
// are settled later to their samples.
type poolGate struct {
	node *node
	core *gate.Gate
}

func newPoolGate(n *node) *poolGate {
	random := rand.New(rand.NewPCG(n.fleet.options.Seed, uint64(n.number)))
	return &poolGate{node: n, core: gate.New(scheduling.Generation(), random)}
}

// Configure implements nodestate.Gate.
func (g *poolGate) Configure(now time.Time, settings gate.Settings, replicas []gate.Replica) {
	g.settle(g.core.Configure(now, settings, replicas))
}

// Tick implements nodestate.Gate.
func (g *poolGate) Tick(now time.Time) { g.settle(g.core.Tick(now)) }

// Loads implements nodestate.Gate.
func (g *poolGate) Loads() (loads map[port.ReplicaID]gate.Load, waiting int) { return g.core.Loads() }

// ResetCache implements nodestate.Gate.
func (g *poolGate) ResetCache(replica port.ReplicaID) { g.core.ResetCache(replica) }

// inflight counts what runs on a replica.
func (g *poolGate) inflight(replica port.ReplicaID) int {
	loads, _ := g.core.Loads()
	return loads[replica].Inflight
}

// offer asks for a place for a sample.
func (g *poolGate) offer(asked *sample, request gate.Request) {
	ticket := &gate.Ticket{Request: request, Owner: asked}
	asked.ticket = ticket
	settled, _ := g.core.Offer(g.node.fleet.wall(), ticket)
	g.settle(settled)
	if ticket.State != gate.Waiting {
		g.settled(ticket)
	}
}

// release gives a sample's place back.
func (g *poolGate) release(ticket *gate.Ticket, outcome gate.Outcome) {
	g.settle(g.core.Release(g.node.fleet.wall(), ticket, outcome))
}

func (g *poolGate) settle(tickets []*gate.Ticket) {
	for _, ticket := range tickets {
		g.settled(ticket)
	}
}

func (g *poolGate) settled(ticket *gate.Ticket) {
	asked, isSample := ticket.Owner.(*sample)
	if !isSample {
		return
	}
	switch ticket.State {
	case gate.Granted:
		asked.generate(g)
	case gate.Refused:
		asked.refuse(g.node, ticket.Refusal)
	}
}

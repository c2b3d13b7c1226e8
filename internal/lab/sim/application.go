package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// applicationWorkers is the number of calls that a back end serves concurrently.
// Further calls queue in FIFO order.
const applicationWorkers = 8

// maxQueuedCalls is the maximum number of calls that wait at a node.
const maxQueuedCalls = 512

// applicationPool is the application's back ends and the nodes in front of them.
type applicationPool struct {
	world    *world
	replicas []*backEnd
	byID     map[port.ReplicaID]*backEnd
	nodes    []*applicationNode
}

// backEnd is a replica of the application.
type backEnd struct {
	id      port.ReplicaID
	zone    port.ZoneName
	running int
	queue   []func()
}

// applicationNode routes calls directly to the back ends, by its own counts. The
// baselines use a gate without limits and a baseline profile.
type applicationNode struct {
	pool *applicationPool
	zone port.ZoneName
	gate *gate.Gate
}

func newApplicationPool(w *world) *applicationPool {
	pool := &applicationPool{world: w, byID: make(map[port.ReplicaID]*backEnd)}
	for index := range w.site.ApplicationReplicas {
		replica := &backEnd{id: port.ReplicaID(fmt.Sprintf("%s-%d", w.site.Application, index+1)), zone: w.zoneOf(index)}
		pool.replicas = append(pool.replicas, replica)
		pool.byID[replica.id] = replica
	}
	for index := range w.site.NodesPerZone * len(w.site.Zones) {
		pool.nodes = append(pool.nodes, pool.node(index))
	}
	return pool
}

// node returns a node with a gate over all back ends.
func (p *applicationPool) node(index int) *applicationNode {
	w := p.world
	profile := scheduling.Application()
	settings := gate.Settings{MinInflight: 1, MaxInflight: applicationWorkers * len(p.replicas), QueueLength: maxQueuedCalls}
	if w.options.Variant.Routing != RoutingLoomgrade {
		profile = profileOf(w.options.Variant.Routing)
		settings.MinInflight, settings.MaxInflight = queueLength, queueLength
	}
	node := &applicationNode{
		pool: p, zone: w.zoneOf(index),
		gate: gate.New(profile, rand.New(rand.NewPCG(w.options.Seed, nameSeed(fmt.Sprint("application node ", index))))),
	}
	gateReplicas := make([]gate.Replica, 0, len(p.replicas))
	for _, replica := range p.replicas {
		gateReplicas = append(gateReplicas, gate.Replica{ID: replica.id, Zone: replica.zone, Region: w.region()})
	}
	node.gate.Configure(w.clock(), settings, gateReplicas)
	offset := time.Duration(index) * gateTick / time.Duration(len(w.site.Zones))
	w.every(gateTick, offset, func() { node.handleTickets(node.gate.Tick(w.clock())) })
	return node
}

// accept offers a call to the node's gate.
func (n *applicationNode) accept(c *call) {
	w := n.pool.world
	class := c.from.class
	ticket := &gate.Ticket{Owner: c, Request: gate.Request{
		ID: c.name, Deadline: w.clock().Add(c.from.timeout()),
		Scheduling: scheduling.Request{
			Pool: w.site.Application, Zone: n.zone, Region: w.region(), Priority: port.Priority(class.Priority),
		},
	}}
	resolved, _ := n.gate.Offer(w.clock(), ticket)
	resolved = slices.Clone(resolved)
	if ticket.State != gate.Waiting && !slices.Contains(resolved, ticket) {
		n.dispatch(ticket)
	}
	n.handleTickets(resolved)
}

func (n *applicationNode) handleTickets(resolved []*gate.Ticket) {
	for _, ticket := range slices.Clone(resolved) {
		n.dispatch(ticket)
	}
}

// dispatch sends the call of a granted ticket to its back end, or refuses it.
func (n *applicationNode) dispatch(ticket *gate.Ticket) {
	c := ticket.Owner.(*call)
	if ticket.State == gate.Refused {
		c.answer(ticket.Refusal)
		return
	}
	w := n.pool.world
	chosen := n.pool.byID[ticket.Replica]
	delay := w.latency(n.zone, chosen.zone)
	sent := w.now
	w.after(delay, func() {
		chosen.serve(w, c.service, func() {
			w.after(delay, func() {
				took := w.now - sent
				n.handleTickets(n.gate.Release(w.clock(), ticket, gate.Outcome{Latency: took, Service: took}))
				c.answer(nil)
			})
		})
	})
}

// serve runs a call once a worker is free.
func (b *backEnd) serve(w *world, service time.Duration, done func()) {
	if b.running >= applicationWorkers {
		b.queue = append(b.queue, func() { b.serve(w, service, done) })
		return
	}
	b.running++
	w.after(service, func() {
		b.running--
		if len(b.queue) > 0 {
			next := b.queue[0]
			b.queue = b.queue[1:]
			next()
		}
		done()
	})
}

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

// applicationWorkers is the number of calls that a back end serves at a time;
// further ones wait at it in order.
const applicationWorkers = 8

// applicationQueue bounds the calls that wait at a node.
const applicationQueue = 512

// applicationPool is the application with the nodes before it.
type applicationPool struct {
	world    *world
	replicas []*backEnd
	byID     map[port.ReplicaID]*backEnd
	nodes    []*applicationNode
}

// backEnd is one replica of the application.
type backEnd struct {
	id      port.ReplicaID
	zone    port.ZoneName
	running int
	queue   []func()
}

// applicationNode takes calls and sends them to the back ends directly, each by
// its own counts. The baselines use a gate without limits and a plain profile.
type applicationNode struct {
	pool *applicationPool
	zone port.ZoneName
	gate *gate.Gate
}

func newApplicationPool(w *world) *applicationPool {
	pool := &applicationPool{world: w, byID: make(map[port.ReplicaID]*backEnd)}
	for index := range w.site.ApplicationReplicas {
		made := &backEnd{id: port.ReplicaID(fmt.Sprintf("%s-%d", w.site.Application, index+1)), zone: w.zoneOf(index)}
		pool.replicas = append(pool.replicas, made)
		pool.byID[made.id] = made
	}
	for index := range w.site.NodesPerZone * len(w.site.Zones) {
		pool.nodes = append(pool.nodes, pool.node(index))
	}
	return pool
}

// node makes a node with its gate over all back ends.
func (p *applicationPool) node(index int) *applicationNode {
	w := p.world
	profile := scheduling.Application()
	settings := gate.Settings{MinInflight: 1, MaxInflight: applicationWorkers * len(p.replicas), QueueLength: applicationQueue}
	if w.options.Variant.Routing != RoutingLoomgrade {
		profile = profileOf(w.options.Variant.Routing)
		settings.MinInflight, settings.MaxInflight = queueLength, queueLength
	}
	made := &applicationNode{
		pool: p, zone: w.zoneOf(index),
		gate: gate.New(profile, rand.New(rand.NewPCG(w.options.Seed, nameSeed(fmt.Sprint("application node ", index))))),
	}
	told := make([]gate.Replica, 0, len(p.replicas))
	for _, replica := range p.replicas {
		told = append(told, gate.Replica{ID: replica.id, Zone: replica.zone, Region: w.region()})
	}
	made.gate.Configure(w.clock(), settings, told)
	offset := time.Duration(index) * gateTick / time.Duration(len(w.site.Zones))
	w.every(gateTick, offset, func() { made.settle(made.gate.Tick(w.clock())) })
	return made
}

// accept puts a call before the node's gate.
func (n *applicationNode) accept(begun *call) {
	w := n.pool.world
	class := begun.from.class
	ticket := &gate.Ticket{Owner: begun, Request: gate.Request{
		ID: begun.name, Deadline: w.clock().Add(begun.from.timeout()),
		Pick: scheduling.Request{
			Pool: w.site.Application, Zone: n.zone, Region: w.region(), Priority: port.Priority(class.Priority),
		},
	}}
	settled, _ := n.gate.Offer(w.clock(), ticket)
	settled = slices.Clone(settled)
	if ticket.State != gate.Waiting && !slices.Contains(settled, ticket) {
		n.handOver(ticket)
	}
	n.settle(settled)
}

func (n *applicationNode) settle(settled []*gate.Ticket) {
	for _, ticket := range slices.Clone(settled) {
		n.handOver(ticket)
	}
}

// handOver brings a settled ticket's call to its back end, or refuses it.
func (n *applicationNode) handOver(ticket *gate.Ticket) {
	begun := ticket.Owner.(*call)
	if ticket.State == gate.Refused {
		begun.answer(ticket.Refusal)
		return
	}
	w := n.pool.world
	chosen := n.pool.byID[ticket.Replica]
	way := w.between(n.zone, chosen.zone)
	sent := w.now
	w.after(way, func() {
		chosen.serve(w, begun.service, func() {
			w.after(way, func() {
				took := w.now - sent
				n.settle(n.gate.Release(w.clock(), ticket, gate.Outcome{Latency: took, Service: took}))
				begun.answer(nil)
			})
		})
	})
}

// serve runs a call for its time once a worker is free.
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

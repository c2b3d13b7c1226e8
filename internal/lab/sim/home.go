package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// gateTick is how often a home lets time pass for its gate.
const gateTick = 50 * time.Millisecond

// sampleDeadline bounds one attempt, as at the nodes.
const sampleDeadline = time.Hour

// homeNode is a node that is the home of some engines.
type homeNode struct {
	world    *world
	id       port.NodeID
	zone     port.ZoneName
	gate     *gate.Gate
	replicas []*replica
	told     []gate.Replica
	router   *homeRouter
	accepts  acceptor
}

// homeRouter is loomgrade's way: the coordinator's node chooses a replica of its
// zone or another zone, and the home's gate decides in the end.
type homeRouter struct {
	world *world
	nodes []*homeNode
	home  map[port.ReplicaID]*homeNode
	zones map[port.ZoneName]*zoneState
}

func newHomeRouter(w *world) *homeRouter {
	r := &homeRouter{world: w, home: make(map[port.ReplicaID]*homeNode), zones: make(map[port.ZoneName]*zoneState)}
	members := make(map[port.ZoneName][]port.NodeID)
	byID := make(map[port.NodeID]*homeNode)
	for index := range w.site.NodesPerZone * len(w.site.Zones) {
		id := port.NodeID(fmt.Sprintf("node-%d", index+1))
		random := rand.New(rand.NewPCG(w.options.Seed, nameSeed(string(id))))
		made := &homeNode{
			world: w, id: id, zone: w.zoneOf(index), router: r,
			gate: gate.New(scheduling.Generation(), random), accepts: newAcceptor(w, id),
		}
		members[made.zone] = append(members[made.zone], id)
		byID[id] = made
		r.nodes = append(r.nodes, made)
		offset := time.Duration(index) * gateTick / time.Duration(w.site.NodesPerZone*len(w.site.Zones))
		w.every(gateTick, offset, func() { made.settle(made.gate.Tick(w.clock())) })
	}
	for _, replica := range w.replicas {
		id, _ := membership.NewAssigner(members[replica.zone]).Home(replica.id)
		home := byID[id]
		home.replicas = append(home.replicas, replica)
		r.home[replica.id] = home
	}
	r.buildZones()
	return r
}

// polled tells the home's gate of a replica's report and cache events.
func (r *homeRouter) polled(replica *replica) {
	home := r.home[replica.id]
	if r.world.options.Variant.with(PartPrefixAffinity) {
		events, gap := replica.cacheEvents(home.gate.LastCacheEvent(replica.id))
		home.gate.CacheEvents(replica.id, events, gap)
	}
	home.configure()
}

// configure tells the gate of its replicas.
func (n *homeNode) configure() {
	n.told = n.told[:0]
	for _, replica := range n.replicas {
		n.told = append(n.told, gate.Replica{
			ID: replica.id, Zone: replica.zone, Region: n.world.region(),
			VersionUnknown: replica.reportedAt.IsZero() || n.world.routedOut(replica.id),
			Report:         replica.report, ReportedAt: replica.reportedAt,
		})
	}
	settings := gate.Settings{MinInflight: n.world.minInFlight(), MaxInflight: n.world.maxInFlight(), QueueLength: queueLength}
	n.settle(n.gate.Configure(n.world.clock(), settings, n.told))
}

// region names the one region of a site.
func (w *world) region() port.RegionName { return port.RegionName(w.site.Name) }

// route lets the coordinator's node choose a place.
func (r *homeRouter) route(begun *attempt) { r.zones[begun.pool.zone].nodes[0].accept(begun) }

// offer puts an attempt before the home's gate, with the replica that the
// choosing node prefers.
func (n *homeNode) offer(begun *attempt, preferred port.ReplicaID) {
	if begun.cancelled || begun.ended {
		begun.refused(port.NewError(port.NotRun, port.CodeCancelled, "cancelled by the coordinator"))
		return
	}
	begun.home = n
	begun.placeHeld = true
	begun.ticket = &gate.Ticket{Owner: begun, Request: n.request(begun, preferred)}
	settled, _ := n.gate.Offer(n.world.clock(), begun.ticket)
	settled = slices.Clone(settled)
	if begun.ticket.State != gate.Waiting && !slices.Contains(settled, begun.ticket) {
		n.handOver(begun.ticket)
	}
	n.settle(settled)
}

// request gives what the gate decides on.
func (n *homeNode) request(begun *attempt, preferred port.ReplicaID) gate.Request {
	start := &begun.start
	request := gate.Request{
		ID: port.RequestID(begun.name), Deadline: n.world.clock().Add(sampleDeadline),
		Preferred: preferred, Avoid: start.Avoid, Pick: n.pick(begun),
	}
	return request
}

// pick gives what the choice of a replica depends on.
func (n *homeNode) pick(begun *attempt) scheduling.Request {
	start := &begun.start
	request := scheduling.Request{
		Pool: begun.pool.settings.Pool, Zone: n.zone, Region: n.world.region(), Priority: begun.priority(),
		PromptTokens: start.Prompt.Tokens + start.ResumeTokens, MaxTokens: start.MaxTokens,
		MinVersion: start.MinVersion, Adapter: begun.pool.settings.Adapter, Exclude: start.Exclude,
	}
	if n.world.options.Variant.with(PartPrefixAffinity) {
		request.PrefixHashes = begun.pool.prompt(start.Prompt.Index).blocks
	}
	return request
}

// settle hands on the tickets that a call of the gate settled.
func (n *homeNode) settle(settled []*gate.Ticket) {
	for _, ticket := range slices.Clone(settled) {
		n.handOver(ticket)
	}
}

// handOver brings a settled ticket's attempt to its engine, or ends it.
func (n *homeNode) handOver(ticket *gate.Ticket) {
	begun := ticket.Owner.(*attempt)
	switch ticket.State {
	case gate.Granted:
		chosen := n.world.byID[ticket.Replica]
		begun.count(chosen.id)
		n.world.after(n.world.between(n.zone, chosen.zone), func() { n.world.deliver(begun, chosen) })
	case gate.Refused:
		begun.placeHeld = false
		begun.refused(ticket.Refusal)
	}
}

// leave gives an attempt's place back.
func (r *homeRouter) leave(ended *attempt, outcome gate.Outcome) {
	n := ended.home
	ended.countEnd()
	if ended.ticket.State == gate.Waiting {
		n.settle(n.gate.Cancel(r.world.clock(), ended.ticket))
		return
	}
	n.settle(n.gate.Release(r.world.clock(), ended.ticket, outcome))
}

// capacity asks the homes, as the pool's worker does.
func (r *homeRouter) capacity(pool *samplePool) []policy.Replica {
	var usable []policy.Replica
	for _, n := range r.nodes {
		loads, _ := n.gate.Loads()
		for _, replica := range n.replicas {
			version, _ := replica.report.Versions(pool.settings.Adapter)
			if replica.reportedAt.IsZero() || r.world.routedOut(replica.id) {
				continue
			}
			load := loads[replica.id]
			usable = append(usable, policy.Replica{
				ID: replica.id, Zone: replica.zone, Version: version, Running: load.Inflight, Limit: load.Limit,
			})
		}
	}
	return usable
}

func (r *homeRouter) waiting() int {
	total := 0
	for _, n := range r.nodes {
		_, waiting := n.gate.Loads()
		total += waiting
	}
	return total
}

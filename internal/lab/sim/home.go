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

// gateTick is the interval of a gate's ticks.
const gateTick = 50 * time.Millisecond

// sampleDeadline is the deadline of one attempt.
const sampleDeadline = time.Hour

// homeNode is a node that is the home of some engines.
type homeNode struct {
	world        *world
	id           port.NodeID
	zone         port.ZoneName
	gate         *gate.Gate
	replicas     []*replica
	gateReplicas []gate.Replica
	router       *homeRouter
	chooserState chooserState
}

// homeRouter routes as loomgrade does: the coordinator's node chooses a replica or
// another zone, and the gate at the replica's home node makes the final decision.
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
		node := &homeNode{
			world: w, id: id, zone: w.zoneOf(index), router: r,
			gate: gate.New(scheduling.Generation(), random), chooserState: newChooserState(w, id),
		}
		members[node.zone] = append(members[node.zone], id)
		byID[id] = node
		r.nodes = append(r.nodes, node)
		offset := time.Duration(index) * gateTick / time.Duration(w.site.NodesPerZone*len(w.site.Zones))
		w.every(gateTick, offset, func() { node.handleTickets(node.gate.Tick(w.clock())) })
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

// reportUpdated passes a replica's report and cache events to the home's gate.
func (r *homeRouter) reportUpdated(replica *replica) {
	home := r.home[replica.id]
	if r.world.options.Variant.enabled(PartPrefixAffinity) {
		events, gap := replica.cacheEvents(home.gate.LastCacheEvent(replica.id))
		home.gate.CacheEvents(replica.id, events, gap)
	}
	home.configure()
}

// configure passes the current state of the replicas to the gate.
func (n *homeNode) configure() {
	n.gateReplicas = n.gateReplicas[:0]
	for _, replica := range n.replicas {
		n.gateReplicas = append(n.gateReplicas, gate.Replica{
			ID: replica.id, Zone: replica.zone, Region: n.world.region(),
			VersionUnknown: replica.reportedAt.IsZero() || n.world.routedOut(replica.id),
			Report:         replica.report, ReportedAt: replica.reportedAt,
		})
	}
	settings := gate.Settings{MinInflight: n.world.minInFlight(), MaxInflight: n.world.maxInFlight(), QueueLength: queueLength}
	n.handleTickets(n.gate.Configure(n.world.clock(), settings, n.gateReplicas))
}

// region returns the only region of a site.
func (w *world) region() port.RegionName { return port.RegionName(w.site.Name) }

// route passes an attempt to the coordinator's node, which chooses the replica.
func (r *homeRouter) route(a *attempt) { r.zones[a.pool.zone].nodes[0].accept(a) }

// offer offers an attempt to the gate with a preferred replica.
func (n *homeNode) offer(a *attempt, preferred port.ReplicaID) {
	if a.cancelled || a.ended {
		a.refused(port.NewError(port.NotRun, port.CodeCancelled, "cancelled by the coordinator"))
		return
	}
	a.home = n
	a.slotHeld = true
	a.ticket = &gate.Ticket{Owner: a, Request: n.gateRequest(a, preferred)}
	resolved, _ := n.gate.Offer(n.world.clock(), a.ticket)
	resolved = slices.Clone(resolved)
	if a.ticket.State != gate.Waiting && !slices.Contains(resolved, a.ticket) {
		n.dispatch(a.ticket)
	}
	n.handleTickets(resolved)
}

// gateRequest returns the gate's request for an attempt.
func (n *homeNode) gateRequest(a *attempt, preferred port.ReplicaID) gate.Request {
	start := &a.start
	request := gate.Request{
		ID: port.RequestID(a.name), Deadline: n.world.clock().Add(sampleDeadline),
		Preferred: preferred, Avoid: start.Avoid, Scheduling: n.schedulingRequest(a),
	}
	return request
}

// schedulingRequest returns the scheduling request for an attempt.
func (n *homeNode) schedulingRequest(a *attempt) scheduling.Request {
	start := &a.start
	request := scheduling.Request{
		Pool: a.pool.settings.Pool, Zone: n.zone, Region: n.world.region(), Priority: a.priority(),
		PromptTokens: start.Prompt.Tokens + start.ResumeTokens, MaxTokens: start.MaxTokens,
		MinVersion: start.MinVersion, Adapter: a.pool.settings.Adapter, Exclude: start.Exclude,
	}
	if n.world.options.Variant.enabled(PartPrefixAffinity) {
		request.PrefixHashes = a.pool.prompt(start.Prompt.Index).blocks
	}
	return request
}

// handleTickets dispatches the tickets that the gate granted or refused.
func (n *homeNode) handleTickets(resolved []*gate.Ticket) {
	for _, ticket := range slices.Clone(resolved) {
		n.dispatch(ticket)
	}
}

// dispatch sends the attempt of a granted ticket to its engine, or fails it.
func (n *homeNode) dispatch(ticket *gate.Ticket) {
	a := ticket.Owner.(*attempt)
	switch ticket.State {
	case gate.Granted:
		chosen := n.world.byID[ticket.Replica]
		a.countSent(chosen.id)
		n.world.after(n.world.latency(n.zone, chosen.zone), func() { n.world.deliver(a, chosen) })
	case gate.Refused:
		a.slotHeld = false
		a.refused(ticket.Refusal)
	}
}

// release returns an attempt's slot to the gate.
func (r *homeRouter) release(ended *attempt, outcome gate.Outcome) {
	n := ended.home
	ended.countFinished()
	if ended.ticket.State == gate.Waiting {
		n.handleTickets(n.gate.Cancel(r.world.clock(), ended.ticket))
		return
	}
	n.handleTickets(n.gate.Release(r.world.clock(), ended.ticket, outcome))
}

// capacity returns the replicas' states from the home nodes, as the pool's worker
// polls them.
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

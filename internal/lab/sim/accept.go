package sim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// How often the homes tell their zone, and the zones each other, as the nodes do.
const (
	summaryInterval   = 200 * time.Millisecond
	aggregateInterval = time.Second
)

// zoneState is what the nodes of a zone, and other zones, know of its replicas.
type zoneState struct {
	name  port.ZoneName
	nodes []*homeNode
	// replicas are told of at reported.
	replicas []scheduling.Candidate
	reported time.Time
	// aggregate is what the other zones know.
	aggregate aggregate
}

// aggregate sums up a zone's engines for the other zones.
type aggregate struct {
	routable, free int
	sequence       uint64
}

// acceptor is what a node keeps to choose places.
type acceptor struct {
	chooser  *placement.Chooser
	counts   map[port.ReplicaID]*placement.Counts
	marks    map[port.ReplicaID]placement.CountsAtReport
	crossing map[port.ZoneName]*crossing
	scratch  []scheduling.Candidate
}

// crossing counts what a node sent to another zone.
type crossing struct {
	sent, mark int
	sequence   uint64
}

func newAcceptor(w *world, id port.NodeID) acceptor {
	return acceptor{
		chooser:  placement.New(rand.New(rand.NewPCG(w.options.Seed, nameSeed("chooser "+string(id))))),
		counts:   make(map[port.ReplicaID]*placement.Counts),
		marks:    make(map[port.ReplicaID]placement.CountsAtReport),
		crossing: make(map[port.ZoneName]*crossing),
	}
}

// countsOf gives the node's counts of a replica.
func (a *acceptor) countsOf(id port.ReplicaID) *placement.Counts {
	known := a.counts[id]
	if known == nil {
		known = &placement.Counts{}
		a.counts[id] = known
	}
	return known
}

// buildZones lets the homes tell their zone and the zones each other.
func (r *homeRouter) buildZones() {
	for _, n := range r.nodes {
		known := r.zones[n.zone]
		if known == nil {
			known = &zoneState{name: n.zone}
			r.zones[n.zone] = known
			r.world.every(summaryInterval, 0, func() { r.summarize(known) })
			r.world.every(aggregateInterval, 0, func() { known.sumUp() })
		}
		known.nodes = append(known.nodes, n)
	}
}

// summarize tells a zone of its replicas.
func (r *homeRouter) summarize(zone *zoneState) {
	zone.replicas = zone.replicas[:0]
	zone.reported = r.world.clock()
	for _, n := range zone.nodes {
		loads, waiting := n.gate.Loads()
		for _, replica := range n.replicas {
			load := loads[replica.id]
			report := &replica.report
			candidate := scheduling.Candidate{
				Replica: replica.id, Zone: replica.zone, Region: r.world.region(), Home: n.id,
				Version: report.Version, Staged: report.Staged, Role: report.Role,
				VersionUnknown: replica.reportedAt.IsZero() || r.world.routedOut(replica.id),
				Running:        load.Inflight, Waiting: waiting, Limit: load.Limit,
				KVUsed: report.KVUsed, KVTotal: report.KVTotal,
			}
			for _, adapter := range report.Adapters {
				candidate.Adapters = append(candidate.Adapters, adapter.Name)
			}
			zone.replicas = append(zone.replicas, candidate)
		}
	}
}

// sumUp tells the other zones.
func (z *zoneState) sumUp() {
	z.aggregate = aggregate{sequence: z.aggregate.sequence + 1}
	for index := range z.replicas {
		replica := &z.replicas[index]
		if replica.VersionUnknown {
			continue
		}
		z.aggregate.routable++
		z.aggregate.free += max(replica.Limit-replica.Running, 0) - replica.Waiting
	}
}

// accept chooses the place of an attempt as the node that accepted it.
func (n *homeNode) accept(begun *attempt) {
	begun.acceptor = n
	home, preferred, room, refusal := n.local(begun)
	if zone, better := n.otherZone(begun, room, refusal != nil); better {
		target := zone.nodes[n.accepts.chooser.Draw(len(zone.nodes))]
		begun.at = target.zone
		n.world.after(n.world.between(n.zone, target.zone), func() { target.relay(begun) })
		return
	}
	n.send(begun, home, preferred, refusal)
}

// relay chooses a replica of this zone for an attempt from another one.
func (n *homeNode) relay(begun *attempt) {
	home, preferred, _, refusal := n.local(begun)
	n.send(begun, home, preferred, refusal)
}

// send brings an attempt to the home that was chosen.
func (n *homeNode) send(begun *attempt, home *homeNode, preferred port.ReplicaID, refusal *port.Error) {
	if refusal != nil {
		begun.refused(refusal)
		return
	}
	begun.at = home.zone
	if begun.acceptor == n {
		begun.count(preferred)
	}
	n.world.after(n.world.between(n.zone, home.zone), func() { home.offer(begun, preferred) })
}

// local chooses a replica of the own zone.
func (n *homeNode) local(begun *attempt) (home *homeNode, chosen port.ReplicaID, room float64, refusal *port.Error) {
	zones := begun.start.Zones
	if len(zones) > 0 && !slices.Contains(zones, n.zone) {
		return nil, "", 0, placement.NoReplica(nil)
	}
	zone := n.router.zones[n.zone]
	a := &n.accepts
	a.scratch = a.scratch[:0]
	now := n.world.clock()
	for index := range zone.replicas {
		candidate := zone.replicas[index]
		counts := *a.countsOf(candidate.Replica)
		mark := a.marks[candidate.Replica].Update(zone.reported, counts)
		a.marks[candidate.Replica] = mark
		a.scratch = append(a.scratch, mark.Apply(now, zone.reported, candidate, counts))
	}
	var tried []port.ReplicaID
	if begun.start.Avoid != "" {
		tried = []port.ReplicaID{begun.start.Avoid}
	}
	position, room, refusal := a.chooser.Local(now, n.pick(begun), tried, a.scratch)
	if refusal != nil {
		return nil, "", 0, refusal
	}
	chosen = a.scratch[position].Replica
	return n.router.home[chosen], chosen, room, nil
}

// otherZone chooses another zone if one has clearly more room.
func (n *homeNode) otherZone(begun *attempt, room float64, none bool) (*zoneState, bool) {
	var offers []placement.ZoneCapacity
	var zones []*zoneState
	for _, name := range n.world.site.Zones {
		zone := n.router.zones[name]
		allowed := len(begun.start.Zones) == 0 || slices.Contains(begun.start.Zones, name)
		if name == n.zone || zone == nil || !allowed {
			continue
		}
		offers = append(offers, placement.ZoneCapacity{Routable: zone.aggregate.routable, FreePerReplica: n.room(zone)})
		zones = append(zones, zone)
	}
	chosen, better := n.accepts.chooser.Zone(offers, room, none)
	if !better {
		return nil, false
	}
	n.accepts.crossing[zones[chosen].name].sent++
	return zones[chosen], true
}

// room gives the free places for each replica of another zone, less what this
// node has sent there since it heard.
func (n *homeNode) room(zone *zoneState) float64 {
	known := n.accepts.crossing[zone.name]
	if known == nil {
		known = &crossing{}
		n.accepts.crossing[zone.name] = known
	}
	if known.sequence != zone.aggregate.sequence {
		known.sequence, known.mark = zone.aggregate.sequence, known.sent
	}
	free := zone.aggregate.free - (known.sent - known.mark)
	return float64(free) / float64(max(zone.aggregate.routable, 1))
}

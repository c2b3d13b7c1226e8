package sim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Intervals of the reports within a zone and between zones; the defaults of the nodes.
const (
	summaryInterval   = 200 * time.Millisecond
	aggregateInterval = time.Second
)

// zoneState is the state of a zone's replicas as last reported within and between zones.
type zoneState struct {
	name  port.ZoneName
	nodes []*homeNode
	// replicas holds the candidates as of reported.
	replicas []scheduling.Candidate
	reported time.Time
	// aggregate is the state visible to the other zones.
	aggregate aggregate
}

// aggregate is a summary of a zone's engines for the other zones.
type aggregate struct {
	routable, free int
	sequence       uint64
}

// chooserState is the state with which a node chooses replicas and zones.
type chooserState struct {
	chooser        *placement.Chooser
	counts         map[port.ReplicaID]*placement.Counts
	countsAtReport map[port.ReplicaID]placement.CountsAtReport
	zoneCounts     map[port.ZoneName]*zoneCounts
	scratch        []scheduling.Candidate
}

// zoneCounts counts the attempts that a node sent to another zone.
type zoneCounts struct {
	sent, sentAtReport int
	sequence           uint64
}

func newChooserState(w *world, id port.NodeID) chooserState {
	return chooserState{
		chooser:        placement.New(rand.New(rand.NewPCG(w.options.Seed, nameSeed("chooser "+string(id))))),
		counts:         make(map[port.ReplicaID]*placement.Counts),
		countsAtReport: make(map[port.ReplicaID]placement.CountsAtReport),
		zoneCounts:     make(map[port.ZoneName]*zoneCounts),
	}
}

// countsOf returns the node's counts of a replica.
func (s *chooserState) countsOf(id port.ReplicaID) *placement.Counts {
	counts := s.counts[id]
	if counts == nil {
		counts = &placement.Counts{}
		s.counts[id] = counts
	}
	return counts
}

// buildZones creates the zones and schedules their reports.
func (r *homeRouter) buildZones() {
	for _, n := range r.nodes {
		zone := r.zones[n.zone]
		if zone == nil {
			zone = &zoneState{name: n.zone}
			r.zones[n.zone] = zone
			r.world.every(summaryInterval, 0, func() { r.summarize(zone) })
			r.world.every(aggregateInterval, 0, func() { zone.updateAggregate() })
		}
		zone.nodes = append(zone.nodes, n)
	}
}

// summarize updates the replica states that the zone's nodes see.
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

// updateAggregate updates the summary for the other zones.
func (z *zoneState) updateAggregate() {
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

// accept accepts an attempt: it chooses a replica in this zone or forwards the attempt
// to another zone.
func (n *homeNode) accept(a *attempt) {
	a.acceptedBy = n
	home, preferred, free, refusal := n.local(a)
	if zone, better := n.otherZone(a, free, refusal != nil); better {
		target := zone.nodes[n.chooserState.chooser.Draw(len(zone.nodes))]
		a.zone = target.zone
		n.world.after(n.world.latency(n.zone, target.zone), func() { target.relay(a) })
		return
	}
	n.send(a, home, preferred, refusal)
}

// relay chooses a replica of this zone for an attempt from another zone.
func (n *homeNode) relay(a *attempt) {
	home, preferred, _, refusal := n.local(a)
	n.send(a, home, preferred, refusal)
}

// send sends an attempt to the chosen home node.
func (n *homeNode) send(a *attempt, home *homeNode, preferred port.ReplicaID, refusal *port.Error) {
	if refusal != nil {
		a.refused(refusal)
		return
	}
	a.zone = home.zone
	if a.acceptedBy == n {
		a.countSent(preferred)
	}
	n.world.after(n.world.latency(n.zone, home.zone), func() { home.offer(a, preferred) })
}

// local chooses a replica in the node's zone.
func (n *homeNode) local(a *attempt) (home *homeNode, chosen port.ReplicaID, free float64, refusal *port.Error) {
	zones := a.start.Zones
	if len(zones) > 0 && !slices.Contains(zones, n.zone) {
		return nil, "", 0, placement.NoReplica(nil)
	}
	zone := n.router.zones[n.zone]
	state := &n.chooserState
	state.scratch = state.scratch[:0]
	now := n.world.clock()
	for index := range zone.replicas {
		candidate := zone.replicas[index]
		counts := *state.countsOf(candidate.Replica)
		atReport := state.countsAtReport[candidate.Replica].Update(zone.reported, counts)
		state.countsAtReport[candidate.Replica] = atReport
		state.scratch = append(state.scratch, atReport.Apply(now, zone.reported, candidate, counts))
	}
	var tried []port.ReplicaID
	if a.start.Avoid != "" {
		tried = []port.ReplicaID{a.start.Avoid}
	}
	position, free, refusal := state.chooser.Local(now, n.schedulingRequest(a), tried, state.scratch)
	if refusal != nil {
		return nil, "", 0, refusal
	}
	chosen = state.scratch[position].Replica
	return n.router.home[chosen], chosen, free, nil
}

// otherZone chooses another zone if one has clearly more free slots.
func (n *homeNode) otherZone(a *attempt, free float64, none bool) (*zoneState, bool) {
	var capacities []placement.ZoneCapacity
	var zones []*zoneState
	for _, name := range n.world.site.Zones {
		zone := n.router.zones[name]
		allowed := len(a.start.Zones) == 0 || slices.Contains(a.start.Zones, name)
		if name == n.zone || zone == nil || !allowed {
			continue
		}
		capacities = append(capacities, placement.ZoneCapacity{Routable: zone.aggregate.routable, FreePerReplica: n.freePerReplica(zone)})
		zones = append(zones, zone)
	}
	chosen, better := n.chooserState.chooser.Zone(capacities, free, none)
	if !better {
		return nil, false
	}
	n.chooserState.zoneCounts[zones[chosen].name].sent++
	return zones[chosen], true
}

// freePerReplica returns the free slots per replica of another zone, less the attempts
// that this node sent there since the last aggregate.
func (n *homeNode) freePerReplica(zone *zoneState) float64 {
	counts := n.chooserState.zoneCounts[zone.name]
	if counts == nil {
		counts = &zoneCounts{}
		n.chooserState.zoneCounts[zone.name] = counts
	}
	if counts.sequence != zone.aggregate.sequence {
		counts.sequence, counts.sentAtReport = zone.aggregate.sequence, counts.sent
	}
	free := zone.aggregate.free - (counts.sent - counts.sentAtReport)
	return float64(free) / float64(max(zone.aggregate.routable, 1))
}

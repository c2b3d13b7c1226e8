package nodestate

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/core/ejection"
	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Gate is the gate of a pool, as far as a State uses it.
type Gate interface {
	Configure(now time.Time, settings gate.Settings, replicas []gate.Replica)
	Tick(now time.Time)
	Loads() (loads map[port.ReplicaID]gate.Load, waiting int)
	ResetCache(replica port.ReplicaID)
}

// Counter counts what the node sent to a replica or a zone.
type Counter interface{ Counts() placement.Counts }

// Config says who the node is, how it paces what it tells, and how to make what
// traffic uses as well.
type Config struct {
	Self   port.NodeID
	Zone   port.ZoneName
	Region port.RegionName
	// PeerAddress and HTTPAddress are told to others.
	PeerAddress, HTTPAddress string
	// Incarnation must be higher than that of any earlier process of this node.
	Incarnation uint64
	// Summary, Aggregate and Report are the least times between two summaries to
	// the zone, two aggregates to other zones and two reports to control.
	Summary, Aggregate, Report time.Duration
	// Load is the least time between two polls of an own engine.
	Load time.Duration
	// NewGate makes the gate of a pool.
	NewGate func(pool *port.Pool) Gate
	// ReplicaCounter and ZoneCounter find the counters of a replica, and of what
	// another zone serves of a pool.
	ReplicaCounter func(port.ReplicaID) Counter
	ZoneCounter    func(ZonePool) Counter
	// MessageBytes gives the size of a summary in bytes.
	MessageBytes func(membership.HomeSummary) int
}

// ZonePool names what another zone serves of an engine pool.
type ZonePool struct {
	Zone port.ZoneName
	Pool port.PoolName
}

// State is what a node knows. It is not safe for concurrent use.
type State struct {
	config     Config
	observer   *controlstate.Observer
	detector   *membership.Detector
	summaries  *membership.Summaries
	aggregates *membership.Aggregates
	teller     *membership.AggregateTeller
	// asked counts how often this node asked for aggregates.
	asked int
	// gates are those of application pools and of engine pools with a replica
	// that this node is the home of.
	gates     map[port.PoolName]Gate
	trackers  map[port.PoolName]*ejection.Tracker
	records   map[port.ReplicaID]*home.Record
	marks     map[port.ReplicaID]placement.Mark
	zoneMarks map[ZonePool]zoneMark
	// fences are the highest fences that rollouts of engine pools came with.
	fences  map[port.PoolName]port.Epoch
	leaving *home.Leaving
	// listWanted is when the machine list was first missed.
	listWanted time.Time
	outcomes   map[port.NodeID][]CallOutcome

	sequence        uint64
	lastSummary     time.Time
	summaryInterval time.Duration
	lastAggregate   time.Time
	lastReport      time.Time
	draining        bool
	changed         bool
	homes           *HomeTable
	tables          *tables
	ownedNow        *ownedReplicas
	snapshot        *Snapshot
	rebuiltAt       time.Time
	rebuildCost     time.Duration
	output          Output
}

// zoneMark remembers the own counter when another zone's word came.
type zoneMark struct {
	sequence uint64
	sent     int64
}

// New makes the state of a node that knows nothing yet.
func New(config Config, now time.Time) *State {
	return &State{
		config:     config,
		observer:   controlstate.NewObserver(),
		detector:   membership.NewDetector(membership.Config{Self: config.Self, Zone: config.Zone, Incarnation: config.Incarnation}, now),
		summaries:  membership.NewSummaries(),
		aggregates: membership.NewAggregates(),
		teller:     membership.NewAggregateTeller(),
		gates:      make(map[port.PoolName]Gate),
		trackers:   make(map[port.PoolName]*ejection.Tracker),
		records:    make(map[port.ReplicaID]*home.Record),
		marks:      make(map[port.ReplicaID]placement.Mark),
		zoneMarks:  make(map[ZonePool]zoneMark),
		fences:     make(map[port.PoolName]port.Epoch),
		leaving:    home.NewLeaving(),
		outcomes:   make(map[port.NodeID][]CallOutcome),
		homes:      NewHomeTable(config.Zone, nil, nil),
		snapshot:   EmptySnapshot(config.Zone),
	}
}

// Flush gives what the calls since the last Flush ask to be done.
func (s *State) Flush() Output {
	output := s.output
	s.output = Output{}
	return output
}

// View gives the present view of the control state.
func (s *State) View() *port.View { return s.observer.View() }

// Position gives the position to ask updates of the view after.
func (s *State) Position() uint64 { return s.observer.Position() }

// Tick lets time pass. MayReport is false while a report to control is still
// under way; the next one is put off.
func (s *State) Tick(now time.Time, mayReport bool) {
	s.send(s.detector.Tick(now))
	s.tickTrackers(now)
	s.changed = s.leaving.DropSilent(now) || s.changed
	s.RebuildIfDue(now)
	for _, pool := range sortedKeys(s.gates) {
		s.gates[pool].Tick(now)
	}
	s.sendSummaries(now)
	s.sendAggregates(now)
	s.sendOutcomes()
	if mayReport {
		s.report(now)
	}
}

// Waiting gives the number of requests that wait at each gate.
func (s *State) Waiting() map[port.PoolName]int {
	waiting := make(map[port.PoolName]int, len(s.gates))
	for pool, held := range s.gates {
		_, waiting[pool] = held.Loads()
	}
	return waiting
}

// send takes over what the failure detector asks for.
func (s *State) send(output membership.Output) {
	for _, envelope := range output.Messages {
		s.tell(envelope.To, envelope.Message)
	}
	if len(output.Changes) > 0 {
		s.changed = true
	}
}

// tell sends a message to a node that the view lists.
func (s *State) tell(to port.NodeID, body any) {
	if target, known := s.node(to); known {
		s.output.Messages = append(s.output.Messages, Envelope{To: target, Body: body})
	}
}

func (s *State) node(id port.NodeID) (port.NodeAddress, bool) {
	nodes := s.observer.View().Nodes
	place, found := slices.BinarySearchFunc(nodes, id, func(node port.NodeAddress, id port.NodeID) int { return cmp.Compare(node.ID, id) })
	if !found {
		return port.NodeAddress{}, false
	}
	return nodes[place], true
}

// tellZone sends a message to the other live nodes of the zone, and counts them.
func (s *State) tellZone(body any) int {
	count := 0
	for _, id := range s.detector.Live() {
		if _, known := s.node(id); known && id != s.config.Self {
			s.tell(id, body)
			count++
		}
	}
	return count
}

// ViewUpdate takes an update of the control view. Confirmed says that it renews
// the configuration lease. An error asks for updates after Position again.
func (s *State) ViewUpdate(now time.Time, update port.ViewUpdate) (advanced, confirmed bool, err error) {
	before := s.observer.View().Nodes
	advanced, err = s.observer.Apply(update)
	if err != nil {
		return false, false, err
	}
	confirmed = s.observer.Confirms(update)
	if !advanced {
		return false, confirmed, nil
	}
	// Most updates bring leases alone.
	if nodes := s.observer.View().Nodes; !sameSlice(before, nodes) {
		s.send(s.detector.SetView(now, nodes))
		s.tellDetector()
	}
	s.changed = true
	return true, confirmed, nil
}

// Member takes a message of the failure detector.
func (s *State) Member(now time.Time, message membership.Message) {
	s.send(s.detector.Receive(now, message))
}

// Summary takes what a home tells its zone.
func (s *State) Summary(now time.Time, summary membership.HomeSummary) {
	if s.summaries.Apply(now, summary) {
		s.changed = true
	}
}

// Aggregates takes what another zone tells, and relays it to the own one.
func (s *State) Aggregates(now time.Time, message AggregatesMessage) {
	if message.Asker != "" {
		s.tellNewcomer(message.Asker)
		return
	}
	fresh := false
	for _, aggregate := range message.Aggregates {
		if aggregate.Zone != s.config.Zone && s.aggregates.Apply(now, aggregate) {
			fresh = true
		}
	}
	if !fresh {
		return
	}
	s.changed = true
	if !message.Relayed {
		s.tellZone(AggregatesMessage{Aggregates: message.Aggregates, Relayed: true})
	}
}

// urgent lets the next rebuild and summary come at once.
func (s *State) urgent() {
	s.changed = true
	s.rebuiltAt = time.Time{}
	s.lastSummary = time.Time{}
}

// tellDetector tells the failure detector which nodes' machines leave. Only the
// leaving machines are known here, so that every other node counts as listed.
// The detector knows machines by IP: where nodes share one, the live ones, which
// come last, win.
func (s *State) tellDetector() {
	var leaving, live []port.Machine
	for _, node := range s.observer.View().Nodes {
		if s.leaving.Has(node.PeerAddress) {
			leaving = append(leaving, port.Machine{Address: node.PeerAddress, State: port.MachineLeaving})
			continue
		}
		live = append(live, port.Machine{Address: node.PeerAddress, State: port.MachineLive})
	}
	s.detector.SetMachines(s.config.PeerAddress, append(leaving, live...))
}

// Drain tells control, and through it the peers, that this node stops.
func (s *State) Drain(now time.Time) {
	s.draining = true
	s.changed = true
	s.lastReport = time.Time{}
	s.report(now)
}

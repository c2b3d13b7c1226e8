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

// Gate is the part of a pool's gate that a State uses.
type Gate interface {
	Configure(now time.Time, settings gate.Settings, replicas []gate.Replica)
	Tick(now time.Time)
	Loads() (loads map[port.ReplicaID]gate.Load, waiting int)
	ResetCache(replica port.ReplicaID)
}

// Counter counts the requests that the node sent to a replica or a zone.
type Counter interface{ Counts() placement.Counts }

// Config holds the node's identity, its send intervals, and the constructors of
// gates and counters.
type Config struct {
	Self   port.NodeID
	Zone   port.ZoneName
	Region port.RegionName
	// PeerAddress and HTTPAddress are published to other nodes.
	PeerAddress, HTTPAddress string
	// Incarnation must be higher than that of any earlier process of this node.
	Incarnation uint64
	// Summary, Aggregate and Report are the minimum intervals of summaries to the
	// zone, aggregates to other zones and reports to the control service.
	Summary, Aggregate, Report time.Duration
	// Load is the minimum interval between polls of an engine.
	Load time.Duration
	// NewGate creates the gate of a pool.
	NewGate func(pool *port.Pool) Gate
	// ReplicaCounter and ZoneCounter return the counters of a replica and of a pool
	// in another zone.
	ReplicaCounter func(port.ReplicaID) Counter
	ZoneCounter    func(ZonePool) Counter
	// MessageBytes returns the encoded size of a summary.
	MessageBytes func(membership.HomeSummary) int
}

// ZonePool identifies an engine pool in another zone.
type ZonePool struct {
	Zone port.ZoneName
	Pool port.PoolName
}

// State holds the control state of a node. It is not safe for concurrent use.
type State struct {
	config         Config
	observer       *controlstate.Observer
	detector       *membership.Detector
	summaries      *membership.Summaries
	aggregates     *membership.Aggregates
	aggregatePacer *membership.AggregateScheduler
	// aggregateRequests counts the requests for aggregates sent since the start.
	aggregateRequests int
	// gates holds the gates of application pools and of engine pools with a replica
	// that this node is the home of.
	gates          map[port.PoolName]Gate
	trackers       map[port.PoolName]*ejection.Tracker
	records        map[port.ReplicaID]*home.Record
	countsAtReport map[port.ReplicaID]placement.CountsAtReport
	zoneBaselines  map[ZonePool]zoneBaseline
	// fences holds the highest fence received from the rollout of each engine pool.
	fences  map[port.PoolName]port.Epoch
	leaving *home.LeavingMachines
	// machineListAwaitedSince is when the node started to wait for the machine list.
	machineListAwaitedSince time.Time
	outcomes                map[port.NodeID][]CallOutcome

	sequence        uint64
	lastSummary     time.Time
	summaryInterval time.Duration
	lastAggregate   time.Time
	lastReport      time.Time
	draining        bool
	changed         bool
	homes           *HomeTable
	tables          *tables
	ownedCache      *ownedReplicas
	snapshot        *Snapshot
	rebuiltAt       time.Time
	rebuildCost     time.Duration
	output          Output
}

// zoneBaseline holds the number of requests sent to a zone when its aggregate arrived.
type zoneBaseline struct {
	sequence uint64
	sent     int64
}

// New returns the state of a node before its first view.
func New(config Config, now time.Time) *State {
	return &State{
		config:         config,
		observer:       controlstate.NewObserver(),
		detector:       membership.NewDetector(membership.Config{Self: config.Self, Zone: config.Zone, Incarnation: config.Incarnation}, now),
		summaries:      membership.NewSummaries(),
		aggregates:     membership.NewAggregates(),
		aggregatePacer: membership.NewAggregateScheduler(),
		gates:          make(map[port.PoolName]Gate),
		trackers:       make(map[port.PoolName]*ejection.Tracker),
		records:        make(map[port.ReplicaID]*home.Record),
		countsAtReport: make(map[port.ReplicaID]placement.CountsAtReport),
		zoneBaselines:  make(map[ZonePool]zoneBaseline),
		fences:         make(map[port.PoolName]port.Epoch),
		leaving:        home.NewLeavingMachines(),
		outcomes:       make(map[port.NodeID][]CallOutcome),
		homes:          NewHomeTable(config.Zone, nil, nil),
		snapshot:       EmptySnapshot(config.Zone),
	}
}

// Flush returns the output of the calls since the last Flush.
func (s *State) Flush() Output {
	output := s.output
	s.output = Output{}
	return output
}

// View returns the current view of the control state.
func (s *State) View() *port.View { return s.observer.View() }

// Position returns the position after which the caller requests updates of the view.
func (s *State) Position() uint64 { return s.observer.Position() }

// Tick runs the periodic work. MayReport is false while a report to the control
// service is in flight; the next one waits for it.
func (s *State) Tick(now time.Time, mayReport bool) {
	s.handleDetectorOutput(s.detector.Tick(now))
	s.tickTrackers(now)
	s.changed = s.leaving.DropStale(now) || s.changed
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

// Waiting returns the number of queued requests at each gate.
func (s *State) Waiting() map[port.PoolName]int {
	waiting := make(map[port.PoolName]int, len(s.gates))
	for pool, poolGate := range s.gates {
		_, waiting[pool] = poolGate.Loads()
	}
	return waiting
}

// handleDetectorOutput sends the failure detector's messages and records its changes.
func (s *State) handleDetectorOutput(output membership.Output) {
	for _, envelope := range output.Messages {
		s.sendTo(envelope.To, envelope.Message)
	}
	if len(output.Changes) > 0 {
		s.changed = true
	}
}

// sendTo queues a message to a node if the view lists it.
func (s *State) sendTo(to port.NodeID, body any) {
	if target, known := s.node(to); known {
		s.output.Messages = append(s.output.Messages, Envelope{To: target, Body: body})
	}
}

func (s *State) node(id port.NodeID) (port.NodeAddress, bool) {
	nodes := s.observer.View().Nodes
	index, found := slices.BinarySearchFunc(nodes, id, func(node port.NodeAddress, id port.NodeID) int { return cmp.Compare(node.ID, id) })
	if !found {
		return port.NodeAddress{}, false
	}
	return nodes[index], true
}

// sendToZone queues a message to the other live nodes of the zone and returns their
// number.
func (s *State) sendToZone(body any) int {
	count := 0
	for _, id := range s.detector.Live() {
		if _, known := s.node(id); known && id != s.config.Self {
			s.sendTo(id, body)
			count++
		}
	}
	return count
}

// ViewUpdate applies an update of the control view. It reports whether the view
// advanced and whether the update renews the configuration lease. After an error,
// the caller requests updates from Position again.
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
	// Most updates change only leases.
	if nodes := s.observer.View().Nodes; !sameSlice(before, nodes) {
		s.handleDetectorOutput(s.detector.SetView(now, nodes))
		s.updateDetectorMachines()
	}
	s.changed = true
	return true, confirmed, nil
}

// HandleMembership handles a message of the failure detector.
func (s *State) HandleMembership(now time.Time, message membership.Message) {
	s.handleDetectorOutput(s.detector.Receive(now, message))
}

// HandleSummary applies the summary of a home of the zone.
func (s *State) HandleSummary(now time.Time, summary membership.HomeSummary) {
	if s.summaries.Apply(now, summary) {
		s.changed = true
	}
}

// HandleAggregates applies the aggregates of another zone and relays new ones to the own
// zone, or answers a node's request for them.
func (s *State) HandleAggregates(now time.Time, message AggregatesMessage) {
	if message.Requester != "" {
		s.sendRelayedAggregates(message.Requester)
		return
	}
	applied := false
	for _, aggregate := range message.Aggregates {
		if aggregate.Zone != s.config.Zone && s.aggregates.Apply(now, aggregate) {
			applied = true
		}
	}
	if !applied {
		return
	}
	s.changed = true
	if !message.Relayed {
		s.sendToZone(AggregatesMessage{Aggregates: message.Aggregates, Relayed: true})
	}
}

// resetPacing makes the next rebuild and summary due immediately.
func (s *State) resetPacing() {
	s.changed = true
	s.rebuiltAt = time.Time{}
	s.lastSummary = time.Time{}
}

// updateDetectorMachines updates the machines of the failure detector. Only leaving
// machines are known here, so every other node counts as live. The detector
// identifies machines by IP address: live nodes come last and take precedence
// where nodes share one.
func (s *State) updateDetectorMachines() {
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

// Drain reports to the control service that this node is stopping.
func (s *State) Drain(now time.Time) {
	s.draining = true
	s.changed = true
	s.lastReport = time.Time{}
	s.report(now)
}

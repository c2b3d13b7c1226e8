package nodestate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/ejection"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/port"
)

// ownedReplica is a replica that this node is the home of, with the gate of its pool.
type ownedReplica struct {
	replica port.Replica
	polled  bool
	gate    Gate
}

// HandleLoadReport handles an engine's answer to a load poll sent at requestedAt.
func (s *State) HandleLoadReport(now, requestedAt time.Time, replica port.ReplicaID, report port.LoadReport, failure *port.Error) {
	record := s.records[replica]
	if record == nil {
		return
	}
	s.changed = true
	if failure != nil {
		if record.PollFailed() {
			s.observe(now, record.Replica.Pool, CallOutcome{Replica: replica, Failed: true})
		}
		return
	}
	_, restarted := record.ApplyReport(now, requestedAt, report)
	if poolGate := s.gates[record.Replica.Pool]; restarted && poolGate != nil {
		poolGate.ResetCache(replica)
	}
}

// setOwnedReplicas starts and stops polls to match the replicas that this node is the home of.
func (s *State) setOwnedReplicas(owned map[port.ReplicaID]ownedReplica) {
	for _, id := range sortedKeys(s.records) {
		record := s.records[id]
		desired, found := owned[id]
		if found && desired.replica.Address == record.Replica.Address {
			record.Replica = desired.replica
			continue
		}
		if record.Polled {
			s.output.Stopped = append(s.output.Stopped, id)
		}
		delete(s.records, id)
	}
	for _, id := range sortedKeys(owned) {
		desired := owned[id]
		if s.records[id] != nil {
			continue
		}
		s.records[id] = &home.Record{Replica: desired.replica, Polled: desired.polled}
		if desired.polled {
			s.output.Started = append(s.output.Started, Poll{Replica: desired.replica, Gate: desired.gate})
		}
	}
}

// HandleOutcomes records the outcomes of calls to replicas that this node is the home of.
func (s *State) HandleOutcomes(now time.Time, outcomes []CallOutcome) {
	for _, outcome := range outcomes {
		if record := s.records[outcome.Replica]; record != nil {
			s.observe(now, record.Replica.Pool, outcome)
		}
	}
}

// HandleCallOutcome records the outcome of an application call made by this node, or queues
// it for the replica's home.
func (s *State) HandleCallOutcome(now time.Time, outcome CallOutcome) {
	if record := s.records[outcome.Replica]; record != nil {
		s.observe(now, record.Replica.Pool, outcome)
		return
	}
	replica, configured := s.snapshot.Replicas[outcome.Replica]
	if !configured {
		return
	}
	home, found := s.homes.Home(replica)
	if found && len(s.outcomes[home]) < maxOutcomes {
		s.outcomes[home] = append(s.outcomes[home], outcome)
	}
}

// maxOutcomes limits the outcomes queued for one home between two ticks.
const maxOutcomes = 256

// sendOutcomes sends the queued outcomes to the homes of the replicas.
func (s *State) sendOutcomes() {
	for _, home := range sortedKeys(s.outcomes) {
		s.sendTo(home, OutcomesMessage{Outcomes: s.outcomes[home]})
		delete(s.outcomes, home)
	}
}

// observe passes the outcome of a call to the ejection tracker of the pool.
func (s *State) observe(now time.Time, pool port.PoolName, outcome CallOutcome) {
	tracker := s.trackers[pool]
	if tracker == nil {
		return
	}
	latency := time.Duration(outcome.LatencyMicros) * time.Microsecond
	if change, happened := tracker.Observe(now, outcome.Replica, outcome.Failed, latency); happened {
		s.recordHealthChange(pool, change)
	}
}

func (s *State) tickTrackers(now time.Time) {
	for _, pool := range sortedKeys(s.trackers) {
		for _, change := range s.trackers[pool].Tick(now) {
			s.recordHealthChange(pool, change)
		}
	}
}

// recordHealthChange records a decision for a change of health and makes a summary due.
func (s *State) recordHealthChange(pool port.PoolName, change ejection.Change) {
	s.changed = true
	s.lastSummary = time.Time{}
	kind := port.DecisionReturned
	if change.State == ejection.Ejected {
		kind = port.DecisionEjected
	}
	if change.State == ejection.Probing {
		return
	}
	s.output.Decisions = append(s.output.Decisions, port.Decision{
		Kind: kind, Subject: ReplicaSubject(change.Replica), Pool: pool, Replica: change.Replica,
		Revision: s.observer.View().Revision, Detail: string(change.Cause),
	})
}

// ReplicaPrefix is the prefix of the subject of records about a replica.
const ReplicaPrefix = "replica/"

// ReplicaSubject returns the subject of records about a replica.
func ReplicaSubject(id port.ReplicaID) string { return ReplicaPrefix + string(id) }

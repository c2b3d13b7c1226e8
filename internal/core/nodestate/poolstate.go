package nodestate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/home"
)

// exclusionTTL is how long a replica that a rollout excluded is not routed to unless
// the rollout renews the exclusion.
const exclusionTTL = 10 * time.Second

// PoolState applies the exclusions of a rollout and returns the state of the pool's
// replicas that this node is the home of.
func (s *State) PoolState(now time.Time, call PoolStateCall) PoolStateAnswer {
	s.applyExclusions(now, call)
	var answer PoolStateAnswer
	poolGate := s.gates[call.Pool]
	if poolGate == nil {
		return answer
	}
	loads, _ := poolGate.Loads()
	for _, id := range sortedKeys(s.records) {
		record := s.records[id]
		if record.Replica.Pool == call.Pool && record.Polled {
			answer.Replicas = append(answer.Replicas, s.replicaState(now, record, loads[id]))
		}
	}
	return answer
}

func (s *State) replicaState(now time.Time, record *home.Record, load gate.Load) ReplicaState {
	summary := s.replicaSummary(now, record, load, 0)
	return ReplicaState{
		Replica:   record.Replica.ID,
		Report:    record.Report(now),
		Reachable: record.Reachable() && !summary.Leaving,
		Routable:  summary.Capacity() > 0,
		Inflight:  load.Inflight,
		Limit:     summary.Capacity(),
	}
}

// applyExclusions updates the replicas that a rollout excludes from routing. It
// ignores a call with a fence lower than the highest one received.
func (s *State) applyExclusions(now time.Time, call PoolStateCall) {
	if call.Fence < s.fences[call.Pool] {
		return
	}
	s.fences[call.Pool] = call.Fence
	for id, record := range s.records {
		if record.Replica.Pool != call.Pool {
			continue
		}
		until := time.Time{}
		for _, excluded := range call.Excluded {
			if excluded == id {
				until = now.Add(exclusionTTL)
			}
		}
		if record.ExcludeUntil(until) {
			s.resetPacing()
		}
	}
}

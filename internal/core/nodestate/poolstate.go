package nodestate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/home"
)

// routedOutFor is how long a replica stays out of routing on the word of a
// rollout that says no more.
const routedOutFor = 10 * time.Second

// PoolState takes over what a rollout keeps out of routing, and answers with the
// state of the pool's replicas that this node is the home of.
func (s *State) PoolState(now time.Time, call PoolStateCall) PoolStateAnswer {
	s.routeOut(now, call)
	var answer PoolStateAnswer
	owned := s.gates[call.Pool]
	if owned == nil {
		return answer
	}
	loads, _ := owned.Loads()
	for _, id := range sortedKeys(s.records) {
		held := s.records[id]
		if held.Replica.Pool == call.Pool && held.Polled {
			answer.Replicas = append(answer.Replicas, s.replicaState(now, held, loads[id]))
		}
	}
	return answer
}

func (s *State) replicaState(now time.Time, held *home.Record, load gate.Load) ReplicaState {
	summary := s.replicaSummary(now, held, load, 0)
	return ReplicaState{
		Replica:   held.Replica.ID,
		Report:    held.Report(now),
		Reachable: held.Reachable() && !summary.Leaving,
		Routable:  summary.Takes() > 0,
		Inflight:  load.Inflight,
		Limit:     summary.Takes(),
	}
}

// routeOut takes over which replicas a rollout keeps out of routing. A lower
// fence than one seen before is not listened to.
func (s *State) routeOut(now time.Time, call PoolStateCall) {
	if call.Fence < s.fences[call.Pool] {
		return
	}
	s.fences[call.Pool] = call.Fence
	for id, held := range s.records {
		if held.Replica.Pool != call.Pool {
			continue
		}
		until := time.Time{}
		for _, out := range call.Out {
			if out == id {
				until = now.Add(routedOutFor)
			}
		}
		if held.RouteOut(until) {
			s.urgent()
		}
	}
}

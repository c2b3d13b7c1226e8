package poolworker

import (
	"maps"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// pollInterval is the minimum time between two polls of the home nodes.
	pollInterval = 500 * time.Millisecond
	// pollPerReplica lengthens the interval for large pools while no rollout is in
	// progress, which limits polling to 100 replicas per second.
	pollPerReplica = 10 * time.Millisecond
)

// rolloutState is the rollout of one sampling pool's weights to the engines.
type rolloutState struct {
	machine  *rollout.Rollout
	weights  port.WeightVersion
	excluded map[port.ReplicaID]bool // from routing
}

// updateRollouts maintains one rollout for each sampling pool that the engines of this
// worker's pool serve, and passes new versions to them.
func (w *Worker) updateRollouts(now time.Time) {
	served := make(map[port.PoolName]bool)
	for index := range w.view.Configuration.Pools {
		pool := &w.view.Configuration.Pools[index]
		if pool.Sampling == nil || pool.EnginePool() != w.config.Pool {
			continue
		}
		served[pool.Name] = true
		weights := weightsOf(w.view, pool.Name)
		state := w.rollouts[pool.Name]
		if state == nil {
			w.startRollout(now, pool, weights)
			continue
		}
		if weights.Version > state.weights {
			state.weights = weights.Version
			w.stepRollout(now, pool.Name, rollout.Published{Weights: weights})
		}
	}
	for name, state := range w.rollouts {
		if !served[name] {
			state.machine.Stop()
			delete(w.rollouts, name)
		}
	}
}

func (w *Worker) startRollout(now time.Time, pool *port.Pool, weights port.PublishedWeights) {
	machine, err := rollout.New(rollout.Config{
		Pool: pool.Name, Adapter: pool.Adapter, Fence: w.epoch, Node: w.config.Node,
		WeightStore: pool.Sampling.WeightStore, Weights: weights, Seed: w.config.Seed, StagingLock: &w.stagingLock,
	}, now)
	if err != nil {
		return
	}
	w.rollouts[pool.Name] = &rolloutState{machine: machine, weights: weights.Version, excluded: make(map[port.ReplicaID]bool)}
}

// stepRollout passes an event to a rollout and handles the actions it returns.
func (w *Worker) stepRollout(now time.Time, pool port.PoolName, event rollout.Event) {
	state := w.rollouts[pool]
	if state == nil || w.phase != phaseRunning {
		return
	}
	for _, action := range state.machine.Step(now, event) {
		switch action := action.(type) {
		case rollout.SendOrder:
			w.emit(Order{Rollout: pool, Send: action})
		case rollout.RouteOut:
			state.excluded[action.Replica] = true
			w.nextPoll = now
		case rollout.RouteIn:
			delete(state.excluded, action.Replica)
			w.nextPoll = now
		case rollout.FencedOff:
			w.end(now, nil)
		case rollout.Record:
			w.emit(Record{Decision: withReplicaSubject(action.Decision)})
		}
	}
}

// withReplicaSubject sets the subject of a decision about a replica.
func withReplicaSubject(decision port.Decision) port.Decision {
	if decision.Replica != "" {
		decision.Subject = nodestate.ReplicaSubject(decision.Replica)
	}
	return decision
}

// OrderAnswered passes the result of an order to its rollout.
func (w *Worker) OrderAnswered(now time.Time, pool port.PoolName, answered rollout.OrderAnswered) []Action {
	w.stepRollout(now, pool, answered)
	return w.flush()
}

// pollHomes polls the home nodes of the pool's replicas when a poll is due.
func (w *Worker) pollHomes(now time.Time) {
	pool := findPool(w.view, w.config.Pool)
	if w.polling || now.Before(w.nextPoll) || pool == nil {
		return
	}
	w.polling = true
	w.nextPoll = now.Add(w.pollDelay())
	w.emit(PollHomes{Pool: pool.EnginePool(), Fence: w.epoch, Excluded: w.excludedReplicas()})
}

// pollDelay returns the time until the next poll.
func (w *Worker) pollDelay() time.Duration {
	for _, state := range w.rollouts {
		if _, completed := state.machine.Target(); !completed {
			return pollInterval
		}
	}
	return max(pollInterval, time.Duration(w.replicas)*pollPerReplica)
}

// excludedReplicas returns the replicas that any rollout excludes from routing.
func (w *Worker) excludedReplicas() []port.ReplicaID {
	var excluded []port.ReplicaID
	for _, pool := range sortedPools(w.rollouts) {
		excluded = slices.AppendSeq(excluded, maps.Keys(w.rollouts[pool].excluded))
	}
	slices.Sort(excluded)
	return slices.Compact(excluded)
}

// StatesPolled handles the states of the pool's replicas that a poll returned.
func (w *Worker) StatesPolled(now time.Time, replicas []nodestate.ReplicaState) []Action {
	w.polling = false
	w.replicas = len(replicas)
	if w.phase != phaseRunning {
		return w.flush()
	}
	pool := findPool(w.view, w.config.Pool)
	if pool != nil {
		w.step(now, coordinator.CapacityChanged{Replicas: w.capacity(pool.Adapter, replicas)})
	}
	members := make([]rollout.Replica, 0, len(replicas))
	for _, replica := range replicas {
		members = append(members, rollout.Replica{ID: replica.Replica, Reachable: replica.Reachable})
	}
	for _, name := range sortedPools(w.rollouts) {
		w.stepRollout(now, name, rollout.ReplicasChanged{Replicas: members})
		for _, replica := range replicas {
			if replica.Reachable {
				w.stepRollout(now, name, rollout.LoadReported{Replica: replica.Replica, Report: replica.Report})
			}
		}
	}
	return w.flush()
}

// capacity returns the routable replicas in the form of the policy's view.
func (w *Worker) capacity(adapter string, replicas []nodestate.ReplicaState) []policy.Replica {
	zones := make(map[port.ReplicaID]port.ZoneName, len(w.view.Configuration.Replicas))
	for index := range w.view.Configuration.Replicas {
		configured := &w.view.Configuration.Replicas[index]
		zones[configured.ID] = configured.Zone
	}
	var usable []policy.Replica
	for _, replica := range replicas {
		if !replica.Routable {
			continue
		}
		version, _ := replica.Report.Versions(adapter)
		usable = append(usable, policy.Replica{
			ID: replica.Replica, Zone: zones[replica.Replica], Version: version,
			Running: replica.Inflight, Limit: replica.Limit,
		})
	}
	return usable
}

func findPool(view *port.View, name port.PoolName) *port.Pool {
	for index := range view.Configuration.Pools {
		if view.Configuration.Pools[index].Name == name {
			return &view.Configuration.Pools[index]
		}
	}
	return nil
}

// weightsOf returns a pool's published weights, or version 0 if there are none.
func weightsOf(view *port.View, pool port.PoolName) port.PublishedWeights {
	for _, weights := range view.Weights {
		if weights.Pool == pool {
			return weights
		}
	}
	return port.PublishedWeights{Pool: pool}
}

func sortedPools(rollouts map[port.PoolName]*rolloutState) []port.PoolName {
	return slices.Sorted(maps.Keys(rollouts))
}

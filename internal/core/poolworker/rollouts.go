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
	// pollInterval is the least time between two questions to the homes.
	pollInterval = 500 * time.Millisecond
	// pollPerReplica lengthens it for a large pool while no weights are being
	// rolled out, so that a coordinator asks for 100 replicas a second at most.
	pollPerReplica = 10 * time.Millisecond
)

// rolloutState is the weights rollout of one sampling pool on the engines.
type rolloutState struct {
	machine *rollout.Rollout
	weights port.WeightVersion
	out     map[port.ReplicaID]bool
}

// updateRollouts keeps a rollout for each sampling pool that the engines of this
// worker's pool serve, and tells them of new versions.
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
		WeightStore: pool.Sampling.WeightStore, Weights: weights, Seed: w.config.Seed, Turn: &w.turn,
	}, now)
	if err != nil {
		return
	}
	w.rollouts[pool.Name] = &rolloutState{machine: machine, weights: weights.Version, out: make(map[port.ReplicaID]bool)}
}

// stepRollout hands an event to a rollout and takes its actions over.
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
			state.out[action.Replica] = true
			w.nextPoll = now
		case rollout.RouteIn:
			delete(state.out, action.Replica)
			w.nextPoll = now
		case rollout.FencedOff:
			w.lose(now, nil)
		case rollout.Record:
			w.emit(Record{Decision: aboutReplica(action.Decision)})
		}
	}
}

// aboutReplica keeps a rollout's decision under the subject that operators ask
// for.
func aboutReplica(decided port.Decision) port.Decision {
	if decided.Replica != "" {
		decided.Subject = nodestate.ReplicaSubject(decided.Replica)
	}
	return decided
}

// OrderAnswered brings the outcome of an order to its rollout.
func (w *Worker) OrderAnswered(now time.Time, pool port.PoolName, answered rollout.OrderAnswered) []Action {
	w.stepRollout(now, pool, answered)
	return w.flush()
}

// pollHomes asks the homes of the pool's replicas for their state when it is
// time.
func (w *Worker) pollHomes(now time.Time) {
	pool := findPool(w.view, w.config.Pool)
	if w.polling || now.Before(w.nextPoll) || pool == nil {
		return
	}
	w.polling = true
	w.nextPoll = now.Add(w.untilPoll())
	w.emit(AskHomes{Pool: pool.EnginePool(), Fence: w.epoch, Out: w.routedOut()})
}

// untilPoll gives the time until the homes are asked again.
func (w *Worker) untilPoll() time.Duration {
	for _, state := range w.rollouts {
		if _, completed := state.machine.Target(); !completed {
			return pollInterval
		}
	}
	return max(pollInterval, time.Duration(w.replicas)*pollPerReplica)
}

// routedOut lists the replicas that some rollout keeps out of routing.
func (w *Worker) routedOut() []port.ReplicaID {
	var out []port.ReplicaID
	for _, pool := range sortedPools(w.rollouts) {
		out = slices.AppendSeq(out, maps.Keys(w.rollouts[pool].out))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// StatesPolled brings the state of the pool's replicas.
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

// capacity gives the replicas that may serve the pool as its policy sees them.
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
		version, _ := replica.Report.Serves(adapter)
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

// weightsOf gives a pool's published weights; none give the zero value.
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

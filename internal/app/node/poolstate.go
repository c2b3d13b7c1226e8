package node

import (
	"context"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node/gate"
	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

// routedOutFor is how long a replica stays out of routing on the word of a
// rollout that says no more.
const routedOutFor = 10 * time.Second

// poolStates is what a worker keeps about its polls of the homes.
type poolStates struct {
	nextPoll time.Time
	polling  bool
	// homes is the number of homes that the last poll asked.
	homes int
}

// pollStates asks the homes of the pool's replicas for their state when it is
// time.
func (w *poolWorker) pollStates(now time.Time) {
	if w.states.polling || now.Before(w.states.nextPoll) {
		return
	}
	w.states.polling = true
	w.states.nextPoll = now.Add(w.pollInterval())
	pool, _ := viewPool(w.node.snapshot.Load().view, w.pool)
	call := poolStateCall{Pool: pool.EnginePool(), Fence: w.epoch, Out: w.routedOut()}
	w.tasks.Go(func() {
		replicas, homes := w.node.poolStates(w.ctx, call)
		w.post(statesPolled{replicas: replicas, homes: homes})
	})
}

// pollInterval gives the time until the homes are asked again.
func (w *poolWorker) pollInterval() time.Duration {
	for _, state := range w.rollouts {
		if _, completed := state.machine.Target(); !completed {
			return poolStateInterval
		}
	}
	return max(poolStateInterval, time.Duration(w.states.homes)*poolStatePerHome)
}

// routedOut lists the replicas that some rollout keeps out of routing.
func (w *poolWorker) routedOut() []port.ReplicaID {
	var out []port.ReplicaID
	for _, state := range w.rollouts {
		for replica := range state.out {
			out = append(out, replica)
		}
	}
	return out
}

// statesPolled brings the state of the pool's replicas, of so many homes.
type statesPolled struct {
	replicas []replicaState
	homes    int
}

func (e statesPolled) apply(w *poolWorker, now time.Time) {
	w.states.polling = false
	w.states.homes = e.homes
	pool, _ := viewPool(w.node.snapshot.Load().view, w.pool)
	w.step(now, coordinator.CapacityChanged{Replicas: w.capacity(pool.Adapter, e.replicas)})
	members := make([]rollout.Replica, 0, len(e.replicas))
	for _, replica := range e.replicas {
		members = append(members, rollout.Replica{ID: replica.Replica, Reachable: replica.Reachable})
	}
	for name, state := range w.rollouts {
		w.stepRollout(now, name, state, rollout.ReplicasChanged{Replicas: members})
		for _, replica := range e.replicas {
			if replica.Reachable {
				w.stepRollout(now, name, state, rollout.LoadReported{Replica: replica.Replica, Report: replica.Report})
			}
		}
	}
}

// capacity gives the replicas that may serve the pool as its policy sees them.
func (w *poolWorker) capacity(adapter string, replicas []replicaState) []policy.Replica {
	configured := w.node.snapshot.Load().replicas
	var usable []policy.Replica
	for _, replica := range replicas {
		if !replica.Routable {
			continue
		}
		version, _ := replica.Report.Serves(adapter)
		usable = append(usable, policy.Replica{
			ID: replica.Replica, Zone: configured[replica.Replica].Zone, Version: version,
			Running: replica.Inflight, Limit: replica.Limit,
		})
	}
	return usable
}

// poolStates asks every home of a pool's replicas. Replicas whose home doesn't
// answer come back as not reachable. It gives the number of homes too.
func (n *Node) poolStates(ctx context.Context, call poolStateCall) ([]replicaState, int) {
	homes := make(map[port.NodeID]port.NodeAddress)
	known := make(map[port.ReplicaID]replicaState)
	for id, replica := range n.snapshot.Load().replicas {
		if replica.Pool != call.Pool {
			continue
		}
		known[id] = replicaState{Replica: id}
		if home, found := n.homeNode(id); found {
			homes[home.ID] = home
		}
	}
	var mutex sync.Mutex
	var asking sync.WaitGroup
	for _, home := range homes {
		asking.Go(func() {
			answer := n.askPoolState(ctx, home, call)
			mutex.Lock()
			defer mutex.Unlock()
			for _, state := range answer.Replicas {
				if _, listed := known[state.Replica]; listed {
					known[state.Replica] = state
				}
			}
		})
	}
	asking.Wait()
	states := make([]replicaState, 0, len(known))
	for _, state := range known {
		states = append(states, state)
	}
	return states, len(homes)
}

func (n *Node) askPoolState(ctx context.Context, home port.NodeAddress, call poolStateCall) poolStateAnswer {
	ctx, cancel := context.WithTimeout(ctx, n.config.Intervals.CallTimeout)
	defer cancel()
	if home.ID == n.config.ID {
		return n.servePoolState(ctx, call)
	}
	var answer poolStateAnswer
	_ = n.peers.call(ctx, home.PeerAddress, methodPoolState, call, &answer)
	return answer
}

// servePoolState answers for the replicas that this node is the home of.
func (n *Node) servePoolState(ctx context.Context, call poolStateCall) poolStateAnswer {
	reply := make(chan poolStateAnswer, 1)
	n.postWaiting(stateAsked{call: call, reply: reply})
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
	case <-n.stopped:
	}
	return poolStateAnswer{}
}

// stateAsked asks the control goroutine for the state of a pool's replicas.
type stateAsked struct {
	call  poolStateCall
	reply chan poolStateAnswer
}

func (e stateAsked) apply(c *controller, now time.Time) {
	c.routeOut(now, e.call)
	var answer poolStateAnswer
	owned := c.gates[e.call.Pool]
	if owned == nil {
		e.reply <- answer
		return
	}
	loads, _ := owned.Loads()
	for id, held := range c.homes {
		if held.Replica.Pool == e.call.Pool && held.Polled {
			answer.Replicas = append(answer.Replicas, c.replicaState(now, held, loads[id]))
		}
	}
	e.reply <- answer
}

func (c *controller) replicaState(now time.Time, held *ownReplica, load gate.Load) replicaState {
	summary := c.replicaSummary(now, held, load, 0)
	return replicaState{
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
func (c *controller) routeOut(now time.Time, call poolStateCall) {
	if call.Fence < c.fences[call.Pool] {
		return
	}
	c.fences[call.Pool] = call.Fence
	for id, held := range c.homes {
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
			c.changed = true
			c.rebuiltAt = time.Time{}
			c.lastSummary = time.Time{}
		}
	}
}

package fleet

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	appnode "github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/core/poolworker"
	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	workerTick   = 100 * time.Millisecond
	orderTimeout = 15 * time.Second
)

// worker drives the work of one pool under its lease at one node.
type worker struct {
	node     *node
	pool     int
	name     port.PoolName
	core     *poolworker.Worker
	granted  bool
	done     bool
	samples  []*sample
	finished int // of samples
}

func (n *node) worker(pool port.PoolName) *worker {
	index := slices.IndexFunc(n.workers, func(held *worker) bool { return held.name == pool })
	if index < 0 {
		return nil
	}
	return n.workers[index]
}

func (n *node) startWorker(pool port.PoolName) {
	f := n.fleet
	started := &worker{node: n, pool: f.poolNumber[pool], name: pool}
	n.workers = append(n.workers, started)
	core, actions := poolworker.New(poolworker.Config{
		Pool: pool, Node: n.address.ID, Seed: f.options.Seed, Lease: appnode.DefaultCoordinatorLease, CallTimeout: appnode.DefaultCallTimeout,
	}, f.wall(), n.snapshot.View)
	started.core = core
	started.carryOut(actions)
	f.every(&n.endpoint, workSampling, f.between(0, workerTick), started.tick)
}

func (w *worker) tick() time.Duration {
	if w.done {
		return day
	}
	w.carryOut(w.core.Tick(w.node.fleet.wall(), w.node.snapshot.View))
	if w.core.Running() {
		w.node.fleet.trainers[w.pool].ask(w)
	}
	return workerTick
}

// carryOut does what the core asks for.
func (w *worker) carryOut(actions []poolworker.Action) {
	if w.core.Running() && !w.granted {
		w.granted = true
		w.node.fleet.granted(w)
	}
	for _, action := range actions {
		switch action := action.(type) {
		case poolworker.Propose:
			w.propose(action)
		case poolworker.AskHomes:
			w.askHomes(action)
		case poolworker.Order:
			w.order(action)
		case poolworker.Coordinate:
			w.coordinate(action.Action)
		case poolworker.Ended:
			w.end()
		case poolworker.PolicyRefused:
			w.node.fleet.violate("policy", "%v", action.Err)
		}
	}
}

// end forgets the worker: its lease ran out or belongs to someone else.
func (w *worker) end() {
	w.abandon()
	w.node.workers = slices.DeleteFunc(w.node.workers, func(held *worker) bool { return held == w })
	w.node.seeker.Ended(w.node.fleet.wall(), w.name)
}

// abandon ends all that runs, as when the process is gone.
func (w *worker) abandon() {
	w.done = true
	for _, open := range w.samples {
		open.ended = true
	}
	w.samples = nil
}

// holds says whether the worker coordinates its pool now.
func (w *worker) holds() bool { return w != nil && !w.done && w.node.up && w.core.Running() }

func (w *worker) propose(action poolworker.Propose) {
	f := w.node.fleet
	kind := workLeases
	if batch := action.Command.CommitBatch; batch != nil {
		kind = workSampling
	}
	asked := f.Now()
	w.node.propose(kind, action.Command, action.Timeout, func(result port.Result, failure *port.Error) {
		if batch := action.Command.CommitBatch; batch != nil && len(batch.Samples) > 0 && failure == nil && result.Error == nil {
			f.commits = append(f.commits, f.Now()-asked)
		}
		if !w.done {
			w.carryOut(w.core.Answered(f.wall(), action.Token, result, failure))
		}
	})
}

// askHomes asks the homes of the pool's replicas for their state. Replicas whose
// home doesn't answer come back as not reachable.
func (w *worker) askHomes(action poolworker.AskHomes) {
	states := make(map[port.ReplicaID]nodestate.ReplicaState)
	var homes []port.NodeID
	for _, replica := range w.node.snapshot.View.Configuration.Replicas {
		if replica.Pool != action.Pool {
			continue
		}
		states[replica.ID] = nodestate.ReplicaState{Replica: replica.ID}
		if home, found := w.node.snapshot.HomeOf(replica.ID); found {
			homes = append(homes, home.ID)
		}
	}
	slices.Sort(homes)
	homes = slices.Compact(homes)
	open := len(homes)
	call := nodestate.PoolStateCall{Pool: action.Pool, Fence: action.Fence, Out: action.Out}
	for _, home := range homes {
		w.askHome(home, call, func(answer nodestate.PoolStateAnswer) {
			for _, state := range answer.Replicas {
				if _, listed := states[state.Replica]; listed {
					states[state.Replica] = state
				}
			}
			if open--; open == 0 {
				w.takeStates(states)
			}
		})
	}
	if len(homes) == 0 {
		w.takeStates(states)
	}
}

func (w *worker) askHome(id port.NodeID, call nodestate.PoolStateCall, take func(nodestate.PoolStateAnswer)) {
	f := w.node.fleet
	home := f.nodeOf(id)
	if home == w.node {
		answer := home.state.PoolState(f.wall(), call)
		f.After(0, func() { f.charge(&home.endpoint, workPoolStates, func() { take(answer) }) })
		return
	}
	sent := message{workPoolStates, wire.KindCall, peerapi.MethodPoolState, call}
	f.call(&w.node.endpoint, &home.endpoint, sent, appnode.DefaultCallTimeout, func(body []byte, reply func(any)) {
		var received nodestate.PoolStateCall
		f.decode(body, &received)
		reply(home.state.PoolState(f.wall(), received))
		home.flush()
	}, func(body []byte, answered bool) {
		var answer nodestate.PoolStateAnswer
		if answered {
			f.decode(body, &answer)
		}
		take(answer)
	})
}

// takeStates hands the states of all replicas over, in order.
func (w *worker) takeStates(states map[port.ReplicaID]nodestate.ReplicaState) {
	if w.done {
		return
	}
	list := make([]nodestate.ReplicaState, 0, len(states))
	for _, replica := range w.node.snapshot.View.Configuration.Replicas {
		if state, asked := states[replica.ID]; asked {
			list = append(list, state)
		}
	}
	w.carryOut(w.core.StatesPolled(w.node.fleet.wall(), list))
}

// order passes an order to the replica's home, and from there to the engine.
func (w *worker) order(action poolworker.Order) {
	f := w.node.fleet
	sent := action.Send
	f.weights.ordered(w.pool, sent.Order)
	w.node.sendOrder(sent.Replica, sent.Order, orderTimeout, func(report port.LoadReport, err *port.Error) {
		if !w.done {
			answered := rollout.OrderAnswered{Replica: sent.Replica, Order: sent.Order, Report: report, Err: err}
			w.carryOut(w.core.OrderAnswered(f.wall(), action.Rollout, answered))
		}
	})
}

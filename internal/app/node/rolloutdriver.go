package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

// orderTimeout bounds one order to an engine, which may take long to answer.
const orderTimeout = 15 * time.Second

// updateRollouts keeps a rollout for each sampling pool that the engines of this
// worker's pool serve, and tells them of new versions.
func (w *poolWorker) updateRollouts(view *port.View, now time.Time) {
	served := make(map[port.PoolName]bool)
	for index := range view.Configuration.Pools {
		pool := &view.Configuration.Pools[index]
		if pool.Sampling == nil || pool.EnginePool() != w.pool {
			continue
		}
		served[pool.Name] = true
		weights := viewWeights(view, pool.Name)
		state := w.rollouts[pool.Name]
		if state == nil {
			w.startRollout(pool, weights, now)
			continue
		}
		if weights.Version > state.weights {
			state.weights = weights.Version
			w.stepRollout(now, pool.Name, state, rollout.Published{Weights: weights})
		}
	}
	for name, state := range w.rollouts {
		if !served[name] {
			state.machine.Stop()
			delete(w.rollouts, name)
		}
	}
}

func (w *poolWorker) startRollout(pool *port.Pool, weights port.PublishedWeights, now time.Time) {
	machine, err := rollout.New(rollout.Config{
		Pool: pool.Name, Adapter: pool.Adapter, Fence: w.epoch, Node: w.node.config.ID,
		WeightStore: pool.Sampling.WeightStore, Weights: weights, Turn: &w.turn,
		Seed: w.node.config.Seed,
	}, now)
	if err != nil {
		return
	}
	w.rollouts[pool.Name] = &rolloutState{machine: machine, weights: weights.Version, out: make(map[port.ReplicaID]bool)}
}

// stepRollout hands an event to a rollout and carries its actions out.
func (w *poolWorker) stepRollout(now time.Time, pool port.PoolName, state *rolloutState, event rollout.Event) {
	for _, action := range state.machine.Step(now, event) {
		switch action := action.(type) {
		case rollout.SendOrder:
			w.tasks.Go(func() { w.sendOrder(pool, action) })
		case rollout.RouteOut:
			state.out[action.Replica] = true
			w.states.nextPoll = now
		case rollout.RouteIn:
			delete(state.out, action.Replica)
			w.states.nextPoll = now
		case rollout.FencedOff:
			w.lose(now)
		case rollout.Record:
			w.recordOrder(action.Decision)
		}
	}
}

// recordOrder keeps a rollout's decision under the subject that operators ask
// for.
func (w *poolWorker) recordOrder(decided port.Decision) {
	if decided.Replica != "" {
		decided.Subject = replicaSubject(decided.Replica)
	}
	w.record(decided)
}

// orderAnswered brings the outcome of an order to its rollout.
type orderAnswered struct {
	pool  port.PoolName
	event rollout.OrderAnswered
}

func (e orderAnswered) apply(w *poolWorker, now time.Time) {
	if state := w.rollouts[e.pool]; state != nil {
		w.stepRollout(now, e.pool, state, e.event)
	}
}

// sendOrder passes an order to the replica's home. While the configuration isn't
// confirmed no order is sent.
func (w *poolWorker) sendOrder(pool port.PoolName, action rollout.SendOrder) {
	ctx, cancel := context.WithTimeout(w.ctx, orderTimeout)
	defer cancel()
	answered := rollout.OrderAnswered{Replica: action.Replica, Order: action.Order, Err: unconfirmedError()}
	if w.node.confirmed() {
		answered.Report, answered.Err = w.node.order(ctx, orderCall{Replica: action.Replica, Order: action.Order})
	}
	w.post(orderAnswered{pool: pool, event: answered})
}

// order passes a fenced order on to the replica's home.
func (n *Node) order(ctx context.Context, call orderCall) (port.LoadReport, *port.Error) {
	home, found := n.homeNode(call.Replica)
	if !found {
		return port.LoadReport{}, port.NewError(port.NotRun, port.CodeUnavailable, "replica %s has no home", call.Replica)
	}
	if home.ID == n.config.ID {
		return n.serveOrder(ctx, call)
	}
	var report port.LoadReport
	failure := n.peers.call(ctx, home.PeerAddress, methodOrder, call, &report)
	return report, failure
}

// serveOrder gives an order to the engine and takes its answer as a report.
func (n *Node) serveOrder(ctx context.Context, call orderCall) (port.LoadReport, *port.Error) {
	replica, configured := n.snapshot.Load().replicas[call.Replica]
	if !configured {
		return port.LoadReport{}, port.NewError(port.NotRun, port.CodeNotFound, "no replica %s", call.Replica)
	}
	askedAt := time.Now()
	report, err := n.backEnds.engine(replica.Address).Order(ctx, call.Order)
	if err != nil {
		return port.LoadReport{}, port.AsError(err)
	}
	n.post(loadReported{replica: call.Replica, askedAt: askedAt, report: report})
	return report, nil
}

// homeNode gives the node that is the home of a replica, in any zone.
func (n *Node) homeNode(id port.ReplicaID) (port.NodeAddress, bool) {
	current := n.snapshot.Load()
	replica, configured := current.replicas[id]
	if !configured {
		return port.NodeAddress{}, false
	}
	home, found := current.homes.home(replica)
	if !found {
		return port.NodeAddress{}, false
	}
	address, known := current.nodes[home]
	return address, known
}

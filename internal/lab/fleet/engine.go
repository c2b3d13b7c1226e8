package fleet

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	appnode "github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Numbers of the hollow engines.
const (
	// linkRate is what one replica's machine takes in at most, in bytes a second.
	linkRate = 12.5e9
	// swapPause is how long an engine takes to activate staged weights.
	swapPause = 500 * time.Millisecond
	kvBlocks  = 100_000
	// engineLatency is the one-way time between a home and its engines.
	engineLatency = inZone
)

// engine is a hollow replica: it reports, stages and activates, and generates
// samples as counts.
type engine struct {
	fleet   *Fleet
	replica port.Replica
	report  port.LoadReport
	running int
	// loading is the newest version that was ordered to be staged.
	loading port.WeightVersion
}

func newEngine(f *Fleet, replica port.Replica) *engine {
	return &engine{fleet: f, replica: replica, report: port.LoadReport{
		KVTotal: kvBlocks, Version: 1, Role: port.RoleBoth, Incarnation: 1,
	}}
}

// summary gives the engine as its home tells of it.
func (e *engine) summary() membership.ReplicaSummary {
	return membership.ReplicaSummary{
		Replica: e.replica.ID, Pool: e.replica.Pool, Version: e.report.Version, Staged: e.report.Staged,
		Role: e.report.Role, Inflight: e.running, Limit: poolLimit,
		KVUsed: min(e.running*kvBlocks/poolLimit, kvBlocks), KVTotal: kvBlocks,
		Draining: e.replica.State == port.ReplicaDrain,
	}
}

// state gives the engine as its home tells a coordinator.
func (e *engine) state() replicaState {
	state := replicaState{
		Replica: e.replica.ID, Report: e.report, Reachable: true,
		Routable: e.replica.State == port.ReplicaActive, Inflight: e.running, Limit: poolLimit,
	}
	state.Report.Running = e.running
	state.Report.AgeMillis = appnode.DefaultLoad.Milliseconds() / 2
	return state
}

// order carries out a fenced order and answers with a report.
func (e *engine) order(order port.Order, answer func(port.LoadReport, *port.Error)) {
	if order.Fence < e.report.Fence {
		answer(port.LoadReport{}, port.NewError(port.NotRun, port.CodeFenced, "fence %d is below %d", order.Fence, e.report.Fence))
		return
	}
	e.report.Fence = order.Fence
	switch {
	case order.Kind == port.OrderStage:
		e.stage(order.Version)
		answer(e.report, nil)
	case e.report.Staged == order.Version:
		e.fleet.after(swapPause, func() {
			if e.report.Version < order.Version {
				e.report.Version = order.Version
				e.fleet.weights.switched(e, order.Version)
			}
			answer(e.report, nil)
		})
	default:
		answer(port.LoadReport{}, port.NewError(port.NotRun, port.CodeConflict, "version %d is not staged", order.Version))
	}
}

// stage loads a version unless it is there or on the way: an order that is
// repeated has no further effect.
func (e *engine) stage(version port.WeightVersion) {
	if version <= max(e.report.Staged, e.loading) {
		return
	}
	e.loading = version
	e.fleet.store.load(func() { e.report.Staged = max(e.report.Staged, version) })
}

// store is the weight store: its rate is shared evenly by those that load, as
// many as there are when a load begins.
type store struct {
	fleet   *Fleet
	loading int
	most    int
	bytes   float64
}

func (s *store) load(done func()) {
	s.loading++
	s.most = max(s.most, s.loading)
	options := s.fleet.options
	rate := min(linkRate, options.StoreRate/float64(s.loading))
	s.bytes += options.WeightBytes
	s.fleet.after(time.Duration(options.WeightBytes/rate*float64(time.Second)), func() {
		s.loading--
		done()
	})
}

// pollEngines counts the polls of the own home replicas in a second: each asks
// for the load and for cache events over HTTP.
func (n *node) pollEngines() time.Duration {
	polls := len(n.owned) * int(time.Second/appnode.DefaultLoad)
	for range polls {
		for _, cost := range n.fleet.pollCosts {
			n.tally.countSent(n.fleet.now, workEngines, cost.request)
			n.tally.countReceived(n.fleet.now, workEngines, cost.response)
		}
	}
	return time.Second
}

// sendOrder passes an order to the replica's home, and from there to the engine.
func (n *node) sendOrder(engine *engine, order port.Order, timeout time.Duration, done func(port.LoadReport, *port.Error)) {
	id, found := n.homes.home(engine.replica.Zone, engine.replica.ID)
	if !found {
		done(port.LoadReport{}, port.NewError(port.NotRun, port.CodeUnavailable, "replica %s has no home", engine.replica.ID))
		return
	}
	home := n.fleet.nodeOf(id)
	call := message{workOrders, wire.KindCall, methodOrder, orderCall{Replica: engine.replica.ID, Order: order}}
	var refusal *port.Error
	n.fleet.call(&n.endpoint, &home.endpoint, call, timeout, func(body []byte, reply func(any)) {
		var received orderCall
		n.fleet.decode(body, &received)
		n.fleet.after(engineLatency, func() {
			n.fleet.engines[received.Replica].order(received.Order, func(report port.LoadReport, err *port.Error) {
				n.fleet.after(engineLatency, func() {
					if refusal = err; err != nil {
						reply(nil)
						return
					}
					reply(report)
				})
			})
		})
	}, func(body []byte, answered bool) {
		if !answered {
			if refusal == nil {
				refusal = port.NewError(port.MayHaveRun, port.CodeUnavailable, "no answer of the home")
			}
			done(port.LoadReport{}, refusal)
			return
		}
		var report port.LoadReport
		n.fleet.decode(body, &report)
		done(report, nil)
	})
}

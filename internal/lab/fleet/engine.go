package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/home"
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
	// reportLag is how old an engine's load report is when it is sent.
	reportLag = 100 * time.Millisecond
)

// engine is a hollow replica: it reports, stages and activates; samples
// take a place and a time.
type engine struct {
	fleet   *Fleet
	replica port.Replica
	report  port.LoadReport
	// loading is the version that it loads; 0 while it loads none.
	loading port.WeightVersion
	// polled is when the home asked last.
	polled time.Time
}

func newEngine(f *Fleet, replica port.Replica) *engine {
	return &engine{fleet: f, replica: replica, report: port.LoadReport{
		KVTotal: kvBlocks, Version: 1, Role: port.RoleBoth, Incarnation: 1,
	}}
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
		e.fleet.After(swapPause, func() {
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

// stage begins to load a version, unless it is there or on its way: an order may
// come again.
func (e *engine) stage(version port.WeightVersion) {
	if e.loading == version || e.report.Staged == version || e.report.Version == version {
		return
	}
	e.loading = version
	e.fleet.store.load(func() {
		e.loading = 0
		e.report.Staged = max(e.report.Staged, version)
	})
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
	s.fleet.After(time.Duration(options.WeightBytes/rate*float64(time.Second)), func() {
		s.loading--
		done()
	})
}

// startPolling and stopPolling keep the engines that this node is the home of,
// by id.
func (n *node) startPolling(replica port.Replica) {
	started := n.fleet.engines[replica.ID]
	started.polled = time.Time{}
	place, _ := slices.BinarySearchFunc(n.polled, replica.ID, compareEngine)
	n.polled = slices.Insert(n.polled, place, started)
}

func (n *node) stopPolling(id port.ReplicaID) {
	if place, found := slices.BinarySearchFunc(n.polled, id, compareEngine); found {
		n.polled = slices.Delete(n.polled, place, place+1)
	}
}

func compareEngine(held *engine, id port.ReplicaID) int { return cmp.Compare(held.replica.ID, id) }

// pollEngines asks the own home replicas that are due for their load and for
// cache events, of which there are none. The HTTP exchanges are counted, not made.
func (n *node) pollEngines() time.Duration {
	f := n.fleet
	asked := f.wall()
	for _, polled := range n.polled {
		interval := n.state.PollInterval(asked, polled.replica.ID)
		if !home.PollDue(asked.Sub(polled.polled), interval, f.options.LoadInterval) {
			continue
		}
		polled.polled = asked
		for _, cost := range f.pollCosts {
			n.tally.countSent(f.Now(), workEngines, cost.request)
			n.tally.countReceived(f.Now(), workEngines, cost.response)
		}
		n.state.LoadReported(asked.Add(2*engineLatency), asked, polled.replica.ID, polled.load(n), nil)
	}
	return f.options.LoadInterval
}

// load gives the engine's load report, which lags.
func (e *engine) load(home *node) port.LoadReport {
	report := e.report
	if held := home.gates[e.replica.Pool]; held != nil {
		report.Running = held.inflight(e.replica.ID)
	}
	report.KVUsed = min(report.Running*kvBlocks/poolLimit, kvBlocks)
	report.AgeMillis = reportLag.Milliseconds()
	return report
}

// sendOrder passes an order to the replica's home, and from there to the engine.
func (n *node) sendOrder(replica port.ReplicaID, order port.Order, timeout time.Duration, done func(port.LoadReport, *port.Error)) {
	address, found := n.snapshot.HomeOf(replica)
	if !found {
		done(port.LoadReport{}, port.NewError(port.NotRun, port.CodeUnavailable, "replica %s has no home", replica))
		return
	}
	home := n.fleet.nodeOf(address.ID)
	call := message{workOrders, wire.KindCall, peerapi.MethodOrder, peerapi.OrderCall{Replica: replica, Order: order}}
	var refusal *port.Error
	n.fleet.call(&n.endpoint, &home.endpoint, call, timeout, func(body []byte, reply func(any)) {
		var received peerapi.OrderCall
		n.fleet.decode(body, &received)
		n.fleet.After(engineLatency, func() {
			n.fleet.engines[received.Replica].order(received.Order, func(report port.LoadReport, err *port.Error) {
				n.fleet.After(engineLatency, func() {
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

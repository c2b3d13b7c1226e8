package rollout_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	fence     = port.Epoch(7)
	stageTime = 5 * time.Second
)

var start = time.UnixMilli(1_800_000_000_000)

// fakeEngine is an engine that stages in stageTime and activates immediately.
type fakeEngine struct {
	id               port.ReplicaID
	report           port.LoadReport
	loading          port.WeightVersion
	loadedAt         time.Time
	reachable        bool
	routed           bool
	swapFails        bool
	activatesVersion port.WeightVersion
	losesAnswers     bool
	// unresponsive engines neither carry out nor answer orders.
	unresponsive bool
	refusal      *port.Error
	orders       []port.Order
	// abortsLoads makes every load end immediately without staging.
	abortsLoads bool
	// repeatedOrders counts the orders sent with Repeat set.
	repeatedOrders int
	// loads counts the loads from the store that were started.
	loads int
}

// fleet runs a rollout against fake engines.
type fleet struct {
	t         rapid.TB
	now       time.Time
	rollout   *rollout.Rollout
	engines   []*fakeEngine
	completed []rollout.Completed
	fencedOff bool
	records   []port.Decision
}

func newFleet(t rapid.TB, config rollout.Config, replicas int) *fleet {
	config.Pool, config.Fence, config.WeightStore = "captions", fence, "http://127.0.0.1:9"
	config.Weights.Version = 1
	created, err := rollout.New(config, start)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, now: start, rollout: created}
	for index := range replicas {
		f.engines = append(f.engines, &fakeEngine{
			id: port.ReplicaID(rune('a' + index)), report: port.LoadReport{Version: 1, Incarnation: 1},
			reachable: true, routed: true,
		})
	}
	f.sendReplicas()
	f.reportAll()
	return f
}

func (f *fleet) sendReplicas() {
	var listed []rollout.Replica
	for _, engine := range f.engines {
		listed = append(listed, rollout.Replica{ID: engine.id, Reachable: engine.reachable})
	}
	f.step(rollout.ReplicasChanged{Replicas: listed})
}

func (f *fleet) step(event rollout.Event) {
	for _, action := range f.rollout.Step(f.now, event) {
		switch action := action.(type) {
		case rollout.SendOrder:
			f.order(action)
		case rollout.RouteOut:
			f.engine(action.Replica).routed = false
		case rollout.RouteIn:
			f.engine(action.Replica).routed = true
		case rollout.Completed:
			f.completed = append(f.completed, action)
		case rollout.FencedOff:
			f.fencedOff = true
		case rollout.Record:
			f.records = append(f.records, action.Decision)
		}
	}
}

func (f *fleet) engine(id port.ReplicaID) *fakeEngine {
	index := slices.IndexFunc(f.engines, func(engine *fakeEngine) bool { return engine.id == id })
	return f.engines[index]
}

// order executes an order and answers it.
func (f *fleet) order(sent rollout.SendOrder) {
	engine := f.engine(sent.Replica)
	if sent.Repeat {
		engine.repeatedOrders++
	} else {
		engine.orders = append(engine.orders, sent.Order)
	}
	if engine.unresponsive {
		return
	}
	answer := rollout.OrderAnswered{Replica: sent.Replica, Order: sent.Order}
	if engine.refusal != nil {
		answer.Err = engine.refusal
		f.step(answer)
		return
	}
	engine.execute(f.now, sent.Order)
	if engine.losesAnswers {
		answer.Err = port.NewError(port.MayHaveRun, port.CodeUnavailable, "connection lost")
	}
	answer.Report = engine.report
	f.step(answer)
}

func (e *fakeEngine) execute(now time.Time, order port.Order) {
	if order.Kind == port.OrderStage {
		if e.loading == order.Version || e.report.Staged == order.Version {
			return
		}
		e.loads++
		if e.abortsLoads {
			return
		}
		e.loading, e.loadedAt = order.Version, now.Add(stageTime)
		e.report.Staging = order.Version
		return
	}
	switch {
	case e.report.Staged != order.Version:
	case e.swapFails:
		e.report.Version, e.swapFails = 0, false
	case e.activatesVersion != 0:
		e.report.Version, e.activatesVersion = e.activatesVersion, 0
	default:
		e.report.Version = order.Version
	}
}

// reportAll sends the load report of every reachable engine.
func (f *fleet) reportAll() {
	f.finishLoads()
	for _, engine := range f.engines {
		if engine.reachable {
			f.step(rollout.LoadReported{Replica: engine.id, Report: engine.report})
		}
	}
}

// finishLoads completes the loads that are due.
func (f *fleet) finishLoads() {
	for _, engine := range f.engines {
		if engine.loading != 0 && !f.now.Before(engine.loadedAt) {
			engine.report.Staged, engine.report.Staging, engine.loading = engine.loading, 0, 0
		}
	}
}

// run advances time with reports and ticks twice a second.
func (f *fleet) run(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); {
		f.now = f.now.Add(500 * time.Millisecond)
		f.reportAll()
		f.step(rollout.Tick{})
	}
}

func (f *fleet) publish(version port.WeightVersion) {
	f.step(rollout.Published{Weights: port.PublishedWeights{Pool: "captions", Version: version}})
}

func (f *fleet) countLoading() int {
	count := 0
	for _, engine := range f.engines {
		if engine.loading != 0 {
			count++
		}
	}
	return count
}

func (f *fleet) versions() []port.WeightVersion {
	var versions []port.WeightVersion
	for _, engine := range f.engines {
		versions = append(versions, engine.report.Version)
	}
	return versions
}

func (f *fleet) count(engine *fakeEngine, kind port.OrderKind) int {
	count := 0
	for _, order := range engine.orders {
		if order.Kind == kind {
			count++
		}
	}
	return count
}

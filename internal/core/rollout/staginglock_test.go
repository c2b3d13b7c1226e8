package rollout_test

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
)

// sharedEngines runs rollouts of several adapters on the same engines.
type sharedEngines struct {
	t        *testing.T
	now      time.Duration
	engines  map[port.ReplicaID]*engine.Model
	replicas []rollout.Replica
	rollouts map[port.PoolName]*rollout.Rollout
	adapters []port.PoolName
	// storeUnavailable lists pools whose stage orders fail.
	storeUnavailable map[port.PoolName]bool
	// routedOut counts RouteOut actions.
	routedOut int
}

func newSharedEngines(t *testing.T, adapters ...port.PoolName) *sharedEngines {
	s := &sharedEngines{
		t: t, engines: make(map[port.ReplicaID]*engine.Model), adapters: adapters,
		rollouts: make(map[port.PoolName]*rollout.Rollout), storeUnavailable: make(map[port.PoolName]bool),
	}
	store := engine.NewStore(8 << 20)
	for _, id := range []port.ReplicaID{"a", "b", "c", "d", "e", "f"} {
		s.replicas = append(s.replicas, rollout.Replica{ID: id, Reachable: true})
		s.engines[id] = engine.New(engine.Config{
			Weights: engine.Weights{Version: 1}, StagedSlots: 2, Store: store, WeightBytes: 1 << 20,
		})
	}
	lock := &rollout.StagingLock{}
	for _, pool := range adapters {
		created, err := rollout.New(rollout.Config{
			Pool: pool, Adapter: string(pool), Fence: fence, WeightStore: "http://127.0.0.1:9",
			Weights: port.PublishedWeights{Pool: pool, Version: 1}, StagingLock: lock, MaxStaging: 2,
			StageDeadline: 30 * time.Second,
		}, start)
		if err != nil {
			t.Fatal(err)
		}
		s.rollouts[pool] = created
		s.step(pool, rollout.ReplicasChanged{Replicas: s.replicas})
	}
	return s
}

func (s *sharedEngines) step(pool port.PoolName, event rollout.Event) {
	for _, action := range s.rollouts[pool].Step(start.Add(s.now), event) {
		switch action := action.(type) {
		case rollout.SendOrder:
			s.order(pool, action)
		case rollout.RouteOut:
			s.routedOut++
		}
	}
}

func (s *sharedEngines) order(pool port.PoolName, sent rollout.SendOrder) {
	target := s.engines[sent.Replica]
	answer := rollout.OrderAnswered{Replica: sent.Replica, Order: sent.Order}
	if s.storeUnavailable[pool] {
		answer.Err = port.NewError(port.NotRun, port.CodeUnavailable, "no weights")
		s.step(pool, answer)
		return
	}
	order, refusal := engine.OrderFrom(sent.Order)
	if refusal != nil {
		s.t.Fatal(refusal)
	}
	if err := target.Order(s.now, order); err != nil {
		answer.Err = port.NewError(port.NotRun, port.CodeConflict, "%v", err)
	}
	answer.Report = target.Load().Report()
	s.step(pool, answer)
}

// run advances time and sends every engine's report to all rollouts twice a second.
func (s *sharedEngines) run(span time.Duration) {
	for end := s.now + span; s.now < end; {
		s.now += 500 * time.Millisecond
		for _, replica := range s.replicas {
			model := s.engines[replica.ID]
			model.Advance(s.now)
			report := model.Load().Report()
			for _, pool := range s.adapters {
				s.step(pool, rollout.LoadReported{Replica: replica.ID, Report: report})
			}
		}
	}
}

// serving counts the engines that serve a version of a pool.
func (s *sharedEngines) serving(pool port.PoolName, version port.WeightVersion) int {
	count := 0
	for _, model := range s.engines {
		report := model.Load().Report()
		if serves, _ := report.Versions(string(pool)); serves == version {
			count++
		}
	}
	return count
}

func TestRolloutsShareEnginesWithFewStagingSlots(t *testing.T) {
	shared := newSharedEngines(t, "bulletins", "notes", "summaries")
	for version := port.WeightVersion(1); version <= 4; version++ {
		for _, pool := range shared.adapters {
			shared.step(pool, rollout.Published{Weights: port.PublishedWeights{Pool: pool, Version: version}})
		}
		shared.run(20 * time.Second)
		for _, pool := range shared.adapters {
			if count := shared.serving(pool, version); count != len(shared.engines) {
				t.Errorf("%s version %d: %d of %d engines serve it", pool, version, count, len(shared.engines))
			}
		}
	}
	// A replica must stay in routing for the other adapters while one is not loaded yet.
	if shared.routedOut != 0 {
		t.Errorf("%d RouteOut actions, want none", shared.routedOut)
	}
}

func TestPoolWithoutWeightsDoesNotBlockOthers(t *testing.T) {
	shared := newSharedEngines(t, "bulletins", "notes", "summaries")
	shared.storeUnavailable["bulletins"] = true
	shared.run(45 * time.Second)
	for _, pool := range shared.adapters[1:] {
		if count := shared.serving(pool, 1); count != len(shared.engines) {
			t.Errorf("%s: %d of %d engines serve it", pool, count, len(shared.engines))
		}
	}
	shared.storeUnavailable["bulletins"] = false
	shared.run(time.Minute)
	if count := shared.serving("bulletins", 1); count != len(shared.engines) {
		t.Errorf("bulletins: %d of %d engines serve it", count, len(shared.engines))
	}
}

func TestStoppedRolloutReleasesStagingLock(t *testing.T) {
	shared := newSharedEngines(t, "bulletins", "notes")
	shared.run(500 * time.Millisecond)
	shared.rollouts["bulletins"].Stop()
	shared.run(10 * time.Second)
	if count := shared.serving("notes", 1); count != len(shared.engines) {
		t.Errorf("notes: %d of %d engines serve it", count, len(shared.engines))
	}
}

package node_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// samplingFleet starts a pool that feeds a trainer.
func samplingFleet(t *testing.T, engines, nodes int, zones ...port.ZoneName) (*fleet, []*standin.Engine, *port.Pool) {
	t.Helper()
	if len(zones) == 0 {
		zones = []port.ZoneName{"z1"}
	}
	made := newFleet(t)
	sampled := pool("lm", port.PoolGeneration)
	sampled.Sampling = sampling(startPrompts(t).URL(), startScorer(t).URL(), startStore(t).URL())
	edits := []port.Edit{{PutPool: sampled}}
	var started []*standin.Engine
	for number := range engines {
		started = append(started, startEngine(t))
		edits = append(edits, replica(port.ReplicaID(fmt.Sprintf("e%d", number)), "lm", zones[number%len(zones)], started[number].Addr()))
	}
	made.control.configure(t, edits...)
	for number := range nodes {
		made.start(port.NodeID(fmt.Sprintf("n%d", number)), zones[number%len(zones)])
	}
	made.waitForNodes()
	return made, started, sampled
}

func TestCoordinatorLostAnotherGoesOn(t *testing.T) {
	cases := []struct {
		name string
		stop func(made *fleet, id port.NodeID)
	}{
		{"killed", func(made *fleet, id port.NodeID) { made.nodes[id].Close() }},
		{"drained", func(made *fleet, id port.NodeID) {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			if err := made.nodes[id].Drain(ctx); err != nil {
				made.t.Errorf("drain: %v", err)
			}
		}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			made, _, sampled := samplingFleet(t, 2, 3)
			fed := newTrainer(t, made, "lm")
			fed.publish(1)
			fed.train(1)
			holder := made.control.leaseHolder("lm")
			testCase.stop(made, holder)
			delete(made.nodes, holder)
			fed.publish(2)
			fed.train(2)
			fed.train(3)
			fed.check(3 * sampled.Sampling.BatchSamples)
			if next := made.control.leaseHolder("lm"); next == holder || next == "" {
				t.Errorf("the lease is held by %q", next)
			}
		})
	}
}

// TestAPublicationIsKnownToTheCoordinatorFirst: a trainer publishes at any node and goes on as
// soon as it is answered. A coordinator that went by its view would learn of it later, and
// might deliver a batch again meanwhile that is too old by then.
func TestAPublicationIsKnownToTheCoordinatorFirst(t *testing.T) {
	for _, at := range []string{"its own node", "another node"} {
		t.Run(at, func(t *testing.T) {
			made, _, _ := samplingFleet(t, 2, 2)
			fed := newTrainer(t, made, "lm")
			fed.publish(1)
			fed.train(1)
			holder := made.control.leaseHolder("lm")
			made.handles[holder].deaf.Store(true)
			for id, started := range made.nodes {
				if (id == holder) != (at == "its own node") {
					continue
				}
				result, err := started.PublishWeights(context.Background(), "", port.PublishWeights{Pool: "lm", Version: 2, Bytes: 1 << 16, ConsumerEpoch: fed.epoch})
				if err != nil || result.Error != nil {
					t.Fatal(err, result.Error)
				}
			}
			var batch api.Batch
			eventually(t, "batch 2", func() bool {
				var err error
				batch, err = made.nodes[holder].Batch(context.Background(), "lm", 2, fed.epoch, 1000)
				return err == nil
			})
			if batch.TrainerVersion != 2 {
				t.Errorf("the coordinator delivers by version %d, 2 was published before", batch.TrainerVersion)
			}
		})
	}
}

func TestCoordinatorCutOffFromControl(t *testing.T) {
	made, engines, sampled := samplingFleet(t, 2, 3)
	fed := newTrainer(t, made, "lm")
	fed.publish(1)
	fed.train(1)
	holder, epoch := made.control.leaseHolder("lm"), made.control.leaseEpoch("lm")
	made.handles[holder].cut.Store(true)
	isolated := made.nodes[holder]
	delete(made.nodes, holder)
	fed.train(2)
	before := generationsOf(engines, epoch)
	fed.train(3)
	if after := generationsOf(engines, epoch); after != before {
		t.Errorf("the coordinator that lost its lease started %d samples", after-before)
	}
	made.nodes[holder] = isolated
	made.handles[holder].cut.Store(false)
	fed.train(4)
	fed.check(4 * sampled.Sampling.BatchSamples)
}

func TestNewTrainerFencesTheOldOneOff(t *testing.T) {
	made, _, _ := samplingFleet(t, 1, 2)
	old := newTrainer(t, made, "lm")
	old.publish(1)
	old.train(1)
	fresh := newTrainer(t, made, "lm")
	fresh.version = 1
	fresh.train(1)
	_, err := made.nodes["n0"].Batch(context.Background(), "lm", 2, old.epoch, 1000)
	if failure := port.AsError(err); failure == nil || failure.Code != port.CodeFenced {
		t.Errorf("the old trainer got %v", err)
	}
}

func TestFailedSwapIsSeenAndRepaired(t *testing.T) {
	faults := []standin.Fault{
		{Kind: standin.FaultSwapFails, Count: 1},
		{Kind: standin.FaultSwapMisdirected, Count: 1, Version: 1},
	}
	for _, fault := range faults {
		t.Run(string(fault.Kind), func(t *testing.T) {
			made, engines, sampled := samplingFleet(t, 2, 2)
			fed := newTrainer(t, made, "lm")
			fed.publish(1)
			fed.train(1)
			if err := engines[0].Inject(fault); err != nil {
				t.Fatal(err)
			}
			fed.publish(2)
			fed.train(2)
			fed.publish(3)
			fed.train(3)
			fed.check(3 * sampled.Sampling.BatchSamples)
			eventually(t, "both engines on version 3", func() bool {
				served := 0
				for _, under := range made.nodes {
					for _, count := range under.Serving() {
						if count.Version == 3 {
							served += count.Replicas
						}
					}
				}
				return served == len(engines)
			})
		})
	}
}

// generationsOf counts the samples of a coordinator's epoch that engines saw.
func generationsOf(engines []*standin.Engine, epoch port.Epoch) int {
	count := 0
	for _, started := range engines {
		for _, generation := range started.Observations().Generations {
			if strings.HasPrefix(generation.RequestID, fmt.Sprintf("s-lm-%d-", epoch)) {
				count++
			}
		}
	}
	return count
}

// unused gives the first engine that ran nothing, or -1.
func unused(engines []*standin.Engine) int {
	return slices.IndexFunc(engines, func(started *standin.Engine) bool {
		return len(started.Observations().Generations) == 0
	})
}

func TestSamplesUseTheEnginesOfAllZones(t *testing.T) {
	made, engines, sampled := samplingFleet(t, 3, 3, "z1", "z2", "z3")
	fed := newTrainer(t, made, "lm")
	fed.publish(1)
	// The zones need a while to hear of each other, and fast batches don't wait.
	const least, most = 4, 60
	batches := 0
	for batches < least || unused(engines) >= 0 && batches < most {
		batches++
		fed.train(port.BatchNumber(batches))
		fed.publish(port.WeightVersion(batches + 1))
	}
	fed.check(batches * sampled.Sampling.BatchSamples)
	if number := unused(engines); number >= 0 {
		t.Errorf("engine %d was never used in %d batches", number, batches)
	}
	_, decisions, err := made.nodes["n0"].Explain(context.Background(), "batch/lm/1")
	if err != nil || len(decisions) < 2 {
		t.Errorf("explain batch: %v, error %v", decisions, err)
	}
	for id := range fed.received {
		lines, _, err := made.nodes["n1"].Explain(context.Background(), id)
		if err != nil || len(lines) < 2 {
			t.Errorf("explain %s: %v, error %v", id, lines, err)
		}
		break
	}
}

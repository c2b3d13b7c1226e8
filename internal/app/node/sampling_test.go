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

// samplingFleet starts nodes and engines of a pool that feeds a trainer.
func samplingFleet(t *testing.T, engines, nodes int, zones ...port.ZoneName) (*fleet, []*standin.Engine, *port.Pool) {
	t.Helper()
	if len(zones) == 0 {
		zones = []port.ZoneName{"z1"}
	}
	f := newFleet(t)
	sampled := pool("lm", port.PoolGeneration)
	sampled.Sampling = sampling(startPrompts(t).URL(), startScorer(t).URL(), startStore(t).URL())
	edits := []port.Edit{{PutPool: sampled}}
	var started []*standin.Engine
	for number := range engines {
		started = append(started, startEngine(t))
		edits = append(edits, replica(port.ReplicaID(fmt.Sprintf("e%d", number)), "lm", zones[number%len(zones)], started[number].Addr()))
	}
	f.control.configure(t, edits...)
	for number := range nodes {
		f.start(port.NodeID(fmt.Sprintf("n%d", number)), zones[number%len(zones)])
	}
	f.waitForNodes()
	return f, started, sampled
}

func TestCoordinatorFailover(t *testing.T) {
	cases := []struct {
		name string
		stop func(f *fleet, id port.NodeID)
	}{
		{"killed", func(f *fleet, id port.NodeID) { f.nodes[id].Close() }},
		{"drained", func(f *fleet, id port.NodeID) {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			if err := f.nodes[id].Drain(ctx); err != nil {
				f.t.Errorf("drain: %v", err)
			}
		}},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			f, _, sampled := samplingFleet(t, 2, 3)
			trainer := newTrainer(t, f, "lm")
			trainer.publish(1)
			trainer.train(1)
			holder := f.control.leaseHolder("lm")
			testCase.stop(f, holder)
			delete(f.nodes, holder)
			trainer.publish(2)
			trainer.train(2)
			trainer.train(3)
			trainer.check(3 * sampled.Sampling.BatchSamples)
			if next := f.control.leaseHolder("lm"); next == holder || next == "" {
				t.Errorf("the lease holder is %q", next)
			}
		})
	}
}

// Once a trainer has the answer to a publication, the coordinator must not deliver by an
// older version, even if the coordinator's view is outdated.
func TestPublicationNotifiesCoordinatorFirst(t *testing.T) {
	for _, at := range []string{"its own node", "another node"} {
		t.Run(at, func(t *testing.T) {
			f, _, _ := samplingFleet(t, 2, 2)
			trainer := newTrainer(t, f, "lm")
			trainer.publish(1)
			trainer.train(1)
			holder := f.control.leaseHolder("lm")
			f.handles[holder].hidePublications.Store(true)
			for id, started := range f.nodes {
				if (id == holder) != (at == "its own node") {
					continue
				}
				result, err := started.PublishWeights(context.Background(), "", port.PublishWeights{Pool: "lm", Version: 2, Bytes: 1 << 16, ConsumerEpoch: trainer.epoch})
				if err != nil || result.Error != nil {
					t.Fatal(err, result.Error)
				}
			}
			var batch api.Batch
			eventually(t, "batch 2", func() bool {
				var err error
				batch, err = f.nodes[holder].Batch(context.Background(), "lm", 2, trainer.epoch, 1000)
				return err == nil
			})
			if batch.TrainerVersion != 2 {
				t.Errorf("batch has trainer version %d after version 2 was published", batch.TrainerVersion)
			}
		})
	}
}

func TestCoordinatorCutOffFromControl(t *testing.T) {
	f, engines, sampled := samplingFleet(t, 2, 3)
	trainer := newTrainer(t, f, "lm")
	trainer.publish(1)
	trainer.train(1)
	holder, epoch := f.control.leaseHolder("lm"), f.control.leaseEpoch("lm")
	f.handles[holder].disconnected.Store(true)
	isolated := f.nodes[holder]
	delete(f.nodes, holder)
	trainer.train(2)
	before := generationsOf(engines, epoch)
	trainer.train(3)
	if after := generationsOf(engines, epoch); after != before {
		t.Errorf("the coordinator started %d samples after it lost its lease", after-before)
	}
	f.nodes[holder] = isolated
	f.handles[holder].disconnected.Store(false)
	trainer.train(4)
	trainer.check(4 * sampled.Sampling.BatchSamples)
}

func TestNewTrainerFencesOldTrainer(t *testing.T) {
	f, _, _ := samplingFleet(t, 1, 2)
	old := newTrainer(t, f, "lm")
	old.publish(1)
	old.train(1)
	replacement := newTrainer(t, f, "lm")
	replacement.version = 1
	replacement.train(1)
	_, err := f.nodes["n0"].Batch(context.Background(), "lm", 2, old.epoch, 1000)
	if failure := port.AsError(err); failure == nil || failure.Code != port.CodeFenced {
		t.Errorf("the old trainer's request: %v", err)
	}
}

func TestFailedSwapIsDetectedAndRepaired(t *testing.T) {
	faults := []standin.Fault{
		{Kind: standin.FaultSwapFails, Count: 1},
		{Kind: standin.FaultSwapMisdirected, Count: 1, Version: 1},
	}
	for _, fault := range faults {
		t.Run(string(fault.Kind), func(t *testing.T) {
			f, engines, sampled := samplingFleet(t, 2, 2)
			trainer := newTrainer(t, f, "lm")
			trainer.publish(1)
			trainer.train(1)
			if err := engines[0].Inject(fault); err != nil {
				t.Fatal(err)
			}
			trainer.publish(2)
			trainer.train(2)
			trainer.publish(3)
			trainer.train(3)
			trainer.check(3 * sampled.Sampling.BatchSamples)
			eventually(t, "both engines on version 3", func() bool {
				served := 0
				for _, n := range f.nodes {
					for _, count := range n.Serving() {
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

// generationsOf counts the samples that engines received from a coordinator's epoch.
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

// unused returns the index of an engine without generations, or -1.
func unused(engines []*standin.Engine) int {
	return slices.IndexFunc(engines, func(started *standin.Engine) bool {
		return len(started.Observations().Generations) == 0
	})
}

func TestSamplesUseTheEnginesOfAllZones(t *testing.T) {
	f, engines, sampled := samplingFleet(t, 3, 3, "z1", "z2", "z3")
	trainer := newTrainer(t, f, "lm")
	trainer.publish(1)
	// The zones exchange aggregates periodically, which may take several batches.
	const minBatches, maxBatches = 4, 60
	batches := 0
	for batches < minBatches || unused(engines) >= 0 && batches < maxBatches {
		batches++
		trainer.train(port.BatchNumber(batches))
		trainer.publish(port.WeightVersion(batches + 1))
	}
	trainer.check(batches * sampled.Sampling.BatchSamples)
	if number := unused(engines); number >= 0 {
		t.Errorf("engine %d was never used in %d batches", number, batches)
	}
	_, decisions, err := f.nodes["n0"].Explain(context.Background(), "batch/lm/1")
	if err != nil || len(decisions) < 2 {
		t.Errorf("explain batch: %v, error %v", decisions, err)
	}
	for id := range trainer.received {
		lines, _, err := f.nodes["n1"].Explain(context.Background(), id)
		if err != nil || len(lines) < 2 {
			t.Errorf("explain %s: %v, error %v", id, lines, err)
		}
		break
	}
}

package fault

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Settings of the training pool.
const (
	maxTokens              = 160
	groupSize              = 2
	batchSamples           = 8
	stalenessBound         = 2
	disabledStalenessBound = 1000
)

// configure applies the site's configuration and publishes the first weights.
func (w *world) configure() error {
	pages, training := w.pools()
	list := "http://10.3.0.4:9000"
	edits := []port.Edit{{PutPool: &pages}, {PutPool: &training}, {MachineList: &list}}
	for _, e := range w.engines {
		edits = append(edits, port.Edit{PutReplica: e.replica()})
	}
	for _, b := range w.backEnds {
		edits = append(edits, port.Edit{PutReplica: b.replica()})
	}
	if err := w.change("site setup", edits); err != nil {
		return err
	}
	publish := port.PublishWeights{Pool: trainingPool, Version: firstVersion, Bytes: weightBytes}
	return w.control.applyChecked(port.Command{PublishWeights: &publish})
}

// change applies a configuration change.
func (w *world) change(note string, edits []port.Edit) error {
	return w.control.applyChecked(port.Command{
		ChangeID: w.control.changeID(note),
		ChangeConfiguration: &port.ChangeConfiguration{
			Expected: w.control.state.Revision(), Edits: edits,
		},
	})
}

func (e *modelEngine) replica() *port.Replica {
	return &port.Replica{ID: e.id, Pool: trainingPool, Zone: e.zone, Address: e.address, State: port.ReplicaActive}
}

func (b *backEnd) replica() *port.Replica {
	return &port.Replica{ID: b.id, Pool: pagesPool, Zone: b.zone, Address: b.address, State: port.ReplicaActive}
}

func (w *world) pools() (pages, training port.Pool) {
	pages = port.Pool{
		Name: pagesPool, Kind: port.PoolApplication,
		Admission: port.Admission{MinInflight: 1, MaxInflight: 8, QueueLength: 64, DefaultDeadline: port.Duration(2 * time.Second)},
		Retry: port.Retry{
			MaxAttempts: 3, BudgetRatio: 0.5, BaseBackoff: port.Duration(5 * time.Millisecond), MaxBackoff: port.Duration(200 * time.Millisecond),
		},
		Ejection: port.Ejection{ConsecutiveFailures: 3, LatencyFactor: 5, BaseDuration: port.Duration(time.Second), MaxShare: 0.5},
	}
	training = pages
	training.Name, training.Kind = trainingPool, port.PoolGeneration
	training.Admission.MaxInflight = engineMaxSequences
	training.Admission.DefaultDeadline = port.Duration(time.Minute)
	bound := uint64(stalenessBound)
	if w.without(SafeguardStaleness) {
		bound = disabledStalenessBound
	}
	training.Sampling = &port.Sampling{
		Policy: policy.Default, StalenessBound: bound, BatchSamples: batchSamples, GroupSize: groupSize,
		MaxTokens: maxTokens, PromptSource: "http://10.3.0.1:9000", Scorer: "http://10.3.0.2:9000",
		WeightStore: "http://10.3.0.3:9000", BufferBatches: 2,
	}
	return pages, training
}

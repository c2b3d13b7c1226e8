package standin

import (
	"bytes"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
)

func TestTrainerResumesFromJournal(t *testing.T) {
	node := &fakeNode{published: map[uint64]string{}}
	front := httptest.NewServer(node)
	defer front.Close()
	var journal bytes.Buffer
	for _, steps := range []int{3, 7} {
		seen, err := audit.ReadJournal(bytes.NewReader(journal.Bytes()))
		if err != nil {
			t.Fatal(err)
		}
		trainer := started[*Trainer](t)(StartTrainer(t.Context(), TrainerConfig{
			Common: Common{Journal: &journal}, Checkpoint: seen.Deliveries,
			Nodes: []string{front.URL}, Pool: "p", StepTime: time.Millisecond, MaxSteps: steps, PublishEvery: 2,
		}))
		eventually(t, "the steps", func() bool { return trainer.Stats().Steps == steps })
		trainer.Close()
	}
	seen, err := audit.ReadJournal(&journal)
	if err != nil {
		t.Fatal(err)
	}
	for index, delivery := range seen.Deliveries {
		if delivery.Batch != uint64(index+1) || uint64(delivery.Version) != uint64(index/2+1) {
			t.Errorf("delivery %d is of batch %d at version %d", index, delivery.Batch, delivery.Version)
		}
	}
	if len(seen.Deliveries) != 7 {
		t.Errorf("%d deliveries", len(seen.Deliveries))
	}
}

func TestEngineJournalHoldsWorkInProgress(t *testing.T) {
	var journal bytes.Buffer
	e := testEngine(t, func(config *EngineConfig) { config.Journal = &journal; config.TimeScale = 1 })
	go func() {
		_, _, _ = send(t, "POST", e.URL()+"/v1/completions", "r1", map[string]any{"prompt": "p", "stream": true})
	}()
	eventually(t, "tokens", func() bool {
		seen := e.Observations().Generations
		return len(seen) == 1 && len(seen[0].Spans) == 1
	})
	e.recorder.mutex.Lock()
	defer e.recorder.mutex.Unlock()
	for generation := range e.recorder.generations {
		seen, err := audit.ReadJournal(bytes.NewReader(journal.Bytes()))
		if err != nil || len(seen.Generations) != 1 || !reflect.DeepEqual(seen.Generations[0], *generation) {
			t.Fatalf("%v: journal %+v, memory %+v", err, seen.Generations, *generation)
		}
	}
}

package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

func TestApplicationFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault *Fault
		whole bool
		end   audit.End
	}{
		{"sound", nil, true, audit.EndFinished},
		{"cut", &Fault{Kind: FaultCut, Count: 1}, false, audit.EndCut},
		{"mixed up", &Fault{Kind: FaultMix, Count: 1}, false, audit.EndFinished},
		{"late", &Fault{Kind: FaultLate, Count: 1, DurationMs: 20}, true, audit.EndFinished},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var lines bytes.Buffer
			a := started[*Application](t)(StartApplication(t.Context(), ApplicationConfig{
				Common: Common{Journal: &lines}, ServiceTime: time.Millisecond,
			}))
			if c.fault != nil {
				if err := a.Inject(*c.fault); err != nil {
					t.Fatal(err)
				}
			}
			_, data, err := send(t, http.MethodPost, a.URL()+"/pages/3?call=c1", "r1", "turn")
			var answer ApplicationAnswer
			if err == nil {
				err = json.Unmarshal(data, &answer)
			}
			if whole := err == nil && answer.CompleteFor("c1"); whole != c.whole {
				t.Fatalf("whole is %v: %v %+v", whole, err, answer)
			}
			a.Close()
			seen := a.Observations().Executions
			if len(seen) != 1 || seen[0].Call != "c1" || seen[0].RequestID != "r1" || seen[0].End != c.end {
				t.Fatalf("recorded %+v", seen)
			}
			if !bytes.Contains(lines.Bytes(), []byte(`"call":"c1"`)) {
				t.Fatalf("no line of it in %q", lines.String())
			}
		})
	}
}

func TestUnknownFaultIsRefused(t *testing.T) {
	s := started[*Scorer](t)(StartScorer(t.Context(), ScorerConfig{}))
	var fault *FaultError
	if err := s.Inject(Fault{Kind: FaultSwapFails}); !errors.As(err, &fault) {
		t.Fatalf("got %v", err)
	}
	status, _, _ := send(t, http.MethodPost, s.URL()+PathFault, "", Fault{Kind: "nonsense"})
	if status != http.StatusBadRequest {
		t.Fatalf("status %d", status)
	}
}

func TestScorerIsRepeatable(t *testing.T) {
	s := started[*Scorer](t)(StartScorer(t.Context(), ScorerConfig{ServiceTime: time.Millisecond}))
	var rewards [2]api.Reward
	for i := range rewards {
		_, data, err := send(t, http.MethodPost, s.URL()+api.PathScore, "", api.Score{SampleID: "s1", Prompt: "p", Text: "t"})
		if err != nil || json.Unmarshal(data, &rewards[i]) != nil {
			t.Fatalf("%v %q", err, data)
		}
	}
	if rewards[0] != rewards[1] || rewards[0].SampleID != "s1" {
		t.Fatalf("rewards %v", rewards)
	}
}

func TestMachineListShowsChangesLate(t *testing.T) {
	m := started[*MachineList](t)(StartMachineList(t.Context(), MachineListConfig{Lag: time.Hour, Live: []string{"127.0.0.1:1"}}))
	m.Set("127.0.0.1:1", port.MachineLeaving)
	_, data, _ := send(t, http.MethodGet, m.URL()+api.PathMachines, "", nil)
	var list api.Machines
	if err := json.Unmarshal(data, &list); err != nil || len(list.Machines) != 1 || list.Machines[0].State != port.MachineLive {
		t.Fatalf("%v %q", err, data)
	}
	seen := m.Observations().Departures
	if len(seen) != 1 || seen[0].SignalledAt <= since() {
		t.Fatalf("recorded %+v", seen)
	}
}

func TestWeightStoreCutsADownload(t *testing.T) {
	s := started[*WeightStore](t)(StartWeightStore(t.Context(), WeightStoreConfig{Bytes: 300_000}))
	if _, data, err := send(t, http.MethodGet, s.URL()+"/v1/weights/p/2", "", nil); err != nil || len(data) != 300_000 {
		t.Fatalf("%d bytes, %v", len(data), err)
	}
	if err := s.Inject(Fault{Kind: FaultCut, Count: 1}); err != nil {
		t.Fatal(err)
	}
	if _, data, err := send(t, http.MethodGet, s.URL()+"/v1/weights/p/2", "", nil); err == nil {
		t.Fatalf("a cut download ended well with %d bytes", len(data))
	}
}

// fakeNode is the least of a node that a trainer needs.
type fakeNode struct {
	mutex     sync.Mutex
	epoch     uint64
	asked     []uint64
	published map[uint64]string // change id by version
	loseOne   bool              // the next batch is cut off once
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathConsumers, func(w http.ResponseWriter, _ *http.Request) {
		n.epoch++
		writeJSON(w, port.Consumer{Epoch: port.Epoch(n.epoch), Next: 1})
	})
	mux.HandleFunc("POST "+api.PathWeights, func(w http.ResponseWriter, r *http.Request) {
		var body api.PublishWeights
		if readJSON(w, r, &body) {
			n.published[body.Version] = body.ChangeID
			writeJSON(w, api.PublishedWeights{Version: body.Version})
		}
	})
	mux.HandleFunc("GET "+api.PathBatch, func(w http.ResponseWriter, r *http.Request) {
		number, _ := strconv.ParseUint(r.PathValue("number"), 10, 64)
		if r.URL.Query().Get(api.QueryConsumerEpoch) != strconv.FormatUint(n.epoch, 10) {
			writeError(w, http.StatusConflict, port.NewError(port.NotRun, port.CodeFenced, "old epoch"))
			return
		}
		n.asked = append(n.asked, number)
		if n.loseOne {
			n.loseOne = false
			cutConnection()
		}
		sample := api.Sample{ID: fmt.Sprint("s-", number), Prompt: port.Prompt{Index: port.PromptIndex(number)}}
		writeJSON(w, api.Batch{Number: number, Attempt: 1, Samples: []api.Sample{sample}})
	})
	mux.ServeHTTP(w, r)
}

func TestTrainerTrainsOnEachBatchOnce(t *testing.T) {
	node := &fakeNode{published: map[uint64]string{}, loseOne: true}
	front := httptest.NewServer(node)
	defer front.Close()
	trainer := started[*Trainer](t)(StartTrainer(t.Context(), TrainerConfig{
		Nodes: []string{front.URL}, Pool: "p", StepTime: time.Millisecond, MaxSteps: 6, PublishEvery: 2,
	}))
	eventually(t, "two steps", func() bool { return trainer.Stats().Steps >= 2 })
	if err := trainer.Inject(Fault{Kind: FaultCrash, DurationMs: 5}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all steps", func() bool { return trainer.Stats().Steps == 6 && trainer.Stats().Version == 4 })
	trainer.Close()
	if calls := trainer.Observations().Calls; len(calls) != 1 || calls[0].Outcome != audit.OutcomeLost {
		t.Errorf("one answer was cut off, recorded are %+v", calls)
	}
	if found := audit.Check(trainer.Observations(), audit.Limits{}); len(found) > 0 {
		for _, violation := range found {
			if violation.Rule != audit.RuleVersionsMatch { // the samples have no text
				t.Fatal(violation)
			}
		}
	}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if len(node.published) != 3 || node.asked[0] != 1 || node.asked[1] != 1 {
		t.Fatalf("published %v, asked for %v", node.published, node.asked)
	}
}

func TestPromptsAreStable(t *testing.T) {
	trainer := started[*Trainer](t)(StartTrainer(t.Context(), TrainerConfig{Prompts: PromptConfig{Seed: 3}}))
	_, data, _ := send(t, http.MethodGet, trainer.URL()+api.PathPrompts+"?from=5&count=2", "", nil)
	var answer api.Prompts
	if err := json.Unmarshal(data, &answer); err != nil || len(answer.Prompts) != 2 {
		t.Fatalf("%v %q", err, data)
	}
	again := PromptConfig{Seed: 3}.Prompt(6)
	if answer.Prompts[1] != again || answer.Prompts[0].Text == again.Text || again.Tokens != 160 {
		t.Fatalf("prompts %+v", answer.Prompts)
	}
}

package contracttest_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// trainerSteps is how many batches each row delivers.
const trainerSteps = 3

// scriptedNode serves batches to a trainer; the first question for batch 2 meets
// a fault.
type scriptedNode struct {
	fault http.HandlerFunc

	mutex    sync.Mutex
	epoch    port.Epoch
	faulted  bool
	asked    []uint64
	versions []uint64
}

func (n *scriptedNode) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathConsumers, n.register)
	mux.HandleFunc("GET "+api.PathBatch, n.batch)
	mux.HandleFunc("POST "+api.PathWeights, n.publish)
	return mux
}

func (n *scriptedNode) register(writer http.ResponseWriter, _ *http.Request) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.epoch++
	httpserve.WriteJSON(writer, http.StatusOK, port.Consumer{Name: "trainer", Epoch: n.epoch, Next: 1})
}

func (n *scriptedNode) batch(writer http.ResponseWriter, request *http.Request) {
	number, _ := strconv.ParseUint(request.PathValue("number"), 10, 64)
	n.mutex.Lock()
	n.asked = append(n.asked, number)
	meetsFault := number == 2 && !n.faulted
	n.faulted = n.faulted || meetsFault
	n.mutex.Unlock()
	if meetsFault {
		n.fault(writer, request)
		return
	}
	httpserve.WriteJSON(writer, http.StatusOK, batchOf(number))
}

func (n *scriptedNode) publish(writer http.ResponseWriter, request *http.Request) {
	var body api.PublishWeights
	_ = json.NewDecoder(request.Body).Decode(&body)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.versions = append(n.versions, body.Version)
	httpserve.WriteJSON(writer, http.StatusOK, api.PublishedWeights{Version: body.Version})
}

func batchOf(number uint64) api.Batch {
	return api.Batch{Pool: "lm", Number: number, Attempt: 1, Samples: []api.Sample{{ID: fmt.Sprintf("s-lm-1-%d", number)}}}
}

func refuse(failure *port.Error) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) { httpserve.WriteError(writer, failure) }
}

// TestTrainerStandInKeepsTheContract lets a trainer meet each fault of an answer:
// it asks for the same number again, never trains on what is not that batch, and
// publishes each version once.
func TestTrainerStandInRetriesFaultyBatches(t *testing.T) {
	whole, err := json.Marshal(batchOf(2))
	if err != nil {
		t.Fatal(err)
	}
	faults := map[string]http.HandlerFunc{
		"not ready": refuse(port.NewError(port.NotRun, port.CodeNotReady, "the batch is not whole")),
		"draining":  refuse(port.NewError(port.NotRun, port.CodeDraining, "the node is stopping")),
		"fenced":    refuse(port.NewError(port.NotRun, port.CodeFenced, "consumer epoch 1 is fenced off")),
		"internal":  refuse(port.NewError(port.MayHaveRun, port.CodeInternal, "fault")),
		"cut off before the first byte": func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		},
		"cut off halfway": func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Length", strconv.Itoa(len(whole)))
			_, _ = writer.Write(whole[:len(whole)/2])
		},
		"duplicate of the batch before": func(writer http.ResponseWriter, _ *http.Request) {
			httpserve.WriteJSON(writer, http.StatusOK, batchOf(1))
		},
		"batch out of order": func(writer http.ResponseWriter, _ *http.Request) {
			httpserve.WriteJSON(writer, http.StatusOK, batchOf(3))
		},
		"wrong content": func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("<html>")) },
		"late": func(writer http.ResponseWriter, request *http.Request) {
			<-request.Context().Done()
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			node := &scriptedNode{fault: fault}
			server := httptest.NewServer(node.routes())
			defer server.Close()
			trainer, err := standin.StartTrainer(context.Background(), standin.TrainerConfig{
				Nodes: []string{server.URL}, Pool: "lm", StepTime: time.Millisecond, MaxSteps: trainerSteps,
				Wait: 50 * time.Millisecond, ResponseGrace: 100 * time.Millisecond,
			})
			if err != nil {
				t.Fatal(err)
			}
			defer trainer.Close()
			until(t, "the trainer is done", func() bool { return trainer.Stats().Steps == trainerSteps })
			expectDeliveries(t, trainer)
			until(t, "every version is published", func() bool { return len(published(node)) == trainerSteps })
			if got := published(node); !slices.Equal(got, []uint64{2, 3, 4}) {
				t.Errorf("published versions %v", got)
			}
			expectAsked(t, node)
		})
	}
}

func published(node *scriptedNode) []uint64 {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return slices.Clone(node.versions)
}

func expectDeliveries(t *testing.T, trainer *standin.Trainer) {
	t.Helper()
	var trained []string
	for _, delivery := range trainer.Observations().Deliveries {
		for _, sample := range delivery.Samples {
			trained = append(trained, sample.ID)
		}
	}
	if want := []string{"s-lm-1-1", "s-lm-1-2", "s-lm-1-3"}; !slices.Equal(trained, want) {
		t.Errorf("trained on %v, want %v", trained, want)
	}
}

// expectAsked checks that the question that met the fault was asked again, and
// nothing else.
func expectAsked(t *testing.T, node *scriptedNode) {
	t.Helper()
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if !slices.Equal(node.asked, []uint64{1, 2, 2, 3}) {
		t.Errorf("asked for %v", node.asked)
	}
}

package system

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/httpapi"
	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// TestSite runs one site through its main functions and through every fault.
func TestSite(t *testing.T) {
	t.Parallel()
	s := startSite(t)
	steps := []struct {
		name string
		run  func(*site, *testing.T)
	}{
		{"application call", (*site).testApplicationCall},
		{"samples", (*site).testSamples},
		{"weights", (*site).testWeights},
		{"explain", (*site).testExplain},
		{"bad change", (*site).testBadChange},
		{"faults", (*site).testFaults},
	}
	for _, step := range steps {
		if !t.Run(step.name, func(t *testing.T) { step.run(s, t) }) {
			s.showLogs(t)
			return
		}
	}
}

// showLogs logs the output of every process and the site's status.
func (s *site) showLogs(t *testing.T) {
	for name, process := range s.processes {
		t.Logf("%s:\n%s", name, process.log())
	}
	var stats standin.TrainerStats
	s.get(trainer, standin.PathTrainerStats, &stats)
	t.Logf("trainer %+v", stats)
	for _, command := range [][]string{{"status"}, {"config", "status"}, {"weights", "status"}, {"pool", "show", samplingPool}} {
		_, stdout, stderr := invoke(t, append(command, s.operatorFlags()...)...)
		t.Logf("%v:\n%s%s", command, stdout, stderr)
	}
	for number := range engines {
		var report port.LoadReport
		s.get(engine(number+1), api.PathEngineLoad, &report)
		t.Logf("%s: %+v", engine(number+1), report)
	}
}

// callApplication makes an application call through a node and returns the request's id.
func (s *site) callApplication(t *testing.T, zone, call string) string {
	t.Helper()
	address := s.url(node(zone)) + api.PathApplication + pagesPool + "/pages/1?" + standin.QueryCall + "=" + call
	response, err := http.Get(address)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var answer standin.ApplicationAnswer
	if err := json.Unmarshal(content, &answer); err != nil || !answer.CompleteFor(call) {
		t.Fatalf("status %d, %v: %s", response.StatusCode, err, content)
	}
	return response.Header.Get(api.HeaderRequestID)
}

func (s *site) testApplicationCall(t *testing.T) {
	for _, zone := range zones {
		s.callApplication(t, zone, "first-of-"+zone)
	}
}

func (s *site) testSamples(t *testing.T) {
	s.waitForProgress(t, 3)
	deliveries := s.journal(t, trainer).Deliveries
	for index, delivery := range deliveries {
		if delivery.Batch != uint64(index+1) || len(delivery.Samples) != batchSamples {
			t.Errorf("delivery %d is batch %d of %d samples", index, delivery.Batch, len(delivery.Samples))
		}
	}
	s.check(t)
}

// testWeights checks that every engine serves a version that the trainer published.
func (s *site) testWeights(t *testing.T) {
	for number := range engines {
		waitUntil(t, fmt.Sprintf("engine %d serves published weights", number+1), func() bool {
			var report port.LoadReport
			return s.get(engine(number+1), api.PathEngineLoad, &report) && report.Version > 1
		})
	}
	var weights operatorapi.Weights
	s.runOperatorCommand(t, &weights, "weights", "status")
	if len(weights.Pools) != 1 || weights.Pools[0].Version < 2 {
		t.Errorf("weights status %+v", weights)
	}
}

// explain runs the command explain on an id.
func (s *site) explain(t *testing.T, id string) httpapi.Explanation {
	t.Helper()
	code, stdout, stderr := invoke(t, "explain", id, "--output", "json",
		"--token-file", s.path("operator.token"), "--node", strings.Join(s.nodeURLs(), ","))
	var explanation httpapi.Explanation
	if err := json.Unmarshal([]byte(stdout), &explanation); code != 0 || err != nil {
		t.Fatalf("explain %s: exit code %d: %s", id, code, stderr)
	}
	return explanation
}

func (s *site) lastDelivery(t *testing.T) audit.Delivery {
	t.Helper()
	deliveries := s.journal(t, trainer).Deliveries
	return deliveries[len(deliveries)-1]
}

func (s *site) testExplain(t *testing.T) {
	delivery := s.lastDelivery(t)
	cases := []struct {
		name, id string
		kinds    []port.DecisionKind
	}{
		{"request", s.callApplication(t, zones[1], "to-be-explained"), []port.DecisionKind{port.DecisionPlaced, port.DecisionAnswered}},
		{"sample", delivery.Samples[0].ID, []port.DecisionKind{port.DecisionPlaced, port.DecisionAnswered}},
		{"batch", batchID(delivery), []port.DecisionKind{port.DecisionCommitted, port.DecisionDelivered}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			explanation := s.explain(t, c.id)
			for _, kind := range c.kinds {
				if !slices.ContainsFunc(explanation.Decisions, func(d port.Decision) bool { return d.Kind == kind }) {
					t.Errorf("%s: nothing %s in %s", c.id, kind, strings.Join(explanation.Text, "\n"))
				}
			}
		})
	}
}

func batchID(delivery audit.Delivery) string {
	return fmt.Sprintf("b-%s-%d-%d", delivery.Pool, delivery.Batch, delivery.Attempt)
}

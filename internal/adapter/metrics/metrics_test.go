package metrics_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/metrics"
	"github.com/loomgrade/loomgrade/internal/port"
)

func scrape(t *testing.T, handler http.Handler) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if recorder.Code != http.StatusOK {
		t.Fatalf("status %d", recorder.Code)
	}
	return recorder.Body.String()
}

func expectLines(t *testing.T, text string, lines ...string) {
	t.Helper()
	for _, line := range lines {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("no line %q", line)
		}
	}
}

func TestNode(t *testing.T) {
	node := metrics.NewNode()
	done := node.RequestBegun("lm")
	node.RequestDone("lm", nil, time.Second)
	node.RequestDone("lm", port.NewError(port.NotRun, port.CodeQueueFull, "full"), 0)
	node.Attempt("lm")
	node.Queued("lm", 3)
	node.SampleDelivered("lm", 2)
	node.SampleDropped("lm", metrics.DropStale)
	node.TrainerWaited("lm", 2*time.Second)
	node.ControlBytes(5, 7)
	expectLines(t, scrape(t, node.Handler()),
		`loomgrade_requests_total{code="ok",pool="lm",verdict="ran"} 1`,
		`loomgrade_requests_total{code="queue_full",pool="lm",verdict="not-run"} 1`,
		`loomgrade_request_seconds_sum{pool="lm"} 1`,
		`loomgrade_attempts_total{pool="lm"} 1`,
		`loomgrade_queued_requests{pool="lm"} 3`,
		`loomgrade_inflight_requests{pool="lm"} 1`,
		`loomgrade_samples_delivered_total{pool="lm"} 1`,
		`loomgrade_samples_dropped_total{pool="lm",reason="stale"} 1`,
		`loomgrade_sample_staleness_versions_bucket{pool="lm",le="1"} 0`,
		`loomgrade_sample_staleness_versions_bucket{pool="lm",le="2"} 1`,
		`loomgrade_trainer_wait_seconds_sum{pool="lm"} 2`,
		`loomgrade_control_bytes_total{direction="sent"} 5`,
		`loomgrade_control_bytes_total{direction="received"} 7`,
	)
	done()
	expectLines(t, scrape(t, node.Handler()), `loomgrade_inflight_requests{pool="lm"} 0`)
	node.Forget("lm")
	if text := scrape(t, node.Handler()); strings.Contains(text, `pool="lm"`) {
		t.Error("a forgotten pool still shows")
	}
}

func TestControl(t *testing.T) {
	control := metrics.NewControl()
	control.CommandDone(nil, time.Second)
	control.CommandDone(port.NewError(port.NotRun, port.CodeConflict, "c"), 0)
	control.Synced(time.Second)
	control.Position(12, 3, true)
	control.Watches(2)
	control.PeerBytes(1, 2)
	expectLines(t, scrape(t, control.Handler()),
		`loomgrade_commands_total{code="ok"} 1`,
		`loomgrade_commands_total{code="conflict"} 1`,
		`loomgrade_configuration_revision 12`,
		`loomgrade_consensus_term 3`,
		`loomgrade_consensus_leader 1`,
		`loomgrade_watching_nodes 2`,
		`loomgrade_log_sync_seconds_sum 1`,
		`loomgrade_peer_bytes_total{direction="received"} 2`,
	)
	control.Position(12, 4, false)
	expectLines(t, scrape(t, control.Handler()), `loomgrade_consensus_leader 0`)
}

func TestProcess(t *testing.T) {
	if text := scrape(t, metrics.ProcessHandler()); !strings.Contains(text, "go_goroutines ") {
		t.Error("no measures of the runtime")
	}
}

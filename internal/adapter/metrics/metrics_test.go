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
	node.CountControlBytes(func() (sent, received uint64) { return 5, 7 })
	node.CountPeerBytes(func() (sent, received uint64) { return 8, 9 })
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
		`loomgrade_peer_bytes_total{direction="sent"} 8`,
		`loomgrade_peer_bytes_total{direction="received"} 9`,
	)
	done()
	expectLines(t, scrape(t, node.Handler()), `loomgrade_inflight_requests{pool="lm"} 0`)
	node.RemovePool("lm")
	if text := scrape(t, node.Handler()); strings.Contains(text, `pool="lm"`) {
		t.Error("a forgotten pool still shows")
	}
}

func TestControl(t *testing.T) {
	control := metrics.NewControl()
	expectLines(t, scrape(t, control.Handler()), `loomgrade_configuration_revision 0`, `loomgrade_log_syncs_total 0`)
	reading := metrics.ControlReading{
		Revision: 12, Term: 3, Leads: true, QuorumActive: true, Committed: 40, Applied: 39, Snapshot: 30,
		Syncs: 17, Nodes: 5, Watching: 2, PeerSent: 1, PeerReceived: 2,
	}
	control.Observe(func() metrics.ControlReading { return reading })
	control.CommandDone(nil, time.Second)
	control.CommandDone(port.NewError(port.NotRun, port.CodeConflict, "c"), 0)
	expectLines(t, scrape(t, control.Handler()),
		`loomgrade_commands_total{code="ok"} 1`,
		`loomgrade_commands_total{code="conflict"} 1`,
		`loomgrade_configuration_revision 12`,
		`loomgrade_consensus_term 3`,
		`loomgrade_consensus_leader 1`,
		`loomgrade_consensus_quorum_active 1`,
		`loomgrade_log_committed_index 40`,
		`loomgrade_log_applied_index 39`,
		`loomgrade_log_snapshot_index 30`,
		`loomgrade_log_syncs_total 17`,
		`loomgrade_registered_nodes 5`,
		`loomgrade_watching_nodes 2`,
		`loomgrade_command_seconds_sum 1`,
		`loomgrade_peer_bytes_total{direction="sent"} 1`,
		`loomgrade_peer_bytes_total{direction="received"} 2`,
	)
	reading.Term, reading.Leads = 4, false
	expectLines(t, scrape(t, control.Handler()), `loomgrade_consensus_leader 0`)
}

// TestProcess checks that both kinds of process measure the runtime too.
func TestProcess(t *testing.T) {
	for name, handler := range map[string]http.Handler{
		"node": metrics.NewNode().Handler(), "control": metrics.NewControl().Handler(),
	} {
		for _, want := range []string{"go_goroutines ", "process_resident_memory_bytes "} {
			if !strings.Contains(scrape(t, handler), want) {
				t.Errorf("%s has no %s", name, want)
			}
		}
	}
}

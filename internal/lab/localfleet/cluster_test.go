package localfleet

import (
	"context"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/load"
)

// TestReusedAddressServesNoOtherCluster guards against answers of another cluster: a node of
// a second fleet listens at the addresses of a killed node, whose callers, trainer and peers
// go on using them.
func TestReusedAddressServesNoOtherCluster(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	start := func() *Fleet {
		plan := DevPlan()
		plan.Engines.Lengths.Median, plan.Engines.Lengths.Max = 40, 300
		fleet, err := Start(ctx, plan, Options{})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := fleet.Close(); err != nil {
				t.Error(err)
			}
		})
		return fleet
	}
	first, second := start(), start()
	first.KillNode(0)
	second.KillNode(0)
	second.nodes[0].httpAddress, second.nodes[0].peerAddress = first.nodes[0].httpAddress, first.nodes[0].peerAddress
	if err := second.RestartNode(0); err != nil {
		t.Fatal(err)
	}
	if err := second.waitReady(ctx); err != nil {
		t.Fatal(err)
	}
	result := load.Run(ctx, load.Config{Targets: first.NodeURLs(), Classes: first.Plan().Callers, Seed: 1, Duration: 5 * time.Second})
	for _, violation := range first.Audit(result.Observations()) {
		t.Error(violation)
	}
	answered, misdirected := 0, 0
	for _, call := range result.Observations().Calls {
		switch {
		case call.Outcome == audit.OutcomeAnswered:
			answered++
		case call.Detail == "misdirected":
			misdirected++
		}
	}
	if answered == 0 || misdirected == 0 {
		t.Errorf("%d calls answered, %d misdirected", answered, misdirected)
	}
}

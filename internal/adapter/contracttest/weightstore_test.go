package contracttest_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/engineclient"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
)

func newEngineClient(t *testing.T, address string) *engineclient.Client {
	t.Helper()
	streams, control := httpcall.New(httpcall.Limits{}), httpcall.New(httpcall.Limits{})
	client := engineclient.New(streams, control, address, engineclient.Limits{})
	t.Cleanup(func() {
		client.Close()
		streams.Close()
		control.Close()
	})
	return client
}

// waitUntil polls a condition and fails the test if it does not hold in time.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", what)
}

const weightBytes = 256 << 10

// TestEngineStagesFromFaultyWeightStore stages weights from a faulty store. Incomplete
// weights must not be staged or activated; repeating the order must succeed.
func TestEngineStagesFromFaultyWeightStore(t *testing.T) {
	cases := []struct {
		name  string
		fault *standin.Fault
		path  string
	}{
		{name: "no fault", path: "/v1/weights/lm/2"},
		{name: "cut off", path: "/v1/weights/lm/2", fault: &standin.Fault{Kind: standin.FaultCut, Count: 1}},
		{name: "refused", path: "/v1/weights/lm/2", fault: &standin.Fault{Kind: standin.FaultRefuse, DurationMs: 100}},
		{name: "unknown path", path: "/v1/other"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			store := startStore(t, 64<<20)
			if test.fault != nil {
				if err := store.Inject(*test.fault); err != nil {
					t.Fatal(err)
				}
			}
			client := newEngineClient(t, startEngine(t, standin.EngineConfig{}).Addr())
			stage := port.Order{Kind: port.OrderStage, Fence: 1, Version: 2, Source: store.URL() + test.path}
			if test.fault != nil || test.path == "/v1/other" {
				order(t, client, stage)
				expectNotStaged(t, client)
			}
			stage.Source = store.URL() + "/v1/weights/lm/2"
			waitUntil(t, "version 2 is staged", func() bool { return order(t, client, stage).Staged == 2 })
			order(t, client, port.Order{Kind: port.OrderActivate, Fence: 1, Version: 2})
			waitUntil(t, "version 2 is served", func() bool { return load(t, client).Version == 2 })
		})
	}
}

func startStore(t *testing.T, rate int64) *standin.WeightStore {
	t.Helper()
	store, err := standin.StartWeightStore(context.Background(), standin.WeightStoreConfig{BytesPerSecond: rate, Bytes: weightBytes})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	return store
}

func order(t *testing.T, client *engineclient.Client, order port.Order) port.LoadReport {
	t.Helper()
	report, err := client.Order(t.Context(), order)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func load(t *testing.T, client *engineclient.Client) port.LoadReport {
	t.Helper()
	report, err := client.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// expectNotStaged checks for a while that version 2 is neither staged nor activated.
func expectNotStaged(t *testing.T, client *engineclient.Client) {
	t.Helper()
	for range 20 {
		if report := load(t, client); report.Staged == 2 || report.Version == 2 {
			t.Fatalf("incomplete weights are staged: %+v", report)
		}
		time.Sleep(5 * time.Millisecond)
	}
	_, err := client.Order(t.Context(), port.Order{Kind: port.OrderActivate, Fence: 1, Version: 2})
	if failure := port.AsError(err); failure == nil || failure.Code != port.CodeConflict || failure.Verdict != port.NotRun {
		t.Errorf("activation of a version not staged: %v, want a conflict and not run", err)
	}
}

// TestWeightStoreServesCompleteVersions compares the Content-Length with the bytes received.
func TestWeightStoreServesCompleteVersions(t *testing.T) {
	store := startStore(t, 64<<20)
	for _, version := range []int{1, 2} {
		response, err := http.Get(fmt.Sprintf("%s/v1/weights/lm/%d", store.URL(), version))
		if err != nil {
			t.Fatal(err)
		}
		received, err := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil || received != weightBytes || response.ContentLength != weightBytes {
			t.Errorf("version %d: %d bytes of %d announced, %v", version, received, response.ContentLength, err)
		}
	}
}

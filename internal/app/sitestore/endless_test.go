package sitestore

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/dialect"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// runDialect has the headers of a run.
type runDialect struct{ dialect.Dialect }

func (runDialect) Headers() dialect.Headers {
	return dialect.Headers{RequestID: "Id", ExpectedInstance: "Instance", NotRun: "Not-Run", LastEventID: "Last-Event-Id", WeightVersion: "Version", Key: "Key", Tenant: "Tenant"}
}

const (
	// endlessRunLimit is the time within which a run must leave a replica that sends no events.
	endlessRunLimit = 4 * time.Second
	// endlessHeapBytes limits the heap of one run.
	endlessHeapBytes = 64 << 20
)

// generateAt runs an item once on the server.
func generateAt(t *testing.T, server *testkit.EndlessServer, item *itemState) runEvent {
	t.Helper()
	r := newTestRunner()
	r.store.config.Dialect = runDialect{}
	r.replica = replicacall.New(runDialect{}, 1)
	r.base = time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 2*endlessRunLimit)
	defer cancel()
	return r.generateOnce(ctx, item, sitestate.Replica{ID: "r", Address: server.Address()})
}

// TestRunKeepsBoundedMemory guards against a run that keeps in memory whatever a replica sends
// until the run counts as stalled.
func TestRunKeepsBoundedMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\n"
	for name, text := range map[string]string{
		"lines of one event": "data: " + strings.Repeat("a", 1<<10) + "\n",
		"one line":           "data: a",
		"one id":             "id: ",
	} {
		t.Run(name, func(t *testing.T) {
			server := testkit.NewEndlessServer(t, "Id", func(int) testkit.EndlessAnswer {
				return testkit.EndlessAnswer{Start: head, Repeat: text}
			})
			item := &itemState{key: jobqueue.Key{Job: "j"}, spec: jobstate.Item{ID: "item", Path: "/x"}}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			generateAt(t, server, item)
			runtime.ReadMemStats(&after)
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > endlessHeapBytes {
				t.Errorf("%d bytes allocated", allocated)
			}
			if sent := server.Sent(); sent > testkit.EndlessLimit {
				t.Errorf("the server sent %d bytes", sent)
			}
		})
	}
}

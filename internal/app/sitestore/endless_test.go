package sitestore

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventstream"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
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
func generateAt(t *testing.T, server interface{ Address() string }, item *itemState) runEvent {
	t.Helper()
	r := newTestRunner()
	r.store.config.Dialect = runDialect{}
	r.replica = replicacall.New(runDialect{}, 1)
	r.base = time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 2*endlessRunLimit)
	defer cancel()
	return r.generateOnce(ctx, item, sitestate.Replica{ID: "r", Address: server.Address()})
}

// endlessRuns returns answers of which no byte belongs to an event of the item.
func endlessRuns() map[string]testkit.EndlessAnswer {
	const head = "HTTP/1.1 200 OK\r\nId: {id}\r\n"
	rows := testkit.EndlessHeads()
	for name, answer := range testkit.EndlessBodies(head) {
		rows[name] = answer
	}
	for name, answer := range testkit.EndlessBodies("HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: {id}\r\n") {
		rows["refusal, "+name] = answer
	}
	rows["response without an id"] = testkit.EndlessAnswer{Start: "HTTP/1.1 200 OK\r\n\r\n", Repeat: "id: 1\ndata: a\n\n"}
	rows["empty response without an id"] = testkit.EndlessAnswer{Start: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Repeat: "b"}
	for name, text := range map[string]string{
		"line":                       "data: a",
		"event of many lines":        "data: a\n",
		"event of many fields":       "id: 1\n",
		"comments":                   ": alive\n",
		"comments as events":         ": alive\n\n",
		"empty lines":                "\n",
		"events without data":        "id: 1\n\n",
		"events of unknown fields":   "junk\n\n",
		"events without an id":       "data: a\n\n",
		"events with an id of bytes": "id: \x01\ndata: a\n\n",
	} {
		rows["stream, "+name] = testkit.EndlessAnswer{Start: head + "Content-Type: text/event-stream\r\n\r\n", Repeat: text}
	}
	return rows
}

// TestRunLeavesReplicaThatSendsNoEvents guards against an item that stays at a replica, gets into
// its text what is no event, or takes ever more memory, while the replica sends bytes without end.
func TestRunLeavesReplicaThatSendsNoEvents(t *testing.T) {
	// The servers send as fast as they can: more of them at once take the processors from the runs.
	const concurrent = 4
	running := make(chan struct{}, concurrent)
	for name, answer := range testkit.Dripped(endlessRuns()) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			server := testkit.NewEndlessServer(t, "Id", func(int) testkit.EndlessAnswer { return answer })
			item := &itemState{key: jobqueue.Key{Job: "j"}, spec: jobstate.Item{ID: "item", Path: "/x"}}
			started := time.Now()
			event := generateAt(t, server, item)
			if took := time.Since(started); took > endlessRunLimit {
				t.Errorf("the run took %v", took)
			}
			if event.kind != runBroken && event.kind != runRejected {
				t.Errorf("the run ended as %v: %s", event.kind, event.reason)
			}
			if item.events != 0 || len(item.text) != 0 || item.lastEvent != "" || item.complete {
				t.Errorf("%d events, %d in the text, last %q, complete %v", item.events, len(item.text), item.lastEvent, item.complete)
			}
			server.AwaitClosed(t, endlessRunLimit)
		})
	}
}

// TestEventsThatDoNotFollowAreNoText guards against an event that is repeated without end, or was
// sent before, and gets into the text of an item again.
func TestEventsThatDoNotFollowAreNoText(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\n"
	server := testkit.NewEndlessServer(t, "Id", func(int) testkit.EndlessAnswer {
		return testkit.EndlessAnswer{Start: head + "id: 3\ndata: c\n\n", Repeat: "id: 3\ndata: c\n\n"}
	})
	item := &itemState{key: jobqueue.Key{Job: "j"}, spec: jobstate.Item{ID: "item", Path: "/x"}, events: 2, logged: 2, lastEvent: "2"}
	if event := generateAt(t, server, item); event.kind != runBroken {
		t.Errorf("the run ended as %v: %s", event.kind, event.reason)
	}
	if item.events != 3 || len(item.text) != 1 || item.lastEvent != "3" {
		t.Errorf("%d events, text %q, last %q", item.events, item.text, item.lastEvent)
	}
}

// TestUnnumberedTextStartsOver guards against an item that no replica can continue, because an
// earlier build took the id of bytes that were no event for that of its last event.
func TestUnnumberedTextStartsOver(t *testing.T) {
	for _, last := range []string{"", "\x01", "junk"} {
		server := testkit.NewEndlessServer(t, "Id", func(int) testkit.EndlessAnswer {
			return testkit.EndlessAnswer{Start: "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n"}
		})
		item := &itemState{key: jobqueue.Key{Job: "j"}, spec: jobstate.Item{ID: "item", Path: "/x"}, events: 2, logged: 2, lastEvent: last}
		if event := generateAt(t, server, item); event.kind != runComplete {
			t.Errorf("last event %q: the run ended as %v: %s", last, event.kind, event.reason)
		}
		if item.events != 1 || !item.reset || item.lastEvent != "1" {
			t.Errorf("last event %q: %d events, reset %v, last %q", last, item.events, item.reset, item.lastEvent)
		}
	}
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

// endlessEvents is the body of a stream of numbered events that does not end.
type endlessEvents struct {
	data string
	next int
	rest string
}

// Read implements io.Reader.
func (e *endlessEvents) Read(into []byte) (int, error) {
	if e.rest == "" {
		e.next++
		e.rest = fmt.Sprintf("id: %d\ndata: %s\n\n", e.next, e.data)
	}
	count := copy(into, e.rest)
	e.rest = e.rest[count:]
	return count, nil
}

// TestEndlessTextFitsTheLog guards against a run without end whose text grows faster than the log
// takes it: a record above the limit of an entry ends the runs of all items of the shard.
func TestEndlessTextFitsTheLog(t *testing.T) {
	for name, data := range map[string]string{
		"empty events": "", "long events": strings.Repeat("a", 100<<10), "longest events": strings.Repeat("a", eventstream.MaxEventBytes-100),
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRunner()
			r.store.config.Dialect = runDialect{}
			const items = 2
			ended := make(chan runEvent, items)
			for i := range items {
				item := newItemState(&jobstate.Job{Items: make([]jobstate.ItemState, items)}, i, 0, jobqueue.Rank{}, testTime)
				item.key.Item = i
				r.items[item.key] = item
				stall := time.NewTimer(time.Hour)
				go func() { ended <- r.readEvents(t.Context(), item, &endlessEvents{data: data}, stall, 1) }()
			}
			for running := items; running > 0; {
				select {
				case event := <-ended:
					running--
					if event.kind != runBroken {
						t.Errorf("a run ended as %v: %s", event.kind, event.reason)
					}
				case <-time.After(10 * time.Millisecond):
				}
				encoded, err := jobstate.Command{Record: new(r.collect(true))}.Encode()
				if err != nil || len(encoded) > consensus.MaxEntryBytes {
					t.Fatalf("a record of %d bytes, %v", len(encoded), err)
				}
			}
			for _, item := range r.items {
				if item.events != 0 || item.lastEvent != "" {
					t.Errorf("%d events are left", item.events)
				}
			}
		})
	}
}

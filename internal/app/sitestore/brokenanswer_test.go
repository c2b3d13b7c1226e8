package sitestore

import (
	"fmt"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

const (
	// runFields are the fields of the response to a run, before those that give its length.
	runFields = "Id: {id}\r\nVersion: 1\r\nContent-Type: text/event-stream\r\n"
	// runEvents are the events of a run, and runChunk is a chunk with them.
	runEvents = "id: 1\ndata: a\n\n"
	runChunk  = "f\r\n" + runEvents + "\r\n"
)

// TestBrokenAnswerIsNoText guards against an item that counts as complete, as failed or as not run by an answer
// that is broken.
func TestBrokenAnswerIsNoText(t *testing.T) {
	rows := map[string]testkit.RawAnswer{}
	for _, status := range []string{"200 OK", "422 No", "500 No", "503 No"} {
		for _, answers := range []map[string]testkit.RawAnswer{
			testkit.InvalidNames(status, runFields), testkit.InvalidNames(status, runFields+"Not-Run: 1\r\n"),
			testkit.CutHeads(status, runFields), testkit.InvalidVersions(status, runFields),
		} {
			for name, answer := range answers {
				rows[status+", "+name] = answer
			}
		}
	}
	for name, answer := range testkit.InvalidStatuses(runFields) {
		rows["status, "+name] = answer
	}
	head := "HTTP/1.1 200 OK\r\n" + runFields
	for name, text := range map[string]string{
		"no end":           head + "\r\n" + runEvents,
		"no end, no event": head + "\r\n",
		"HTTP/1.0":         "HTTP/1.0 200 OK\r\n" + runFields + "\r\n" + runEvents,
		"length":           head + "Content-Length: 99\r\n\r\n" + runEvents,
		"chunks":           head + "Transfer-Encoding: chunked\r\n\r\n" + runChunk,
		"last chunk":       head + "Transfer-Encoding: chunked\r\n\r\n" + runChunk + "0\r\n",
	} {
		rows[name+", closed"] = testkit.RawAnswer{Parts: []string{text}, End: testkit.CloseAfter}
		rows[name+", reset"] = testkit.RawAnswer{Parts: []string{text}, Pause: 20 * time.Millisecond, End: testkit.ResetAtOnce}
	}
	for name, answer := range testkit.InvalidTrailers("200 OK", runFields) {
		rows["trailer, "+name] = answer
	}
	for name, answer := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewRawServer(t, "Id", func(int) testkit.RawAnswer { return answer })
			item := &itemState{key: jobqueue.Key{Job: "j"}, spec: jobstate.Item{ID: "item", Path: "/x"}}
			if event := generateAt(t, server, item); event.kind != runBroken || item.complete {
				t.Errorf("the run ended as %v: %s", event.kind, event.reason)
			}
			server.AwaitClosed(t, endlessRunLimit)
		})
	}
}

// TestLegalAnswerIsText guards against checks of answers that break off a run that is complete.
func TestLegalAnswerIsText(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + runFields
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(runEvents))
	for name, answer := range map[string]testkit.RawAnswer{
		"length":           {Parts: []string{head + length + runEvents}},
		"length, closed":   {Parts: []string{head + length + runEvents}, End: testkit.CloseAfter},
		"length, HTTP/1.0": {Parts: []string{"HTTP/1.0 200 OK\r\n" + runFields + length + runEvents}, End: testkit.CloseAfter},
		"chunks":           {Parts: []string{head + "Transfer-Encoding: chunked\r\n\r\n", runChunk, "0\r\n\r\n"}, Pause: 20 * time.Millisecond},
		"early":            {Parts: []string{head + length + runEvents}, Early: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewRawServer(t, "Id", func(int) testkit.RawAnswer { return answer })
			item := &itemState{key: jobqueue.Key{Job: "j"}, spec: jobstate.Item{ID: "item", Path: "/x"}}
			if event := generateAt(t, server, item); event.kind != runComplete || len(item.text) != 1 {
				t.Errorf("the run ended as %v: %s, text %q", event.kind, event.reason, item.text)
			}
		})
	}
}

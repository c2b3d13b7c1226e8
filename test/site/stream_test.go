package site_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// streamRoutes are a route with resumable streams and one without.
const streamRoutes = `,{"name":"r-stream","hostname":"site.example","pathPrefix":"/stream/","routeType":"streaming","timeoutMs":8000,"targetLatencyMs":400,"backend":"lm-service","maxAttempts":3,"resumable":true},
{"name":"r-fragile","hostname":"site.example","pathPrefix":"/fragile/","routeType":"streaming","timeoutMs":8000,"targetLatencyMs":400,"backend":"lm-service","maxAttempts":3}`

// completeStream returns the complete stream that replicas send for a request.
func completeStream(id string, events int) string {
	var text strings.Builder
	for event := 1; event <= events; event++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", event, sitestandin.EventData(id, event))
	}
	return text.String()
}

func TestStreams(t *testing.T) {
	s := newSite(t, 1, 0)
	s.extra = streamRoutes
	s.start()
	s.configure()
	var broken, runs atomic.Int64
	breakOnce := func(w http.ResponseWriter, r *http.Request) bool {
		runs.Add(1)
		if r.Header.Get(sitestandin.Headers.LastEventID) != "" || !broken.CompareAndSwap(0, 1) {
			return false
		}
		id := r.Header.Get(sitestandin.Headers.RequestID)
		w.Header().Set(sitestandin.Headers.Signature, sitestandin.SignatureOf(id))
		fmt.Fprintf(w, "id: 1\ndata: %s\n\nid: 2\nda", sitestandin.EventData(id, 1))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for i := range 2 {
		engine := sitestandin.NewEngine(t, fmt.Sprint("i-lm-", i), lm, model)
		engine.Handle = breakOnce
		s.add(engine)
	}
	status, body, header := s.call("/stream/x", "resumed")
	if status != http.StatusOK || body != completeStream("resumed", sitestandin.DefaultEvents) || header.Get(sitestandin.Headers.Signature) != sitestandin.SignatureOf("resumed") {
		t.Errorf("resumable: %d %q", status, body)
	}
	if runs.Load() != 2 {
		t.Errorf("%d runs of a stream that broke once", runs.Load())
	}
	if status, body, _ = s.call("/fragile/x", "plain"); status != http.StatusOK || body != completeStream("plain", sitestandin.DefaultEvents) {
		t.Errorf("not resumable: %d %q", status, body)
	}
	broken.Store(0)
	before := runs.Load()
	if status, body, _ = s.call("/fragile/x", "fragile"); status != 0 {
		t.Errorf("a truncated stream ended without an error: %d %q", status, body)
	}
	if got := runs.Load() - before; got != 1 {
		t.Errorf("a stream that isn't resumable ran %d times", got)
	}
}

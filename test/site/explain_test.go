package site_test

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/core/logtrace"
	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// logRecorder records the log lines of a site's processes.
type logRecorder struct {
	mutex sync.Mutex
	bytes bytes.Buffer
}

// Write implements io.Writer.
func (r *logRecorder) Write(line []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.bytes.Write(line)
}

// logger returns the logger of a process.
func (r *logRecorder) logger(process string) *log.Logger {
	return &log.Logger{
		Level: log.InfoLevel, Writer: log.IOWriter{Writer: r}, TimeField: "time", TimeFormat: log.TimeFormatUnixMs,
		Context: log.NewContext(nil).Str("process", process).Value(),
	}
}

// cause returns the cause of a failed request or item, derived from the log lines alone.
func (r *logRecorder) cause(id string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var lines []logtrace.Line
	for text := range bytes.Lines(r.bytes.Bytes()) {
		if line, ok := logtrace.Parse(text); ok {
			lines = append(lines, line)
		}
	}
	return logtrace.Cause(logtrace.Select(lines, id))
}

// TestLogsNameTheCause injects failures and derives each cause from the log.
func TestLogsNameTheCause(t *testing.T) {
	var logs logRecorder
	s := newSite(t, 3, 3)
	s.logger = logs.logger
	s.start()
	s.configure()
	replica := sitestandin.NewReplica(t, "i-plain", plain)
	engine := sitestandin.NewEngine(t, "i-lm", lm, model)
	engine.Handle = func(w http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get(sitestandin.Headers.RequestID) != "item-failing" {
			return false
		}
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	replica.Handle = func(w http.ResponseWriter, r *http.Request) bool {
		switch r.Header.Get(sitestandin.Headers.RequestID) {
		case "silent":
			<-r.Context().Done()
		case "full":
			w.Header().Set(sitestandin.Headers.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "breaks":
			panic(http.ErrAbortHandler)
		default:
			return false
		}
		return true
	}
	s.add(replica, engine)
	for id, want := range map[string]string{
		"silent": "its time was over after 1 sends, to replicas [i-plain]",
		"full":   "every one of 1 replicas of service plain-service refused it as not run",
		"breaks": "a replica of service plain-service failed after it may have run, tried were [i-plain]",
	} {
		if status, _, _ := s.call("/once/x", id); status < 500 {
			t.Errorf("%s: status %d", id, status)
		}
		if got := logs.cause(id); !strings.HasPrefix(got, want) {
			t.Errorf("%s: %q, want %q", id, got, want)
		}
	}
	s.call("/nowhere/x", "lost")
	if got := logs.cause("lost"); !strings.Contains(got, "has no route for host "+host) {
		t.Errorf("no route: %q", got)
	}
	s.submit("job-1", job(1, "item-failing"))
	s.readAll("job-1")
	if got := logs.cause("item-failing"); got != "item given up after 3 failed runs: status 500" {
		t.Errorf("item: %q", got)
	}
	for _, p := range s.controls {
		p.kill()
	}
	time.Sleep(2 * time.Second) // longer than an unconfirmed view may reject unknown routes
	s.call("/nowhere/x", "cut-off")
	if got := logs.cause("cut-off"); !strings.Contains(got, "no route is known, and the configuration is not confirmed") {
		t.Errorf("control processes down: %q", got)
	}
	for _, p := range s.stores {
		p.kill()
	}
	do(http.MethodPost, s.fronts[0].http.URL+"/jobs/submit", host, http.Header{sitestandin.Headers.RequestID: {"job-2"}}, job(1, "item-x"))
	if got := logs.cause("job-2"); !strings.HasPrefix(got, "front-0 answered 50") {
		t.Errorf("store processes down: %q", got)
	}
}

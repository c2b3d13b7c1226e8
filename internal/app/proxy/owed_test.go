package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/app/guard"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// TestOwedRequestIsNotWithheld guards against a call of accepted work that is withheld like a
// caller's request, and against its crashes making a caller's equal request a suspect.
func TestOwedRequestIsNotWithheld(t *testing.T) {
	var crashing atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if crashing.Load() {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(testDialect{}.Headers().RequestID, r.Header.Get(testDialect{}.Headers().RequestID))
		w.Header().Set(testDialect{}.Headers().Signature, "seal")
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	logger := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	request := Request{
		Request: replicacall.Request{Method: http.MethodPost, Target: "/x", Host: "h", ID: "1", Body: []byte("body")},
		Service: "s", Repeatable: true, MaxAttempts: 1,
	}
	suspects := []quarantine.Suspect{{Fingerprint: request.fingerprint(), Replicas: []string{"r1", "r2", "r3"}}}
	replica := sitestate.Replica{ID: "a", Address: server.Listener.Addr().String()}
	view := &siteview.View{View: &sitestate.View{
		ByService: map[string]sitestate.ReplicaList{"s": sitestate.ListOf(replica)},
		Suspects:  suspects, Quarantine: quarantine.NewIndex(suspects),
	}}
	reported := make(chan quarantine.Event, 16)
	requestGuard := guard.New(guard.Config{
		View: func() *siteview.View { return view }, Logger: logger,
		Send: func(_ context.Context, events []quarantine.Event) (sitestate.Outcome, error) {
			for _, event := range events {
				reported <- event
			}
			return sitestate.OutcomeDone, nil
		},
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go func() { _ = requestGuard.Run(ctx) }()
	sender := New(Config{Dialect: testDialect{}, Connections: 1, View: func() *siteview.View { return view }, Logger: logger, Guard: requestGuard})

	if _, failure := sender.Do(ctx, request); failure == nil || failure.Code != port.CodeWithheld {
		t.Errorf("a caller's request: %+v, want withheld", failure)
	}
	request.Owed = true
	if answer, failure := sender.Do(ctx, request); failure != nil || answer.Status != http.StatusOK {
		t.Errorf("an owed request: %+v", failure)
	}
	crashing.Store(true)
	if _, failure := sender.Do(ctx, request); failure == nil || !failure.Crashed || failure.Code == port.CodeWithheld {
		t.Errorf("an owed request that crashes its replica: %+v", failure)
	}
	requestGuard.Drain(ctx)
	select {
	case event := <-reported:
		t.Errorf("reported to the control group: %+v", event)
	default:
	}
}

package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/coldlimit"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// coldView returns a view with replicas of service "s"; cold lists the indexes of those that
// are cold for 3 s.
func coldView(senders uint32, replicas int, cold ...int) *siteview.View {
	state := &sitestate.View{Senders: senders, ByService: map[string]sitestate.ReplicaList{}}
	view := siteview.NewView(state, routing.NewTable(&routing.Document{Services: []routing.Service{{Name: "s", Warmup: 3 * time.Second, WarmupRate: 16}}}))
	var listed []sitestate.Replica
	for i := range replicas {
		listed = append(listed, sitestate.Replica{ID: fmt.Sprint("i-", i), Address: "127.0.0.1:1"})
	}
	state.ByService["s"] = sitestate.ListOf(listed...)
	var coldReplicas []sitestate.Replica
	for _, i := range cold {
		coldReplicas = append(coldReplicas, sitestate.Replica{ID: fmt.Sprint("i-", i), ColdMillis: 3000})
	}
	return view.WithCold([]sitestate.Update{{Replicas: coldReplicas}}, time.Now())
}

func newColdProxy(name string, view *siteview.View) *Proxy {
	return New(Config{
		Dialect: testDialect{}, View: func() *siteview.View { return view }, Logger: &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
		Sender: name, Cold: coldlimit.Limits{Overshoot: 1.5, Slack: 5},
	})
}

// TestColdReplicaSharesAcrossSenders checks that senders without a share of a cold
// replica use warm ones, and fail immediately with a Retry-After if there are none.
func TestColdReplicaSharesAcrossSenders(t *testing.T) {
	const senders = 800
	sent := 0
	for i := range senders {
		sender := newColdProxy(fmt.Sprint("front-", i), coldView(senders, 2, 0))
		for range 20 {
			replica := sender.pick(&Request{Service: "s"}, map[string]bool{}, nil, nil, true).replica
			if replica == nil {
				t.Fatal("pick found no replica although one is warm")
			}
			if replica.ID == "i-0" {
				sent++
			}
		}
	}
	if sent > 29 {
		t.Errorf("%d requests to a cold replica from %d senders", sent, senders)
	}
	lone := newColdProxy("front-unlucky", coldView(1_000_000, 1, 0))
	_, failure := lone.Do(context.Background(), Request{
		Request: replicacall.Request{Method: http.MethodPost, Target: "/x", Host: "h", ID: "1"}, Service: "s",
	})
	if failure == nil || failure.Verdict != port.NotRun || failure.RetryAfter <= 2*time.Second || failure.RetryAfter > 3*time.Second {
		t.Errorf("failure %+v", failure)
	}
}

// TestColdShareRefills checks that each pick uses up the share, which refills after
// a span.
func TestColdShareRefills(t *testing.T) {
	sender := newColdProxy("front", coldView(1, 1, 0))
	count := 0
	for {
		if sender.pick(&Request{Service: "s"}, map[string]bool{}, nil, nil, true).replica == nil {
			break
		}
		count++
	}
	if want := (coldlimit.Limits{Rate: 16, Overshoot: 1.5, Slack: 5}).ShareOf(1).PerSpan; count != want {
		t.Errorf("%d requests in one span, want %d", count, want)
	}
	time.Sleep(coldlimit.Span)
	if sender.pick(&Request{Service: "s"}, map[string]bool{}, nil, nil, true).replica == nil {
		t.Error("pick found no replica after a span")
	}
}

// TestWarmReplicasAreUnlimited checks that requests to warm replicas are not limited.
func TestWarmReplicasAreUnlimited(t *testing.T) {
	sender := newColdProxy("front", coldView(1000, 1))
	for n := range 200 {
		if sender.pick(&Request{Service: "s"}, map[string]bool{}, nil, nil, true).replica == nil {
			t.Fatalf("request %d found no replica", n)
		}
	}
}

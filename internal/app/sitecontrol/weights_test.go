package sitecontrol

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/dialect"
)

// noDialect is for code that sends nothing.
type noDialect struct{ dialect.Dialect }

func (noDialect) Headers() dialect.Headers { return dialect.Headers{} }

// A failed load is no longer pending and starts a backoff for its replica.
func TestFailedLoadStartsBackoff(t *testing.T) {
	w := newWeightsManager(&Control{config: Config{Dialect: noDialect{}}})
	w.loading["i"] = "a"
	w.finishLoad("i", false)
	loading, inBackoff := w.pendingLoads(time.Now())
	if len(loading) != 0 || !inBackoff["i"] {
		t.Errorf("loading %v, backoff %v after a failure", loading, inBackoff)
	}
	if _, inBackoff := w.pendingLoads(time.Now().Add(minBackoff + time.Second)); inBackoff["i"] {
		t.Error("in backoff after its end")
	}
	view := &sitestate.View{Replicas: sitestate.SetOf(sitestate.Replica{ID: "i"})}
	w.readyReplicas(view, "s")
	if len(w.backoffs) != 1 {
		t.Error("the failures of a registered replica were dropped")
	}
	w.finishLoad("i", true)
	if len(w.backoffs) != 0 {
		t.Error("in backoff after a successful load")
	}
	w.finishLoad("removed", false)
	w.readyReplicas(view, "s")
	if len(w.backoffs) != 0 {
		t.Error("the backoff of a removed replica remains")
	}
}

func TestBackoffDoublesUpToMax(t *testing.T) {
	now := time.Now()
	current := backoff{}
	for i, want := range []time.Duration{minBackoff, 2 * minBackoff, 4 * minBackoff, maxBackoff, maxBackoff} {
		current = current.after(now)
		if got := current.until.Sub(now); got != want {
			t.Errorf("failure %d: %v, want %v", i+1, got, want)
		}
	}
}

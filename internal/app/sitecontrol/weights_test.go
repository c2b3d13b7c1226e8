package sitecontrol

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/dialect"
)

// noDialect is for parts that send nothing.
type noDialect struct{ dialect.Dialect }

func (noDialect) Headers() dialect.Headers { return dialect.Headers{} }

// TestAFailedLoadGivesItsPlaceFreeAndRests: a replica whose load failed counts as
// loading no longer, and is left alone for longer each time.
func TestFailedLoadStartsBackoff(t *testing.T) {
	w := newWeightsManager(&Control{config: Config{Dialect: noDialect{}}})
	w.loading["i"] = "a"
	w.ended("i", false)
	loading, resting := w.underWay(time.Now())
	if len(loading) != 0 || !resting["i"] {
		t.Errorf("loading %v, resting %v after a failure", loading, resting)
	}
	if _, resting := w.underWay(time.Now().Add(firstRest + time.Second)); resting["i"] {
		t.Error("rests for ever")
	}
	view := &sitestate.View{Replicas: sitestate.SetOf(sitestate.Replica{ID: "i"})}
	w.readyReplicas(view, "s")
	if len(w.resting) != 1 {
		t.Error("a known replica's failures are forgotten")
	}
	w.ended("i", true)
	if len(w.resting) != 0 {
		t.Error("rests after a load that was done")
	}
	w.ended("gone", false)
	w.readyReplicas(view, "s")
	if len(w.resting) != 0 {
		t.Error("a replica that is gone is remembered")
	}
}

func TestBackoffDoublesUpToMax(t *testing.T) {
	now := time.Now()
	held := rest{}
	for i, want := range []time.Duration{firstRest, 2 * firstRest, 4 * firstRest, longestRest, longestRest} {
		held = held.after(now)
		if got := held.until.Sub(now); got != want {
			t.Errorf("failure %d: %v, want %v", i+1, got, want)
		}
	}
}

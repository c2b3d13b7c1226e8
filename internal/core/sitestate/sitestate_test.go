package sitestate_test

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/core/quarantine"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// log applies commands in order.
type log struct {
	t     testing.TB
	state *sitestate.State
	index uint64
}

func newLog(t testing.TB) *log { return &log{t: t, state: sitestate.New()} }

func (l *log) apply(command sitestate.Command) sitestate.Outcome {
	l.t.Helper()
	data, err := command.Encode()
	if err != nil {
		l.t.Fatal(err)
	}
	l.index++
	return l.state.Apply(l.index, data).(sitestate.Outcome)
}

func configuration(version uint64, raw string) sitestate.Command {
	return sitestate.Command{Configuration: &sitestate.Configuration{Version: version, Raw: []byte(raw)}}
}

func report(id, address string, sequence uint64, state sitestate.ReplicaState) sitestate.Command {
	return sitestate.Command{Replica: &sitestate.Replica{ID: id, Service: "s", Address: address, Sequence: sequence, State: state}}
}

func TestHighestConfigurationVersionWins(t *testing.T) {
	l := newLog(t)
	for _, row := range []struct {
		version uint64
		raw     string
		want    sitestate.Outcome
		wantRaw string
	}{
		{5, "five", sitestate.OutcomeDone, "five"},
		{5, "other five", sitestate.OutcomeIgnored, "five"},
		{4, "four", sitestate.OutcomeIgnored, "five"},
		{9, "nine", sitestate.OutcomeDone, "nine"},
	} {
		if got := l.apply(configuration(row.version, row.raw)); got != row.want {
			t.Errorf("version %d: %v", row.version, got)
		}
		if got := string(l.state.Configuration().Raw); got != row.wantRaw {
			t.Errorf("after version %d: %q", row.version, got)
		}
	}
}

func TestLeaveIsPermanent(t *testing.T) {
	l := newLog(t)
	l.apply(report("i1", "a1", 5, sitestate.ReplicaReady))
	l.apply(report("i1", "a1", 6, sitestate.ReplicaDraining))
	l.apply(report("i1", "a1", 4, sitestate.ReplicaReady)) // outdated
	l.apply(report("i1", "a1", 7, sitestate.ReplicaReady)) // ready after draining
	if replica, _ := l.state.Replica("i1"); replica.State != sitestate.ReplicaDraining {
		t.Errorf("%+v", replica)
	}
	l.apply(sitestate.Command{Leave: &sitestate.Leave{ID: "i1"}})
	if got := l.apply(report("i1", "a1", 8, sitestate.ReplicaReady)); got != sitestate.OutcomeIgnored {
		t.Errorf("a replica that left rejoined: %v", got)
	}
	// A replica that timed out may return.
	l.apply(report("i2", "a2", 1, sitestate.ReplicaReady))
	l.apply(sitestate.Command{Leave: &sitestate.Leave{ID: "i2", TimedOut: true}})
	l.apply(report("i2", "a2", 2, sitestate.ReplicaReady))
	if _, known := l.state.Replica("i2"); !known {
		t.Error("a replica that timed out did not return")
	}
	// A replica that left before its first report does not join.
	l.apply(sitestate.Command{Leave: &sitestate.Leave{ID: "i3"}})
	if l.apply(report("i3", "a3", 1, sitestate.ReplicaReady)); !l.state.HasLeft("i3") {
		t.Error("i3 joined after it left")
	}
}

func TestNewestReplicaReplacesOldAtSameAddress(t *testing.T) {
	l := newLog(t)
	l.apply(report("old", "a", 9, sitestate.ReplicaReady))
	l.apply(report("new", "a", 1, sitestate.ReplicaReady))
	if _, known := l.state.Replica("old"); known || !l.state.HasLeft("old") {
		t.Error("the previous replica at the address is still registered")
	}
}

func TestWeightVersionNeverDecreases(t *testing.T) {
	l := newLog(t)
	for _, version := range []uint64{2, 3, 2, 3} {
		l.apply(sitestate.Command{Weights: &sitestate.Weights{Model: "m", Version: version}})
	}
	if got := l.state.Weights("m"); got != 3 {
		t.Errorf("version %d", got)
	}
}

func TestEvacuationStates(t *testing.T) {
	l := newLog(t)
	evacuate := func(name string, done bool) sitestate.Outcome {
		return l.apply(sitestate.Command{Evacuate: &sitestate.Evacuate{Name: name, Done: done}})
	}
	state := func() sitestate.StoreState { store, _ := l.state.Store("s"); return store.State }
	if got := evacuate("s", false); got != sitestate.OutcomeUnknown {
		t.Errorf("unknown: %v", got)
	}
	l.apply(sitestate.Command{Store: &sitestate.Store{Name: "s", Address: "a", Incarnation: "1"}})
	if evacuate("s", true); state() != sitestate.StoreActive {
		t.Error("evacuated before the evacuation started")
	}
	evacuate("s", false)
	l.apply(sitestate.Command{Store: &sitestate.Store{Name: "s", Address: "a", Incarnation: "2"}})
	if state() != sitestate.StoreLeaving {
		t.Error("a new data folder ended the evacuation")
	}
	if evacuate("s", true); state() != sitestate.StoreEvacuated {
		t.Error("not evacuated")
	}
	l.apply(sitestate.Command{Store: &sitestate.Store{Name: "s", Address: "b", Incarnation: "3"}})
	if state() != sitestate.StoreActive {
		t.Error("a machine that registers again is not active")
	}
}

// drawCommand draws a command.
func drawCommand(r *rapid.T) sitestate.Command {
	id := fmt.Sprint("i", rapid.IntRange(0, 4).Draw(r, "replica"))
	number := rapid.Uint64Range(1, 6).Draw(r, "number")
	name := fmt.Sprint("s", rapid.IntRange(0, 2).Draw(r, "store"))
	switch rapid.IntRange(0, 11).Draw(r, "kind") {
	case 0:
		return configuration(number, fmt.Sprint("raw", number))
	case 1:
		return sitestate.Command{Weights: &sitestate.Weights{Model: id, Version: number}}
	case 2, 3:
		state := sitestate.ReplicaState(rapid.IntRange(0, 1).Draw(r, "state"))
		return report(id, fmt.Sprint("a", rapid.IntRange(0, 4).Draw(r, "address")), number, state)
	case 8:
		loaded := report(id, fmt.Sprint("a-", id), rapid.Uint64Range(1, 40).Draw(r, "sequence"), sitestate.ReplicaReady)
		loaded.Replica.Models = []sitestate.ModelVersion{{Name: "m", Version: number}}
		return loaded
	case 4:
		return sitestate.Command{Leave: &sitestate.Leave{ID: id, TimedOut: rapid.Bool().Draw(r, "silent")}}
	case 5:
		return sitestate.Command{Store: &sitestate.Store{Name: name, Address: name, Incarnation: fmt.Sprint(number)}}
	case 6:
		return sitestate.Command{Evacuate: &sitestate.Evacuate{Name: name, Done: rapid.Bool().Draw(r, "done")}}
	case 9, 10, 11:
		return sitestate.Command{Quarantine: &sitestate.Quarantine{Events: []quarantine.Event{{
			Kind:        rapid.SampledFrom([]quarantine.EventKind{quarantine.EventCrashed, quarantine.EventCrashed, quarantine.EventServed, quarantine.EventAlive, quarantine.EventTrial}).Draw(r, "event"),
			Fingerprint: quarantine.Fingerprint{Body: quarantine.Digest{byte(number % 2)}}, Replica: id, Trial: 1, Sender: name,
		}}}}
	default:
		return sitestate.Command{Assign: &sitestate.Assign{Models: map[string]string{id: fmt.Sprint("m", number)}}}
	}
}

// TestObserverViewMatchesState checks that an observer that applies occasional updates,
// also from a restored state, matches the state and never goes backwards.
func TestObserverViewMatchesState(t *testing.T) {
	testkit.Check(t, 15, func(r *rapid.T) {
		l := newLog(t)
		var view, routing *sitestate.View
		draining := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			command := drawCommand(r)
			l.apply(command)
			if rapid.IntRange(0, 9).Draw(r, "restore") == 0 {
				data, err := l.state.Snapshot().Bytes()
				if err != nil {
					r.Fatal(err)
				}
				l.state = sitestate.New()
				if err := l.state.Restore(data); err != nil {
					r.Fatal(err)
				}
			}
			for _, replica := range l.state.Replicas() {
				if draining[replica.ID] && replica.State == sitestate.ReplicaReady {
					r.Fatalf("%s drained and is ready", replica.ID)
				}
				if replica.State == sitestate.ReplicaDraining {
					draining[replica.ID] = true
				}
			}
			if rapid.IntRange(0, 2).Draw(r, "observe") > 0 {
				continue
			}
			after := uint64(0)
			if view != nil {
				after = view.Position
				// An observer that starts from the view of another one.
				joined := (*sitestate.View)(nil).Apply(view.Update()).Apply(l.state.Update(after, sitestate.InterestAll))
				compare(r, joined, l.state)
			}
			next := view.Apply(l.state.Update(after, sitestate.InterestAll))
			if view != nil && (next.Position < view.Position || next.Configuration.Version < view.Configuration.Version) {
				r.Fatalf("view went back from %+v to %+v", view, next)
			}
			view = next
			compare(r, view, l.state)
			routing = routing.Apply(l.state.Update(after, sitestate.InterestRouting))
			compareRouting(r, routing, l.state)
			compareSuspects(r, routing, l.state)
		}
	})
}

// compareRouting checks an observer that ignores changes of weights.
func compareRouting(r *rapid.T, view *sitestate.View, state *sitestate.State) {
	want := state.Replicas()
	if view.Replicas.Len() != len(want) {
		r.Fatalf("%d replicas, want %d", view.Replicas.Len(), len(want))
	}
	for _, replica := range want {
		got, _ := view.Replicas.Get(replica.ID)
		got.Models, got.Model, got.ChangedAt, got.Sequence = replica.Models, replica.Model, replica.ChangedAt, replica.Sequence
		if !reflect.DeepEqual(got, replica) {
			r.Fatalf("got %+v, want %+v", got, replica)
		}
	}
}

func compare(r *rapid.T, view *sitestate.View, state *sitestate.State) {
	if view.Configuration.Version != state.Configuration().Version {
		r.Fatalf("configuration %d, want %d", view.Configuration.Version, state.Configuration().Version)
	}
	got := slices.SortedFunc(maps.Values(maps.Collect(view.Replicas.All())), func(a, b sitestate.Replica) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if want := state.Replicas(); len(got) != len(want) || (len(want) > 0 && !reflect.DeepEqual(got, want)) {
		r.Fatalf("replicas\n%+v, want\n%+v", got, want)
	}
	if want := state.Stores(); len(view.Stores) != len(want) || (len(want) > 0 && !reflect.DeepEqual(view.Stores, want)) {
		r.Fatalf("stores %+v, want %+v", view.Stores, want)
	}
	compareSuspects(r, view, state)
	for model, version := range view.Weights {
		if state.Weights(model) != version {
			r.Fatalf("model %s at %d, want %d", model, version, state.Weights(model))
		}
	}
}

// compareSuspects checks that an observer has exactly the withheld requests.
func compareSuspects(r *rapid.T, view *sitestate.View, state *sitestate.State) {
	withheld := func(suspects []quarantine.Suspect) (found []quarantine.Suspect) {
		for _, suspect := range suspects {
			if suspect.Withheld() {
				found = append(found, suspect)
			}
		}
		return found
	}
	if got, want := withheld(view.Suspects), withheld(state.Suspects()); !reflect.DeepEqual(got, want) {
		r.Fatalf("withheld %+v, want %+v", got, want)
	}
	if (view.Quarantine == nil) != (len(view.Suspects) == 0) {
		r.Fatalf("index %v for %d suspects", view.Quarantine, len(view.Suspects))
	}
}

// benchmarkedState returns a state with the given number of replicas.
func benchmarkedState(b *testing.B, replicas int) *sitestate.State {
	b.Helper()
	state := sitestate.New()
	for i := range replicas {
		apply(b, state, uint64(i+1), reportOf(i, 1, 1))
	}
	return state
}

func reportOf(replica int, sequence, version uint64) sitestate.Command {
	command := report(fmt.Sprint("i", replica), fmt.Sprint("a", replica), sequence, sitestate.ReplicaReady)
	command.Replica.Models = []sitestate.ModelVersion{{Name: "m", Version: version}}
	return command
}

func apply(b *testing.B, state *sitestate.State, index uint64, command sitestate.Command) {
	b.Helper()
	data, err := command.Encode()
	if err != nil {
		b.Fatal(err)
	}
	if state.Apply(index, data) != sitestate.OutcomeDone {
		b.Fatal("not applied")
	}
}

// BenchmarkReportAndUpdate applies one replica's report and computes the update of an observer.
func BenchmarkReportAndUpdate(b *testing.B) {
	for _, replicas := range []int{10, 350, 3500} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			state := benchmarkedState(b, replicas)
			index := state.Position()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				index++
				apply(b, state, index, reportOf(i%replicas, uint64(i+2), 2))
				if update := state.Update(index-1, sitestate.InterestAll); len(update.Replicas) != 1 {
					b.Fatal("no update")
				}
			}
		})
	}
}

package sitestore

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// TestStrandedTextRestarts guards against an item that is never placed again because its text has a
// weight version that no replica serves any more, while replicas that do not serve its model, or
// not in its region, are counted as ones that may still continue it. It also guards against a text
// that is thrown away although its version comes back.
func TestStrandedTextRestarts(t *testing.T) {
	const exact = 4
	engine := func(id string, version uint64) sitestate.Replica {
		return sitestate.Replica{ID: id, Slots: 2, Models: []sitestate.ModelVersion{{Name: "m", Version: version}}}
	}
	other := sitestate.Replica{ID: "other", Slots: 2, Models: []sitestate.ModelVersion{{Name: "n", Version: 1}}}
	for name, row := range map[string]struct {
		engines  []sitestate.Replica
		blocked  string
		restarts bool
	}{
		"a replica serves the version":              {engines: []sitestate.Replica{engine("a", exact), engine("b", exact+1)}},
		"a replica is yet to load the version":      {engines: []sitestate.Replica{engine("a", exact-1), engine("b", exact+1)}},
		"all serve later versions":                  {engines: []sitestate.Replica{engine("a", exact+1), engine("b", exact+2)}, restarts: true},
		"the others serve another model":            {engines: []sitestate.Replica{engine("a", exact+1), other}, restarts: true},
		"the one with the version rejected a run":   {engines: []sitestate.Replica{engine("a", exact), engine("b", exact+1)}, blocked: "a"},
		"no replica serves the model at the moment": {engines: []sitestate.Replica{other}},
		"no replica of the service":                 {},
	} {
		t.Run(name, func(t *testing.T) {
			application := sitestate.Replica{ID: "plain", Slots: 2}
			view := &siteview.View{View: &sitestate.View{
				Replicas:  sitestate.SetOf(append([]sitestate.Replica{application}, row.engines...)...),
				ByService: map[string]sitestate.ReplicaList{"s": sitestate.ListOf(row.engines...), "plain": sitestate.ListOf(application)},
			}}
			r := newTestRunner()
			r.replicas = newReplicaTracker(0)
			r.table = routing.NewTable(&routing.Document{
				Services: []routing.Service{{Name: "s", Engine: &routing.Engine{}}, {Name: "plain"}},
				Routes:   []routing.Route{{Name: "r", Host: "h", Prefix: "/", Kind: routing.KindJobs, Service: "s", OneVersion: true}},
			})
			item := &itemState{key: jobqueue.Key{Job: "j"}, host: "h", spec: jobstate.Item{Path: "/x"}, model: "m", oneVersion: true}
			if !item.add("text", "1", exact) {
				t.Fatal("the item takes no text")
			}
			r.items[item.key] = item
			r.enqueue(item, testTime)
			if row.blocked != "" {
				r.replicas.block(row.blocked, testTime.Add(brokenPause))
			}
			r.replicas.candidates(view, r.table, testTime)
			r.restartStranded()
			if got := item.length() == 0; got != row.restarts {
				t.Errorf("restarts: %v, want %v", got, row.restarts)
			}
			if r.queue.Len() != 1 {
				t.Errorf("%d items in the queue, want 1", r.queue.Len())
			}
		})
	}
}

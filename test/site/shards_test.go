package site_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// shardedSite starts a site of two models, each in a shard of its own, with one engine
// for each.
func shardedSite(t *testing.T, losses, stores int) *site {
	s := newSite(t, 3, stores)
	s.losses, s.placesPerShard, s.models = losses, sitestandin.Slots, []string{"model-a", "model-b"}
	s.start()
	s.configure()
	s.add(sitestandin.NewReplica(t, "i-plain", plain))
	s.add(sitestandin.NewEngine(t, "i-lm-0", lm, s.models...), sitestandin.NewEngine(t, "i-lm-1", lm, s.models...))
	until(t, "both models have a shard, and an engine", func() bool {
		view := s.fronts[0].watcher.View()
		return len(view.Shards) == 2 && view.ShardOf("model-a") != 0 && view.ShardOf("model-b") != 0
	})
	if view := s.fronts[0].watcher.View(); view.ShardOf("model-a") == view.ShardOf("model-b") {
		t.Fatalf("models are placed as %v", view.Placed)
	}
	return s
}

// runnerOf gives the store process that runs the items of a model.
func (s *site) runnerOf(model string) *process {
	shard := s.fronts[0].watcher.View().ShardOf(model)
	var leader *process
	until(s.t, "a leader of shard "+fmt.Sprint(shard), func() bool {
		for _, p := range s.stores {
			if p.cancel == nil || !p.store.Leads() {
				continue
			}
			if shown := p.store.PublishedState(); shown != nil && sitestate.ShardNumber(shown.Shard) == shard {
				leader = p
				return true
			}
		}
		return false
	})
	return leader
}

// TestModelsOfSeveralShards: jobs of every model are done, before any version was
// published, and any front that never saw a job finds it. (A day of a large site once
// began with twelve seconds in which no item ran: replicas were kept at no model until
// the first version was named.)
func TestModelsOfSeveralShards(t *testing.T) {
	s := shardedSite(t, 0, 3)
	for _, name := range s.models {
		s.submit("job-"+name, jobOf(name, 1, "item-0-"+name, "item-1-"+name))
	}
	for _, name := range s.models {
		for _, result := range s.readAll("job-" + name).Results {
			if result.State != "completed" || result.Text != sitestandin.WholeText(result.ID, sitestandin.DefaultEvents) {
				t.Errorf("%+v", result)
			}
		}
	}
	for _, p := range s.replicas {
		for _, arrival := range p.Arrivals() {
			if p.Service == lm && arrival.ID[len("item-0-"):] == s.models[0] && p.ID == s.engineOf(s.models[1]) {
				t.Errorf("an item of %s ran at %s, which is another shard's", s.models[0], p.ID)
			}
		}
	}
	other := s.startFront(&process{name: "front-1"})
	until(t, "the other front finds both jobs, and no third one", func() bool {
		for i, want := range []int{http.StatusOK, http.StatusOK, http.StatusNotFound} {
			id := append(slices.Clone(s.models), "none")[i]
			if status, _, _ := do(http.MethodGet, other.http.URL+"/loomgrade/lots/job-"+id+"?sinceRevision=0", host, nil, nil); status != want {
				return false
			}
		}
		return true
	})
	if status, _, _ := do(http.MethodDelete, other.http.URL+"/loomgrade/lots/job-none", host, nil, nil); status == http.StatusServiceUnavailable {
		t.Errorf("the end of a job that there is not: status %d", status)
	}
}

// engineOf names the engine that is kept at a model.
func (s *site) engineOf(model string) string {
	for _, replica := range s.controls[0].control.View().Replicas.All() {
		if replica.Model == model {
			return replica.ID
		}
	}
	return ""
}

// TestAShardIsLostAlone: while one shard has no leader the other works, and a front is
// not sure about jobs that it does not know.
func TestAShardIsLostAlone(t *testing.T) {
	s := shardedSite(t, 0, 3)
	lost, kept := s.models[0], s.models[1]
	s.submit("job-lost", jobOf(lost, 1, "item-lost"))
	s.readAll("job-lost")
	down := s.runnerOf(lost)
	down.powerOff()
	s.submit("job-kept", jobOf(kept, 1, "item-kept"))
	s.readAll("job-kept")
	if status, _ := s.read("job-unknown", 0); status != http.StatusServiceUnavailable {
		t.Errorf("a job that may be the lost shard's: status %d", status)
	}
	if status, _ := s.read("job-lost", 0); status == http.StatusNotFound {
		t.Error("a kept job is denied")
	}
	s.startStore(down)
	s.readAll("job-lost")
}

// TestAShardGetsAFreeMachineForALostOne: the machines of the two shards bear one loss
// each; the free one takes the lost one's place, in its shard.
func TestAShardGetsAFreeMachineForALostOne(t *testing.T) {
	s := shardedSite(t, 1, 8)
	s.submit("job-1", jobOf(s.models[0], 1, "item-1"))
	s.readAll("job-1")
	shard := s.fronts[0].watcher.View().ShardOf(s.models[0])
	s.runnerOf(s.models[0]).powerOff()
	until(t, "another machine is a voter of the shard, and the lost one is not", func() bool {
		alive := 0
		for _, p := range s.stores {
			if p.cancel == nil {
				continue
			}
			shown := p.store.PublishedState()
			if shown == nil || sitestate.ShardNumber(shown.Shard) != shard {
				continue
			}
			if voters := shown.Status.Membership.Voters; len(voters) == 3 && slices.Contains(voters, shown.Status.ID) {
				alive++
			}
		}
		return alive == 3
	})
	second := s.runnerOf(s.models[0])
	second.powerOff()
	time.Sleep(time.Second)
	s.readAll("job-1")
	s.submit("job-2", jobOf(s.models[0], 1, "item-2"))
	s.readAll("job-2")
}

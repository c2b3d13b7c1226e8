package sitestate_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

func createShard(number sitestate.ShardNumber, names ...string) sitestate.Command {
	shard := sitestate.Shard{Number: number}
	for i, name := range names {
		shard.Founders = append(shard.Founders, groupmember.Record{ID: number.FounderID(i), Name: name})
	}
	return sitestate.Command{CreateShard: &sitestate.CreateShard{Shard: shard}}
}

func place(model string, shard sitestate.ShardNumber) sitestate.Command {
	return sitestate.Command{Place: &sitestate.Place{Model: model, Shard: shard}}
}

// TestShardCreationAndPlacementOrder checks that outdated decisions of concurrent
// leaders change nothing.
func TestShardCreationAndPlacementOrder(t *testing.T) {
	l := newLog(t)
	for i, step := range []struct {
		command sitestate.Command
		want    sitestate.Outcome
	}{
		{place("a", 1), sitestate.OutcomeUnknown}, // no shard yet
		{createShard(2, "x"), sitestate.OutcomeIgnored},
		{createShard(1, "a", "b"), sitestate.OutcomeDone},
		{createShard(1, "c", "d"), sitestate.OutcomeIgnored},
		{createShard(2, "e"), sitestate.OutcomeDone},
		{place("a", 2), sitestate.OutcomeDone},
		{place("a", 1), sitestate.OutcomeIgnored},
		{place("b", 3), sitestate.OutcomeUnknown},
		{place("", 1), sitestate.OutcomeDone},
		{createShard(3, "f"), sitestate.OutcomeIgnored}, // models are placed
	} {
		if got := l.apply(step.command); got != step.want {
			t.Errorf("step %d: outcome %d, want %d", i, got, step.want)
		}
	}
	view := (&sitestate.View{}).Apply(l.state.Update(0, sitestate.InterestRouting))
	if len(view.Shards) != 2 || view.Shards[0].Founders[1].Name != "b" || view.Shards[1].Founders[0].ID <= view.Shards[0].Founders[1].ID {
		t.Errorf("shards %+v", view.Shards)
	}
	if view.ShardOf("a") != 2 || view.ShardOf("") != 1 || view.ShardOf("b") != 0 {
		t.Errorf("placed %v", view.Placed)
	}
	data, err := l.state.Snapshot().Bytes()
	if err != nil {
		t.Fatal(err)
	}
	restored := sitestate.New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if len(restored.Shards()) != 2 || restored.Placed()["a"] != 2 {
		t.Errorf("restored: %v, %v", restored.Shards(), restored.Placed())
	}
}

// TestEvacuatedStoreStaysEvacuated checks that removal from its group does not reactivate an
// evacuated store machine.
func TestEvacuatedStoreStaysEvacuated(t *testing.T) {
	l := newLog(t)
	store := sitestate.Store{Name: "m", Address: "1:1", Incarnation: "x", Shard: 2}
	l.apply(sitestate.Command{Store: &store})
	l.apply(sitestate.Command{Evacuate: &sitestate.Evacuate{Name: "m"}})
	l.apply(sitestate.Command{Evacuate: &sitestate.Evacuate{Name: "m", Done: true}})
	store.Shard = 0
	l.apply(sitestate.Command{Store: &store})
	if got, _ := l.state.Store("m"); got.State != sitestate.StoreEvacuated || got.Shard != 0 {
		t.Errorf("after removal from its group: %+v", got)
	}
	store.Incarnation = "y"
	l.apply(sitestate.Command{Store: &store})
	if got, _ := l.state.Store("m"); got.State != sitestate.StoreActive {
		t.Errorf("with a new data folder: %+v", got)
	}
}

// TestEveryReplicaHasOneOwner checks that at most one shard owns a replica, so that its slots
// are not assigned twice.
func TestEveryReplicaHasOneOwner(t *testing.T) {
	models := []string{"", "a", "b", "c", "d"}
	testkit.Check(t, 16, func(t *rapid.T) {
		view := &sitestate.View{Placed: map[string]sitestate.ShardNumber{}}
		for number := range rapid.IntRange(0, 4).Draw(t, "shards") {
			view.Shards = append(view.Shards, sitestate.Shard{Number: sitestate.ShardNumber(number + 1)})
		}
		if len(view.Shards) > 0 {
			for _, model := range models {
				if rapid.Bool().Draw(t, "placed") {
					view.Placed[model] = view.Shards[rapid.IntRange(0, len(view.Shards)-1).Draw(t, "shard")].Number
				}
			}
		}
		for i := range 20 {
			replica := sitestate.Replica{ID: fmt.Sprint("i-", i), Model: rapid.SampledFrom(models).Draw(t, "model")}
			if rapid.Bool().Draw(t, "has weights") {
				replica.Models = []sitestate.ModelVersion{{Name: "a", Version: 1}}
			}
			owner := view.OwnerOf(&replica)
			known := slices.ContainsFunc(view.Shards, func(shard sitestate.Shard) bool { return shard.Number == owner })
			switch {
			case len(view.Shards) == 1 && owner != 1:
				t.Fatalf("a site's only shard does not own %+v", replica)
			case owner != 0 && !known:
				t.Fatalf("unknown shard %d owns %+v", owner, replica)
			case len(view.Shards) > 1 && replica.Model != "" && owner != view.Placed[replica.Model]:
				t.Fatalf("shard %d owns %+v, whose model is placed in shard %d", owner, replica, view.Placed[replica.Model])
			case len(view.Shards) > 1 && replica.Model == "" && replica.Models == nil && owner == 0:
				t.Fatalf("no shard owns %+v, which has no model", replica)
			}
		}
	})
}

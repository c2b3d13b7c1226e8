package sitestate

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/testkit"
)

// TestUpdateByServiceEqualsRebuild checks that incrementally updated lists equal lists
// rebuilt from all replicas, and that published views do not change.
func TestUpdateByServiceEqualsRebuild(t *testing.T) {
	testkit.Check(t, 20, func(r *rapid.T) {
		var view *View
		for position := range uint64(rapid.IntRange(1, 30).Draw(r, "updates")) {
			update := drawUpdate(r, position+1)
			var previous string
			if view != nil {
				previous = fmt.Sprint(view.ByService)
			}
			next := view.Apply(update)
			if got, want := slicesOf(next.ByService), slicesOf(next.byService()); !reflect.DeepEqual(got, want) {
				r.Fatalf("after %+v: %v, want %v", update, got, want)
			}
			if view != nil && fmt.Sprint(view.ByService) != previous {
				r.Fatalf("the lists of an older view changed from %s to %v", previous, view.ByService)
			}
			view = next
		}
	})
}

// slicesOf converts lists to slices, and a list with a wrong or zero length to nil.
func slicesOf(lists map[string]ReplicaList) map[string][]Replica {
	plain := map[string][]Replica{}
	for service, list := range lists {
		plain[service] = list.Slice()
		if list.Len() != len(plain[service]) || list.Len() == 0 {
			plain[service] = nil
		}
	}
	return plain
}

func drawUpdate(r *rapid.T, position uint64) Update {
	update := Update{Position: position, Full: position == 1 || rapid.IntRange(0, 9).Draw(r, "whole") == 0}
	for range rapid.IntRange(0, 4).Draw(r, "replicas") {
		update.Replicas = append(update.Replicas, Replica{
			ID: fmt.Sprint("i", rapid.IntRange(0, 6).Draw(r, "id")), Service: fmt.Sprint("s", rapid.IntRange(0, 2).Draw(r, "service")),
			State: ReplicaState(rapid.IntRange(0, 1).Draw(r, "state")), ChangedAt: position,
			Zone: fmt.Sprint("z", rapid.IntRange(0, 2).Draw(r, "zone")),
		})
	}
	if rapid.IntRange(0, 3).Draw(r, "drains") == 0 {
		update.Drains = &Drains{Zones: []string{"z0", "z1"}[:rapid.IntRange(0, 2).Draw(r, "drained")]}
	}
	for range rapid.IntRange(0, 2).Draw(r, "gone") {
		update.Removed = append(update.Removed, fmt.Sprint("i", rapid.IntRange(0, 6).Draw(r, "left")))
	}
	return update
}

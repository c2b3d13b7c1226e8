package sitestate

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/testkit"
)

// TestReplicaSetAndListMatchMap checks sets and lists against a map, and that edits do not
// change older sets and lists.
func TestReplicaSetAndListMatchMap(t *testing.T) {
	testkit.Check(t, 20, func(r *rapid.T) {
		var set ReplicaSet
		var list ReplicaList
		model := map[string]Replica{}
		for range rapid.IntRange(1, 12).Draw(r, "edits") {
			beforeSet, beforeList, before := set, list, maps.Clone(model)
			setEdit, listEdit := set.edit(), list.edit()
			for range rapid.IntRange(0, 150).Draw(r, "changes") {
				id := fmt.Sprint("i-", rapid.IntRange(0, 300).Draw(r, "id"))
				if rapid.IntRange(0, 3).Draw(r, "remove") == 0 {
					setEdit.remove(id)
					listEdit.remove(id)
					delete(model, id)
					continue
				}
				replica := Replica{ID: id, Sequence: rapid.Uint64Range(0, 9).Draw(r, "sequence")}
				setEdit.put(replica)
				listEdit.put(replica)
				model[id] = replica
			}
			set, list = setEdit.finish(), listEdit.finish()
			compareWithMap(r, "newer", set, list, model)
			compareWithMap(r, "older", beforeSet, beforeList, before)
		}
	})
}

func compareWithMap(r *rapid.T, name string, set ReplicaSet, list ReplicaList, model map[string]Replica) {
	if got := maps.Collect(set.All()); !maps.EqualFunc(got, model, func(a, b Replica) bool { return reflect.DeepEqual(a, b) }) || set.Len() != len(model) {
		r.Fatalf("the %s set holds %d replicas, want %d", name, len(got), len(model))
	}
	want := slices.Sorted(maps.Keys(model))
	var got []string
	for replica := range list.All() {
		got = append(got, replica.ID)
		if !reflect.DeepEqual(*replica, model[replica.ID]) {
			r.Fatalf("the %s list holds %+v, want %+v", name, *replica, model[replica.ID])
		}
	}
	if !slices.Equal(got, want) || list.Len() != len(want) {
		r.Fatalf("the %s list holds %v, want %v", name, got, want)
	}
}

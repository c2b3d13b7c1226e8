package weightplan_test

import (
	"fmt"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/core/weightplan"
)

func replicas(count int) []sitestate.Replica {
	var list []sitestate.Replica
	for i := range count {
		list = append(list, sitestate.Replica{ID: fmt.Sprintf("i-%d", i)})
	}
	return list
}

func apply(list []sitestate.Replica, changes map[string]string) map[string]int {
	counts := map[string]int{}
	for i := range list {
		if model, changed := changes[list[i].ID]; changed {
			list[i].Model = model
		}
		counts[list[i].Model]++
	}
	return counts
}

func TestAssignSharesEvenlyAndKeepsWhatItCan(t *testing.T) {
	models := []string{"a", "b", "c"}
	list := replicas(9)
	counts := apply(list, weightplan.Assign(list, models))
	if counts["a"] != 3 || counts["b"] != 3 || counts["c"] != 3 {
		t.Fatalf("counts %v", counts)
	}
	if again := weightplan.Assign(list, models); len(again) != 0 {
		t.Errorf("changed again: %v", again)
	}
	lost := list[3:] // one of each model is gone
	if changes := weightplan.Assign(lost, models); len(changes) != 0 {
		t.Errorf("changed although even: %v", changes)
	}
	var withoutA []sitestate.Replica
	for _, replica := range list {
		if replica.Model != "a" {
			withoutA = append(withoutA, replica)
		}
	}
	changes := weightplan.Assign(withoutA, models)
	if counts := apply(withoutA, changes); counts["a"] != 2 || len(changes) != 2 {
		t.Errorf("counts %v after %v", counts, changes)
	}
}

func TestNextLoadsTheFurthestBehindWithinTheLimits(t *testing.T) {
	list := replicas(4)
	for i := range list {
		list[i].Model = "a"
		list[i].Models = []sitestate.ModelVersion{{Name: "a", Version: uint64(4 - i)}}
	}
	versions := map[string]uint64{"a": 4}
	limits := weightplan.Limits{Total: 2, Share: 0.5}
	next := weightplan.Next(list, versions, nil, limits)
	if len(next) != 2 || next[0].Replica.ID != "i-3" || next[1].Replica.ID != "i-2" || next[0].Version != 4 {
		t.Fatalf("next %v", next)
	}
	next = weightplan.Next(list, versions, map[string]bool{"i-3": true}, limits)
	if len(next) != 1 || next[0].Replica.ID != "i-2" {
		t.Errorf("next %v", next)
	}
	if next = weightplan.Next(list, map[string]uint64{}, nil, limits); len(next) != 0 {
		t.Errorf("loads without a published version: %v", next)
	}
}

// Package weightplan decides which replicas are kept at which model's weights
// and which of them load next. It is pure.
package weightplan

import (
	"cmp"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// Assign gives the replicas whose model has to change so that a service's
// models share its replicas evenly. A replica keeps its model where it can: a
// change costs a load and whatever the replica had cached.
func Assign(replicas []sitestate.Replica, models []string) map[string]string {
	if len(models) == 0 || len(replicas) == 0 {
		return nil
	}
	changes := map[string]string{}
	counts := make(map[string]int, len(models))
	var open []sitestate.Replica
	for _, replica := range replicas {
		if slices.Contains(models, replica.Model) {
			counts[replica.Model]++
			continue
		}
		open = append(open, replica)
	}
	for _, replica := range open {
		model := fewest(models, counts)
		changes[replica.ID] = model
		counts[model]++
	}
	even(replicas, models, counts, changes)
	return changes
}

// fewest gives the model with the fewest replicas, the first of equals.
func fewest(models []string, counts map[string]int) string {
	return slices.MinFunc(models, func(a, b string) int { return counts[a] - counts[b] })
}

// even moves replicas from the model with the most to that with the fewest
// until they differ by one at most.
func even(replicas []sitestate.Replica, models []string, counts map[string]int, changes map[string]string) {
	for {
		low := fewest(models, counts)
		high := slices.MaxFunc(models, func(a, b string) int { return counts[a] - counts[b] })
		if counts[high]-counts[low] < 2 {
			return
		}
		for _, replica := range slices.Backward(replicas) {
			if modelOf(replica, changes) == high {
				changes[replica.ID] = low
				break
			}
		}
		counts[high]--
		counts[low]++
	}
}

func modelOf(replica sitestate.Replica, changes map[string]string) string {
	if changed, found := changes[replica.ID]; found {
		return changed
	}
	return replica.Model
}

// Target is a load to be ordered.
type Target struct {
	Replica sitestate.Replica
	Model   string
	Version uint64
}

// Limits bound the loads that run at once.
type Limits struct {
	// Total is for all replicas of the service.
	Total int
	// Share is the largest part of a model's replicas; at least one may load.
	Share float64
}

// Next gives the loads to order now, the replica furthest behind first.
// Versions are the published ones by model; loading names the replicas with an
// order under way or left alone for now.
func Next(replicas []sitestate.Replica, versions map[string]uint64, loading map[string]bool, limits Limits) []Target {
	total := 0
	ofModel, loadingOf := map[string]int{}, map[string]int{}
	var behind []Target
	for _, replica := range replicas {
		ofModel[replica.Model]++
		if loading[replica.ID] {
			loadingOf[replica.Model]++
			total++
			continue
		}
		wanted := versions[replica.Model]
		if replica.Model != "" && replica.VersionOf(replica.Model) < wanted {
			behind = append(behind, Target{Replica: replica, Model: replica.Model, Version: wanted})
		}
	}
	slices.SortStableFunc(behind, func(a, b Target) int {
		return cmp.Compare(a.Replica.VersionOf(a.Model), b.Replica.VersionOf(b.Model))
	})
	var next []Target
	for _, target := range behind {
		most := max(1, int(limits.Share*float64(ofModel[target.Model])))
		if total >= limits.Total || loadingOf[target.Model] >= most {
			continue
		}
		next = append(next, target)
		total++
		loadingOf[target.Model]++
	}
	return next
}

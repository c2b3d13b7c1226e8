// Package weightplan decides which replicas are kept at which model's weights
// and which of them load next. It is pure.
package weightplan

import (
	"cmp"
	"math"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// moveGain is by how much a move has to lower the load of the model whose
// replicas are loaded most.
const moveGain = 0.08

// Assign gives the replicas whose model has to change so that the replicas of a
// service are shared by its models as their demand is. Without any demand all
// share alike. A replica keeps its model where it can: a change costs a load and
// whatever it had cached. New replicas are always assigned; one that has a model
// moves only if mayMove is set, one at a time.
func Assign(replicas []sitestate.Replica, models []string, demand map[string]float64, mayMove bool) map[string]string {
	if len(models) == 0 || len(replicas) == 0 {
		return nil
	}
	changes := map[string]string{}
	shares := shareOut(models, demand)
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
		model := mostLoaded(models, shares, counts)
		changes[replica.ID] = model
		counts[model]++
	}
	if mayMove && len(changes) == 0 {
		move(replicas, models, shares, counts, changes)
	}
	return changes
}

// leastShare keeps a model without any demand from being left out.
const leastShare = 0.01

// shareOut gives each model its part of the whole demand.
func shareOut(models []string, demand map[string]float64) map[string]float64 {
	total := 0.0
	for _, model := range models {
		total += demand[model]
	}
	shares := make(map[string]float64, len(models))
	for _, model := range models {
		shares[model] = 1 / float64(len(models))
		if total > 0 {
			shares[model] = max(leastShare, demand[model]/total)
		}
	}
	return shares
}

// load gives the demand that one replica of a model carries.
func load(share float64, count int) float64 {
	if count == 0 {
		return math.Inf(1)
	}
	return share / float64(count)
}

// mostLoaded gives the model whose replicas carry most, the first of equals.
func mostLoaded(models []string, shares map[string]float64, counts map[string]int) string {
	return slices.MaxFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(load(shares[a], counts[a]), load(shares[b], counts[b])), cmp.Compare(shares[a], shares[b]))
	})
}

// move takes one replica for the model whose replicas carry most from the one
// whose would carry least without it, if that lowers the most that any carries.
func move(replicas []sitestate.Replica, models []string, shares map[string]float64, counts map[string]int, changes map[string]string) {
	to := mostLoaded(models, shares, counts)
	from, least := "", math.Inf(1)
	for _, model := range models {
		if after := load(shares[model], counts[model]-1); model != to && counts[model] > 1 && after < least {
			from, least = model, after
		}
	}
	before := load(shares[to], counts[to])
	after := max(least, load(shares[to], counts[to]+1))
	if from == "" || after >= before*(1-moveGain) {
		return
	}
	for _, replica := range slices.Backward(replicas) {
		if replica.Model == from {
			changes[replica.ID] = to
			return
		}
	}
}

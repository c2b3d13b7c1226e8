// Package weightplan decides which model's weights each replica loads, and which replicas load
// next. It does no I/O.
package weightplan

import (
	"cmp"
	"math"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// minLoadReduction is the relative reduction of the highest load that justifies a move.
const minLoadReduction = 0.08

// Assign returns the changes of assigned models, by replica id, with which the models share a
// service's replicas in proportion to demand, or equally without demand. Replicas keep their
// model where possible, since a change costs a load and the replica's cache. New replicas are
// always assigned; an assigned one moves only if mayMove is set, one per call.
func Assign(replicas []sitestate.Replica, models []string, demand map[string]float64, mayMove bool) map[string]string {
	if len(models) == 0 || len(replicas) == 0 {
		return nil
	}
	changes := map[string]string{}
	shares := demandShares(models, demand)
	counts := make(map[string]int, len(models))
	var unassigned []sitestate.Replica
	for _, replica := range replicas {
		if slices.Contains(models, replica.Model) {
			counts[replica.Model]++
			continue
		}
		unassigned = append(unassigned, replica)
	}
	for _, replica := range unassigned {
		model := mostLoaded(models, shares, counts)
		changes[replica.ID] = model
		counts[model]++
	}
	if mayMove && len(changes) == 0 {
		move(replicas, models, shares, counts, changes)
	}
	return changes
}

// minShare is the minimum share of a model, also without demand.
const minShare = 0.01

// demandShares returns each model's share of the total demand.
func demandShares(models []string, demand map[string]float64) map[string]float64 {
	total := 0.0
	for _, model := range models {
		total += demand[model]
	}
	shares := make(map[string]float64, len(models))
	for _, model := range models {
		shares[model] = 1 / float64(len(models))
		if total > 0 {
			shares[model] = max(minShare, demand[model]/total)
		}
	}
	return shares
}

// load returns the demand per replica of a model.
func load(share float64, count int) float64 {
	if count == 0 {
		return math.Inf(1)
	}
	return share / float64(count)
}

// mostLoaded returns the model with the highest load per replica, on a tie the one with the
// highest share.
func mostLoaded(models []string, shares map[string]float64, counts map[string]int) string {
	return slices.MaxFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(load(shares[a], counts[a]), load(shares[b], counts[b])), cmp.Compare(shares[a], shares[b]))
	})
}

// move moves one replica to the most loaded model from the model that would be least loaded
// without it, if that sufficiently reduces the highest load.
func move(replicas []sitestate.Replica, models []string, shares map[string]float64, counts map[string]int, changes map[string]string) {
	to := mostLoaded(models, shares, counts)
	from, lowest := "", math.Inf(1)
	for _, model := range models {
		if after := load(shares[model], counts[model]-1); model != to && counts[model] > 1 && after < lowest {
			from, lowest = model, after
		}
	}
	before := load(shares[to], counts[to])
	after := max(lowest, load(shares[to], counts[to]+1))
	if from == "" || after >= before*(1-minLoadReduction) {
		return
	}
	for _, replica := range slices.Backward(replicas) {
		if replica.Model == from {
			changes[replica.ID] = to
			return
		}
	}
}

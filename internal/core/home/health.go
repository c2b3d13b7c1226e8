package home

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/ejection"
	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// PoolHealth returns the replicas of a pool that their homes eject or probe. Ejections
// are limited to the pool's maximum share. Size is the size of the pool.
func PoolHealth(now time.Time, summaries *membership.Summaries, homes *membership.Assigner, pool *port.Pool, size int) map[port.ReplicaID]Health {
	health := make(map[port.ReplicaID]Health)
	var claims []ejection.Claim
	summaries.Pool(now, homes, pool.Name, func(_ port.NodeID, replica *membership.ReplicaSummary, _ time.Duration) {
		if replica.Probing {
			health[replica.Replica] = Health{Probing: true}
		}
		if replica.Ejected {
			claims = append(claims, ejection.Claim{Replica: replica.Replica, Since: time.UnixMilli(replica.EjectedSince)})
		}
	})
	for _, id := range ejection.AcceptedClaims(claims, size, pool.Ejection.MaxShare) {
		health[id] = Health{Ejected: true}
	}
	return health
}

// Classification classifies the end of a request for the gate and the ejection tracker.
type Classification struct {
	// Outcome is passed to the gate.
	Outcome gate.Outcome
	// AffectsHealth is set if the outcome affects the replica's health, Failed if it counts
	// as a failure. Latency is comparable between requests.
	AffectsHealth, Failed bool
	Latency               time.Duration
}

// ClassifyGeneration classifies the end of a completion with the given number of tokens.
// Abandoned is set if the caller disconnected.
func ClassifyGeneration(failure *port.Error, abandoned bool, tokens int, elapsed time.Duration) Classification {
	if abandoned || failure != nil && ignoredForHealth(failure) {
		return Classification{Outcome: gate.Outcome{Abandoned: true}}
	}
	perToken := elapsed / time.Duration(max(tokens, 1))
	failed := failure != nil
	return Classification{
		Outcome:       gate.Outcome{Overloaded: failed, Latency: perToken, Weight: tokens},
		AffectsHealth: true, Failed: failed, Latency: perToken,
	}
}

// ClassifyCall classifies the end of an application call with an HTTP status.
func ClassifyCall(failure *port.Error, abandoned bool, status int, elapsed time.Duration) Classification {
	if failure != nil && (abandoned || failure.Code == port.CodeInvalid) {
		return Classification{Outcome: gate.Outcome{Abandoned: true}}
	}
	failed := failure != nil || status >= minServerErrorStatus
	classification := Classification{
		Outcome:       gate.Outcome{Overloaded: failed, Latency: elapsed},
		AffectsHealth: true, Failed: failed, Latency: elapsed,
	}
	if !failed {
		classification.Outcome.Service = elapsed
	}
	return classification
}

// minServerErrorStatus is the lowest HTTP status that counts as a back end failure.
const minServerErrorStatus = 500

// ignoredForHealth reports whether a failure doesn't indicate a fault of the replica.
func ignoredForHealth(failure *port.Error) bool {
	switch failure.Code {
	case port.CodeInvalid, port.CodeConflict, port.CodeCancelled, port.CodeStale, port.CodeTooLarge:
		return true
	default:
		return false
	}
}

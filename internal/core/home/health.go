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
	for _, id := range ejection.Honour(claims, size, pool.Ejection.MaxShare) {
		health[id] = Health{Ejected: true}
	}
	return health
}

// Judged classifies the end of a request for the gate and the ejection tracker.
type Judged struct {
	// Outcome is passed to the gate.
	Outcome gate.Outcome
	// Counts is set if the outcome affects the replica's health, Failed if it counts
	// as a failure. Latency is comparable between requests.
	Counts, Failed bool
	Latency        time.Duration
}

// JudgeGeneration classifies the end of a completion with the given number of tokens.
// Abandoned is set if the caller went away.
func JudgeGeneration(failure *port.Error, abandoned bool, tokens int, elapsed time.Duration) Judged {
	if abandoned || failure != nil && ignoredForHealth(failure) {
		return Judged{Outcome: gate.Outcome{Abandoned: true}}
	}
	perToken := elapsed / time.Duration(max(tokens, 1))
	failed := failure != nil
	return Judged{
		Outcome: gate.Outcome{Overloaded: failed, Latency: perToken, Weight: tokens},
		Counts:  true, Failed: failed, Latency: perToken,
	}
}

// JudgeCall classifies the end of an application call with an HTTP status.
func JudgeCall(failure *port.Error, abandoned bool, status int, elapsed time.Duration) Judged {
	if failure != nil && (abandoned || failure.Code == port.CodeInvalid) {
		return Judged{Outcome: gate.Outcome{Abandoned: true}}
	}
	failed := failure != nil || status >= minServerErrorStatus
	judged := Judged{
		Outcome: gate.Outcome{Overloaded: failed, Latency: elapsed},
		Counts:  true, Failed: failed, Latency: elapsed,
	}
	if !failed {
		judged.Outcome.Service = elapsed
	}
	return judged
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

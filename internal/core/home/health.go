package home

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/ejection"
	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Standings gives the replicas of a pool that are out or probed, by the word of
// their homes, within the bound that the pool sets. Size is that of the pool.
func Standings(now time.Time, summaries *membership.Summaries, homes *membership.Assigner, pool *port.Pool, size int) map[port.ReplicaID]Standing {
	standings := make(map[port.ReplicaID]Standing)
	var claims []ejection.Claim
	summaries.Pool(now, homes, pool.Name, func(_ port.NodeID, replica *membership.ReplicaSummary, _ time.Duration) {
		if replica.Probing {
			standings[replica.Replica] = Standing{Probing: true}
		}
		if replica.Ejected {
			claims = append(claims, ejection.Claim{Replica: replica.Replica, Since: time.UnixMilli(replica.EjectedSince)})
		}
	})
	for _, id := range ejection.Honour(claims, size, pool.Ejection.MaxShare) {
		standings[id] = Standing{Ejected: true}
	}
	return standings
}

// Judged says what the end of a request tells of a replica.
type Judged struct {
	// Outcome is for the gate.
	Outcome gate.Outcome
	// Counts says that the outcome concerns the replica's health; Failed that it
	// speaks against it, and Latency is comparable between requests.
	Counts, Failed bool
	Latency        time.Duration
}

// JudgeGeneration judges the end of a completion of a number of tokens.
// Abandoned says that the caller went away.
func JudgeGeneration(failure *port.Error, abandoned bool, tokens int, elapsed time.Duration) Judged {
	if abandoned || failure != nil && blameless(failure) {
		return Judged{Outcome: gate.Outcome{Abandoned: true}}
	}
	perToken := elapsed / time.Duration(max(tokens, 1))
	failed := failure != nil
	return Judged{
		Outcome: gate.Outcome{Overloaded: failed, Latency: perToken, Weight: tokens},
		Counts:  true, Failed: failed, Latency: perToken,
	}
}

// JudgeCall judges the end of an application call with an HTTP status.
func JudgeCall(failure *port.Error, abandoned bool, status int, elapsed time.Duration) Judged {
	if failure != nil && (abandoned || failure.Code == port.CodeInvalid) {
		return Judged{Outcome: gate.Outcome{Abandoned: true}}
	}
	failed := failure != nil || status >= firstServerError
	judged := Judged{
		Outcome: gate.Outcome{Overloaded: failed, Latency: elapsed},
		Counts:  true, Failed: failed, Latency: elapsed,
	}
	if !failed {
		judged.Outcome.Service = elapsed
	}
	return judged
}

// firstServerError is the lowest HTTP status that speaks against a back end.
const firstServerError = 500

// blameless says whether a failure says nothing about the replica's health.
func blameless(failure *port.Error) bool {
	switch failure.Code {
	case port.CodeInvalid, port.CodeConflict, port.CodeCancelled, port.CodeStale, port.CodeTooLarge:
		return true
	default:
		return false
	}
}

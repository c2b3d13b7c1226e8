package proxy

import (
	"fmt"
	"math"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/port"
)

// minLoggedWait is the wait for the send limit or a connection from which on the log line reports
// it.
const minLoggedWait = 10 * time.Millisecond

// endedTries describes the results of the tries, in the order in which they ended. The duration
// tells an answer that a replica made from one that was there before.
func (e *exchange) endedTries() []string {
	tries := make([]string, 0, len(e.ended))
	for _, res := range e.ended {
		tries = append(tries, fmt.Sprintf("%s: %s, status %d, %.1f ms", res.replica, res.class, res.status, float64(res.took.Microseconds())/1000))
	}
	return tries
}

// log writes a log line about the tries of the request and its outcome.
func (e *exchange) log(answer *Answer, failure *Failure) {
	line := e.proxy.logger.Info()
	if failure != nil && failure.Code != port.CodeCancelled {
		line = e.proxy.logger.Warn()
	}
	if line == nil {
		return
	}
	line = line.Str(eventlog.Field, eventlog.RequestEnded).Str("id", e.request.ID).Str("route", e.request.Route).Str("service", e.request.Service).
		Int("sends", e.sends).Int("may_have_run", e.mayHaveRun).Strs("tried", e.triedIDs).Dur("took_ms", time.Since(e.startedAt))
	if len(e.ended) > 1 {
		line = line.Strs("ended", e.endedTries())
	}
	if view := e.proxy.view(); view != nil {
		line = line.Uint64("view", view.Position).Uint64("configuration", view.Configuration.Version).
			Int("replicas", view.ByService[e.request.Service].Len())
	}
	if e.lastErr != nil {
		line = line.Str("last_failure", e.lastErr.Error())
	}
	if len(e.crashedReplicas) > 0 || e.admission.Suspect {
		line = line.Strs("broke_at", e.crashedReplicas).Str("fingerprint", e.request.fingerprint().String()).
			Bool("withheld", e.withheld).Bool("trial", e.admission.Trial)
	}
	if e.waited >= minLoggedWait {
		line = line.Dur("waited_ms", e.waited)
	}
	if e.connectionWait >= minLoggedWait {
		line = line.Dur("connection_wait_ms", e.connectionWait)
	}
	if failure != nil && failure.Refusal != "" {
		status := e.limit.status()
		line = line.Str("refusal", string(failure.Refusal)).Str("tenant", e.request.Caller).Float64("rate", math.Round(status.Rate*10)/10).
			Int("waiting", status.Waiting).Dur("retry_after_ms", failure.RetryAfter)
	}
	if failure != nil {
		line.Str("verdict", failure.Verdict.String()).Str("code", string(failure.Code)).Str("reason", failure.Reason).Msg("request failed")
		return
	}
	line.Str("replica", answer.Replica.ID).Int("status", answer.Status).Msg("request answered by a replica")
}

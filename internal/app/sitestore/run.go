package sitestore

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/loomgrade/loomgrade/internal/adapter/eventstream"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/dialect"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// stallTimeout is the time without an event after which a run is aborted. It exceeds
	// the pause for a load of weights.
	stallTimeout = 2500 * time.Millisecond
	// maxTextBytes limits a text, as counted by textBytes: a page with it fits into a message.
	maxTextBytes = wire.DefaultMaxFrameSize - 64<<10
	// rejectedPause and brokenPause block a replica after a rejected or broken-off run.
	rejectedPause = 60 * time.Millisecond
	brokenPause   = 400 * time.Millisecond
	// scorePause is the delay before a failed reward call is retried.
	scorePause = 50 * time.Millisecond
	// maxScorePause limits the pause of a reward call that the send limit refuses repeatedly,
	// unless a refusal names a longer one. With its jitter it is 450 ms at most: a burst may
	// delay a trainer by 0.5 s.
	maxScorePause = 300 * time.Millisecond
	// maxFailedScorePause limits the pause after any other failure, whatever the failure
	// names: replicas that can serve the call may join in the meantime.
	maxFailedScorePause = time.Second
	// scorePauseJitter is the fraction by which that pause is extended at random, so that calls
	// that were refused together are not sent again together.
	scorePauseJitter = 0.5
	// scoreTimeout limits one reward call, without its wait in the limiter.
	scoreTimeout = 1200 * time.Millisecond
)

// runKind is the way in which a run ended.
type runKind uint8

const (
	runComplete     runKind = iota // the text is complete
	runRejected                    // the replica did not run it
	runDeclined                    // status 4xx: the replica does not accept the item
	runBroken                      // the stream broke off; received text is retained
	runFailed                      // status 500
	runInvalid                     // status 422: a retry would fail too
	runWrongVersion                // the job does not allow the replica's weight version
	runMoved                       // the replica was slow; the item moves to another one
	runScored                      // the reward call succeeded
	runScoreFailed                 // the reward call failed
)

var runKindNames = [...]string{"whole", "refused", "declined", "broken", "failed", "hopeless", "unfit", "moved", "scored", "score failed"}

// String returns the name of the kind in log lines and metrics.
func (k runKind) String() string { return runKindNames[k] }

// runEvent reports the end of a run to the runner's goroutine.
type runEvent struct {
	item    *itemState
	context context.Context
	kind    runKind
	replica string
	reason  string
	score   string
	// version is the replica's weight version, 0 if unknown.
	version uint64
	// pause is the mean pause between events.
	pause time.Duration
	// responded is set if the replica responded at all, crashed if it closed the connection
	// during the run.
	responded, crashed bool
}

func (r *runner) report(event runEvent) {
	select {
	case r.events <- event:
	case <-event.context.Done():
	}
}

// generate runs an item on a replica until its text is complete or the run ends.
func (r *runner) generate(ctx context.Context, item *itemState, replica sitestate.Replica) {
	event := r.generateOnce(ctx, item, replica)
	if event.kind == runBroken && item.move.Load() {
		event.kind, event.reason = runMoved, "the replica stalled and another one has free slots"
	}
	event.item, event.context, event.replica = item, ctx, replica.ID
	r.report(event)
}

func (r *runner) generateOnce(outer context.Context, item *itemState, replica sitestate.Replica) runEvent {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	item.setAbort(cancel)
	stall := time.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	headers := r.store.config.Dialect.Headers()
	header := http.Header{}
	for _, field := range item.spec.Headers {
		if !setsTenant(field.Name, headers) || item.tenant == "" {
			header[field.Name] = append(header[field.Name], field.Value)
		}
	}
	if item.tenant != "" {
		header.Set(headers.Tenant, item.tenant)
	}
	if !item.resumable() {
		item.startOver()
	}
	if last := item.lastEventID(); last != "" {
		header.Set(headers.LastEventID, last)
	}
	response, err := r.replica.Send(ctx, replica, replicacall.Request{
		Method: http.MethodPost, Target: item.spec.Path, Host: item.host, ID: item.spec.ID, Header: header, Body: item.spec.Body, NoDeadline: true,
	})
	if err != nil {
		if port.AsError(err).Verdict == port.NotRun {
			return runEvent{kind: runBroken, reason: "not sent: " + err.Error()}
		}
		return runEvent{kind: runBroken, reason: err.Error(), crashed: httpcall.IsConnectionClosed(err)}
	}
	defer func() { _ = response.Body.Close() }()
	if event, final := r.classifyResponse(response); final {
		event.responded = true
		return event
	}
	if response.Header.Get(headers.RequestID) == "" {
		return runEvent{kind: runBroken, reason: "a response without the item's id"}
	}
	version, err := strconv.ParseUint(response.Header.Get(headers.WeightVersion), 10, 64)
	if err != nil {
		version = replica.VersionOf(item.model)
	}
	if version < item.minVersion {
		return runEvent{kind: runWrongVersion, version: version, reason: "weights are older than the job allows", responded: true}
	}
	event := r.readEvents(ctx, item, response.Body, stall, version)
	event.responded = true
	return event
}

// setsTenant reports whether a header identifies the tenant. Such headers of a client's items
// are ignored.
func setsTenant(name string, headers dialect.Headers) bool {
	return strings.EqualFold(name, headers.Key) || strings.EqualFold(name, headers.Tenant)
}

// classifyResponse returns the end of a run whose response is not a stream, or false.
func (r *runner) classifyResponse(response *http.Response) (runEvent, bool) {
	status := response.StatusCode
	if status == http.StatusOK {
		return runEvent{}, false
	}
	reason := "status " + strconv.Itoa(status)
	httpcall.Drain(response)
	switch {
	case r.replica.RefusedAsNotRun(response):
		return runEvent{kind: runRejected, reason: reason}, true
	case status == http.StatusUnprocessableEntity:
		return runEvent{kind: runInvalid, reason: reason}, true
	case status == http.StatusInternalServerError:
		return runEvent{kind: runFailed, reason: reason}, true
	case status/100 == 4:
		return runEvent{kind: runDeclined, reason: reason}, true
	default:
		return runEvent{kind: runBroken, reason: reason}, true
	}
}

// readEvents reads the events of a run.
func (r *runner) readEvents(ctx context.Context, item *itemState, body io.Reader, stall *time.Timer, version uint64) runEvent {
	events := eventstream.NewReader(body, r.store.config.Dialect.Headers().WeightVersion)
	var pauses pauseMeter
	for {
		if err := item.awaitRecord(ctx); err != nil {
			return runEvent{kind: runBroken, reason: "the text was not committed in time", version: version, pause: pauses.mean()}
		}
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			item.setComplete()
			return runEvent{kind: runComplete, version: version, pause: pauses.mean()}
		}
		if err != nil {
			return runEvent{kind: runBroken, reason: err.Error(), version: version, pause: pauses.mean(), crashed: httpcall.IsConnectionClosed(err)}
		}
		if !item.follows(event.ID) {
			reason := "event " + strconv.Quote(event.ID) + " does not follow event " + strconv.Quote(item.lastEventID())
			return runEvent{kind: runBroken, reason: reason, version: version, pause: pauses.mean()}
		}
		if item.textSize()+textBytes(event.Data) > maxTextBytes {
			item.startOver()
			return runEvent{kind: runBroken, reason: "the text is longer than " + strconv.Itoa(maxTextBytes) + " bytes", version: version}
		}
		stall.Reset(stallTimeout)
		if event.Version != 0 {
			version = event.Version
		}
		now := time.Now()
		pauses.record(now)
		item.progress.set(pauses.pace(), now.Sub(r.base))
		if !item.add(event.Data, event.ID, version) {
			item.startOver()
			return runEvent{kind: runWrongVersion, version: version, reason: "the weights changed to a version that the job does not allow"}
		}
		if item.move.Load() {
			return runEvent{kind: runMoved, version: version, pause: pauses.mean(), reason: "the replica is slow and another one has free slots"}
		}
	}
}

// score sends the reward call of a complete text until it succeeds or has failed too often.
func (r *runner) score(ctx context.Context, item *itemState) {
	event := runEvent{item: item, context: ctx, kind: runScored}
	if item.spec.Scorer != nil {
		event.kind, event.score, event.reason = r.scoreText(ctx, item)
	}
	r.report(event)
}

// scoreText sends the reward call of an item until it returns how the call ended.
func (r *runner) scoreText(ctx context.Context, item *itemState) (kind runKind, score, reason string) {
	failures, refusals, crashes := 0, 0, 0
	for {
		pause := scorePause
		view := r.store.config.Watcher.View()
		answer, attempts, failure := r.sendScorer(ctx, view, item.spec.Scorer)
		if failure != nil && failure.Refusal != "" {
			refusals++
		} else {
			refusals = 0
		}
		switch {
		case refusals > 0:
			pause = refusedScorePause(refusals, failure.RetryAfter, rand.Float64())
		case failure != nil: // no response: retry
			if failure.Crashed {
				crashes++
			}
			pause = failedScorePause(failure, crashes)
		case answer.Status/100 == 2:
			// No member can apply a record with a score that is not valid UTF-8.
			if score := answer.Header.Get(r.store.config.Dialect.Headers().Signature); utf8.ValidString(score) {
				return runScored, score, ""
			}
		case answer.Status == http.StatusInternalServerError:
			failures++
		}
		if failures >= attempts {
			if r.store.mayGiveUp(item, view.Table) {
				return runScoreFailed, "", "status " + strconv.Itoa(http.StatusInternalServerError)
			}
			pause = undecidedPause
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return runScoreFailed, "", "the job ended"
		}
	}
}

// refusedScorePause returns the pause of a reward call after a number of refusals in a row by
// the send limit; draw is in [0, 1).
func refusedScorePause(refusals int, retryAfter time.Duration, draw float64) time.Duration {
	pause := max(min(time.Duration(refusals)*scorePause, maxScorePause), retryAfter)
	return pause + time.Duration(scorePauseJitter*draw*float64(pause))
}

// failedScorePause returns the pause of a reward call after a failure that is no refusal by the
// send limit, given the number of replicas that crashed during the call so far.
func failedScorePause(failure *proxy.Failure, crashes int) time.Duration {
	pause := max(scorePause, failure.RetryAfter)
	if failure.Crashed {
		pause = max(pause, crashPause(crashes))
	}
	return min(pause, maxFailedScorePause)
}

// sendScorer sends a reward call once, by the route of its host and path, when the limiter
// admits it. It also returns the number of attempts that the route allows, without a limit if the
// call was not sent.
func (r *runner) sendScorer(ctx context.Context, view *siteview.View, scorer *jobstate.Scorer) (*proxy.Answer, int, *proxy.Failure) {
	route := view.Table.Lookup(scorer.Host, scorer.Path)
	if route == nil {
		return nil, math.MaxInt, &proxy.Failure{Verdict: port.NotRun, Code: port.CodeNotFound, Reason: "the reward call has no route"}
	}
	service := route.ServiceFor(rand.Uint64())
	limit := maxScoreCalls(view, service)
	if err := r.scores.acquire(ctx, service, limit); err != nil {
		return nil, math.MaxInt, &proxy.Failure{Verdict: port.NotRun, Code: port.CodeCancelled, Reason: "the job ended"}
	}
	defer r.scores.release(service, limit)
	ctx, cancel := context.WithTimeout(ctx, min(scoreTimeout, route.Timeout))
	defer cancel()
	answer, failure := r.store.config.Proxy.Do(ctx, proxy.Request{
		Request: replicacall.Request{Method: http.MethodPost, Target: scorer.Path, Host: scorer.Host, ID: scorer.ID, Body: scorer.Body},
		Service: service, Route: route.Name, Repeatable: true, MaxAttempts: 1, Owed: true,
		Priority: proxy.PriorityOf(route, nil), Traffic: admission.RewardTraffic,
		AllowedRegions: routing.AllowedRegionsOf(route, nil), DiscardBody: true, // the score is in the header
	})
	return answer, max(1, route.MaxAttempts), failure
}

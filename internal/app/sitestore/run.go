package sitestore

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventstream"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/dialect"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// stallTimeout is how long a run may be silent before the item goes on
	// elsewhere. A load of weights pauses a run for about a second.
	stallTimeout = 2500 * time.Millisecond
	// refusedPause and brokenPause hold a replica back that refused, or broke.
	refusedPause = 60 * time.Millisecond
	brokenPause  = 400 * time.Millisecond
	// scorePause is waited before a failed reward call is sent again.
	scorePause = 50 * time.Millisecond
	// scoreTimeout bounds one reward call from when its turn has come.
	scoreTimeout = 1200 * time.Millisecond
)

// runKind says how a run ended.
type runKind uint8

const (
	runWhole       runKind = iota // the text is whole
	runRefused                    // the replica did not run it
	runBroken                     // the stream broke off; what came is kept
	runFailed                     // an answer of 500
	runHopeless                   // an answer of 422: it can never be done
	runUnfit                      // the replica's weights do not fit the job
	runMoved                      // the replica was slow; the item goes on elsewhere
	runScored                     // the reward call was answered
	runScoreFailed                // the reward call failed for good
)

var runKindNames = [...]string{"whole", "refused", "broken", "failed", "hopeless", "unfit", "moved", "scored", "score failed"}

// String gives the kind as it stands in log lines.
func (k runKind) String() string { return runKindNames[k] }

// runEvent tells the runner's goroutine how a run ended.
type runEvent struct {
	item    *work
	context context.Context
	kind    runKind
	replica string
	reason  string
	score   string
	// version is what the replica served, 0 if it did not say.
	version uint64
	// pause is the mean pause between events.
	pause time.Duration
	// answered is set if the replica answered at all, ended if it closed the connection
	// while it ran the item.
	answered, ended bool
}

func (r *runner) tell(event runEvent) {
	select {
	case r.events <- event:
	case <-event.context.Done():
	}
}

// generate runs an item at a replica until its text is whole or the run ends.
func (r *runner) generate(ctx context.Context, item *work, replica sitestate.Replica) {
	event := r.generateOnce(ctx, item, replica)
	if event.kind == runBroken && item.move.Load() {
		event.kind, event.reason = runMoved, "the replica was silent and another one has room"
	}
	event.item, event.context, event.replica = item, ctx, replica.ID
	r.tell(event)
}

func (r *runner) generateOnce(outer context.Context, item *work, replica sitestate.Replica) runEvent {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	item.setCut(cancel)
	stall := time.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	headers := r.store.config.Dialect.Headers()
	header := http.Header{}
	for _, given := range item.item.Headers {
		if !claimsTenant(given.Name, headers) || item.tenant == "" {
			header[given.Name] = append(header[given.Name], given.Value)
		}
	}
	if item.tenant != "" {
		header.Set(headers.Tenant, item.tenant)
	}
	if last := item.begin(); last != "" {
		header.Set(headers.LastEventID, last)
	}
	response, err := r.replica.Send(ctx, replica, replicacall.Request{
		Method: http.MethodPost, Target: item.item.Path, Host: item.host, ID: item.item.ID, Header: header, Body: item.item.Body, NoDeadline: true,
	})
	if err != nil {
		if port.AsError(err).Verdict == port.NotRun {
			return runEvent{kind: runBroken, reason: "not sent: " + err.Error()}
		}
		return runEvent{kind: runBroken, reason: err.Error(), ended: httpcall.BrokenOff(err)}
	}
	defer func() { _ = response.Body.Close() }()
	if event, final := r.judgeHead(response); final {
		event.answered = true
		return event
	}
	version, err := strconv.ParseUint(response.Header.Get(headers.WeightVersion), 10, 64)
	if err != nil {
		version = replica.VersionOf(item.model)
	}
	if version < item.minVersion {
		return runEvent{kind: runUnfit, version: version, reason: "weights are older than the job allows", answered: true}
	}
	event := r.read(item, response.Body, stall, version)
	event.answered = true
	return event
}

// claimsTenant reports whether a header says whose a request is: what a client puts into
// its items does not.
func claimsTenant(name string, headers dialect.Headers) bool {
	return strings.EqualFold(name, headers.Key) || strings.EqualFold(name, headers.Tenant)
}

// judgeHead ends runs whose answer is no stream.
func (r *runner) judgeHead(response *http.Response) (runEvent, bool) {
	status := response.StatusCode
	if status == http.StatusOK {
		return runEvent{}, false
	}
	reason := "status " + strconv.Itoa(status)
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes))
	switch {
	case r.replica.RefusedAsNotRun(response):
		return runEvent{kind: runRefused, reason: reason}, true
	case status == http.StatusUnprocessableEntity:
		return runEvent{kind: runHopeless, reason: reason}, true
	case status == http.StatusInternalServerError:
		return runEvent{kind: runFailed, reason: reason}, true
	default:
		return runEvent{kind: runBroken, reason: reason}, true
	}
}

const maxRefusalBytes = 16 << 10

// read takes the events of a run in.
func (r *runner) read(item *work, body io.Reader, stall *time.Timer, version uint64) runEvent {
	events := eventstream.NewReader(body, r.store.config.Dialect.Headers().WeightVersion)
	var pauses pauseMeter
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			item.setWhole()
			return runEvent{kind: runWhole, version: version, pause: pauses.mean()}
		}
		if err != nil {
			return runEvent{kind: runBroken, reason: err.Error(), version: version, pause: pauses.mean(), ended: httpcall.BrokenOff(err)}
		}
		stall.Reset(stallTimeout)
		if event.Version != 0 {
			version = event.Version
		}
		now := time.Now()
		pauses.note(now)
		item.progress.show(pauses.pace(), now.Sub(r.base))
		if !item.add(event.Data, event.ID, version) {
			item.startOver()
			return runEvent{kind: runUnfit, version: version, reason: "the weights changed to a version that the job does not take"}
		}
		if item.move.Load() {
			return runEvent{kind: runMoved, version: version, pause: pauses.mean(), reason: "the replica is slow and another one has room"}
		}
	}
}

// score sends the reward call of a whole text until it is answered.
func (r *runner) score(ctx context.Context, item *work) {
	event := runEvent{item: item, context: ctx, kind: runScored}
	if item.item.Scorer != nil {
		event.kind, event.score, event.reason = r.scoreOnce(ctx, item.item.Scorer)
	}
	r.tell(event)
}

func (r *runner) scoreOnce(ctx context.Context, scorer *jobstate.Scorer) (kind runKind, score, reason string) {
	failures := 0
	for {
		pause := scorePause
		answer, attempts, failure := r.sendScorer(ctx, scorer)
		switch {
		case failure != nil: // not answered; it is sent again
			pause = max(pause, failure.RetryAfter)
		case answer.Status/100 == 2:
			return runScored, answer.Header.Get(r.store.config.Dialect.Headers().Signature), ""
		case answer.Status == http.StatusInternalServerError:
			failures++
		}
		if failures >= attempts {
			return runScoreFailed, "", "status " + strconv.Itoa(http.StatusInternalServerError)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return runScoreFailed, "", "the job ended"
		}
	}
}

// sendScorer sends a reward call once, by the route of its host and path, when its turn
// has come. It gives the number of attempts that the route allows.
func (r *runner) sendScorer(ctx context.Context, scorer *jobstate.Scorer) (*proxy.Answer, int, *proxy.Failure) {
	view := r.store.config.Watcher.View()
	route := view.Table.Lookup(scorer.Host, scorer.Path)
	if route == nil {
		return nil, 1, &proxy.Failure{Verdict: port.NotRun, Code: port.CodeNotFound, Reason: "the reward call has no route"}
	}
	service := route.ServiceFor(rand.Uint64())
	most := scoresAtOnce(view, service)
	if err := r.scores.enter(ctx, service, most); err != nil {
		return nil, 1, &proxy.Failure{Verdict: port.NotRun, Code: port.CodeCancelled, Reason: "the job ended"}
	}
	defer r.scores.leave(service, most)
	ctx, cancel := context.WithTimeout(ctx, min(scoreTimeout, route.Timeout))
	defer cancel()
	answer, failure := r.store.config.Proxy.Do(ctx, proxy.Request{
		Request: replicacall.Request{Method: http.MethodPost, Target: scorer.Path, Host: scorer.Host, ID: scorer.ID, Body: scorer.Body},
		Service: service, Route: route.Name, Repeatable: true, MaxAttempts: 1,
		AllowedRegions: routing.AllowedRegionsOf(route, nil),
	})
	return answer, max(1, route.MaxAttempts), failure
}

package front

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/app/held"
	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/dialect"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// unknownAfter is how old a confirmed view may be to deny that a route or a key
	// exists; with an older one the request is refused for now.
	unknownAfter = 1500 * time.Millisecond
	// comeBack is when a refused request is best sent again, on average: replicas that
	// were full are left alone for 20 ms and those that failed for 300 ms at first, and
	// callers' aims begin at 150 ms. comeBackLater is for one that was refused because
	// the site has only just started: a leader and the first view take that long.
	comeBack      = 200 * time.Millisecond
	comeBackLater = 500 * time.Millisecond
	// comeBackSpread is by what part of itself a time to come back varies, so that
	// those who were refused together do not return together.
	comeBackSpread = 0.5
	// defaultBodyBytes bounds a request's body if the configuration does not.
	defaultBodyBytes = 32 << 20
	// deadlineMargin is kept for the answer's way back to the caller.
	deadlineMargin = 5 * time.Millisecond
)

// Config sets a Front up.
type Config struct {
	Dialect dialect.Dialect
	Watcher *siteview.Watcher
	Proxy   *proxy.Proxy
	Jobs    *jobsapi.Client
	Logger  *log.Logger
	// Idle watches the idle connections of the server that serves the front.
	Idle *httpserve.IdleConnections
	// RevokeWithin is how long a front that is out of touch may go by the keys it knows; 0
	// is no bound.
	RevokeWithin time.Duration
	// Held bounds the bodies and pages that the front holds for callers; nil is no bound.
	MemoryBudget *held.Budget
	// Usage counts requests that began to run, by tenant; nil counts nothing.
	Usage *UsageReporter
	// Recorder measures requests; nil measures nothing.
	Recorder Recorder
}

// Recorder measures requests of callers.
type Recorder interface {
	// RequestEnded counts a request that ended in one of the Outcomes.
	RequestEnded(outcome string, took time.Duration)
}

// Outcomes of callers' requests.
const (
	OutcomeAnswered = "answered"
	OutcomeRefused  = "refused"
	OutcomeFailed   = "failed"
	OutcomeLate     = "late"
	OutcomeLeft     = "left"
	// OutcomeWithheld is a refusal because replicas ended under the request.
	OutcomeWithheld = "withheld"
)

// Front serves callers.
type Front struct {
	config   Config
	headers  dialect.Headers
	splits   atomic.Uint64
	draining atomic.Bool
	closing  atomic.Bool
	inFlight atomic.Int64
}

// New makes a Front.
func New(config Config) *Front {
	return &Front{config: config, headers: config.Dialect.Headers()}
}

// Ready reports whether callers should come here: a configuration is known, and
// no planned stop has begun.
func (f *Front) Ready() bool {
	view := f.config.Watcher.View()
	return !f.draining.Load() && view != nil && view.Table != nil
}

// Drain makes the front unready; answers tell callers to close their
// connections.
func (f *Front) Drain() { f.draining.Store(true) }

// AwaitRested waits until no caller may send on a connection that it had open
// before the drain began, or the end of ctx.
func (f *Front) AwaitIdle(ctx context.Context) { f.config.Idle.AwaitIdle(ctx) }

// Close makes the front refuse every further request as not run. It comes right
// before connections are closed: a request that is read while its connection
// closes must not be passed on, as its answer could not be given.
func (f *Front) Close() { f.closing.Store(true) }

// InFlight gives the requests that are being served.
func (f *Front) InFlight() int64 { return f.inFlight.Load() }

// Track counts a request in until the result is called.
func (f *Front) Track(w http.ResponseWriter) func() {
	f.inFlight.Add(1)
	f.config.Idle.Announce(w.Header(), f.draining.Load())
	return func() { f.inFlight.Add(-1) }
}

// ServeHTTP passes a request through, or takes a job.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if f.closing.Load() {
		f.refuse(w, r, "", "the process is stopping")
		return
	}
	view := f.config.Watcher.View()
	if view == nil || view.Table == nil {
		f.refuseFor(w, r, "", "no configuration is known yet", comeBackLater)
		return
	}
	path, _, _ := strings.Cut(target(r), "?")
	route := view.Table.Lookup(r.Host, path)
	if route == nil {
		f.denyRoute(w, r, view)
		return
	}
	caller, ok := f.authorize(w, r, view, route.Public)
	if !ok {
		return
	}
	holding := f.config.MemoryBudget.Open()
	defer holding.Close()
	body, status := f.readBody(r, view.Table.Document().Limits, holding)
	switch status {
	case 0:
	case http.StatusServiceUnavailable:
		f.refuse(w, r, route.Name, "there is no room to hold the request's body")
		return
	default:
		f.answerStatus(w, r, route.Name, status, "the body could not be read")
		return
	}
	if route.Kind == routing.KindJobs {
		f.submit(w, r, route, caller, body)
		return
	}
	f.pass(w, r, route, caller, body, arrived)
}

// target gives a request's path and query as its caller sent them. A caller may
// send the absolute form too (RFC 9112, section 3.2.2).
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// denyRoute answers a request without a route: it does not exist, unless this
// process may have missed a change.
func (f *Front) denyRoute(w http.ResponseWriter, r *http.Request, view *siteview.View) {
	if !f.config.Watcher.ConfirmedWithin(unknownAfter) {
		f.refuse(w, r, "", "no route is known, and the configuration is not confirmed")
		return
	}
	f.config.Logger.Info().Str(eventlog.Field, eventlog.RequestNoRoute).Str("id", r.Header.Get(f.headers.RequestID)).Str("host", r.Host).
		Str("target", target(r)).Uint64("version", view.Table.Version()).Msg("no route for a request")
	http.Error(w, "no route", http.StatusNotFound)
}

// readBody reads the whole body; a status other than 0 is the answer instead.
func (f *Front) readBody(r *http.Request, limits routing.Limits, holding *held.Holding) ([]byte, int) {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil, 0
	}
	body, _, whole, err := held.Read(io.LimitReader(r.Body, limit+1), r.ContentLength, holding)
	switch {
	case !whole:
		return nil, http.StatusServiceUnavailable
	case err != nil:
		return nil, http.StatusBadRequest
	case int64(len(body)) > limit:
		return nil, http.StatusRequestEntityTooLarge
	}
	return body, 0
}

// pass carries a request to a replica and its answer back.
func (f *Front) pass(w http.ResponseWriter, r *http.Request, route *routing.Route, caller Caller, body []byte, arrived time.Time) {
	ctx, cancel := context.WithDeadline(r.Context(), arrived.Add(f.allowed(r, route)))
	defer cancel()
	request := f.request(r, route, caller, body)
	answer, failure := f.config.Proxy.Do(ctx, request)
	if failure != nil {
		if failure.Verdict != port.NotRun {
			f.config.Usage.Note(caller.name(), failure.Began)
		}
		f.record(outcomeOf(r, failure), arrived)
		f.fail(w, r, route, failure)
		return
	}
	defer answer.Release()
	f.config.Usage.Note(caller.name(), answer.Began)
	f.record(OutcomeAnswered, arrived)
	copyHeader(w.Header(), answer.Header)
	switch {
	case answer.Stream != nil && request.Stream:
		f.stream(ctx, w, route, request, answer)
	case answer.Stream != nil:
		f.passUnread(w, answer)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
		w.WriteHeader(answer.Status)
		f.write(w, answer.Body)
	}
}

// request makes what is sent to replicas.
func (f *Front) request(r *http.Request, route *routing.Route, caller Caller, body []byte) proxy.Request {
	header := passedHeader(r.Header)
	f.markTenant(header, caller)
	return proxy.Request{
		Request: replicacall.Request{
			Method: r.Method, Target: target(r), Host: r.Host, ID: r.Header.Get(f.headers.RequestID),
			Header: header, Body: body,
		},
		Service: route.ServiceFor(f.splits.Add(1)), Route: route.Name, Caller: caller.name(),
		Repeatable: route.Repeatable(), MaxAttempts: route.MaxAttempts, Aim: route.Aim,
		AllowedRegions: routing.AllowedRegionsOf(route, caller.tenant),
		Stream:         route.Kind == routing.KindStream,
	}
}

// outcomeOf names a failure for the measures.
func outcomeOf(r *http.Request, failure *proxy.Failure) string {
	switch {
	case r.Context().Err() != nil:
		return OutcomeLeft
	case failure.Code == port.CodeWithheld:
		return OutcomeWithheld
	case failure.Verdict == port.NotRun:
		return OutcomeRefused
	case failure.Code == port.CodeDeadline:
		return OutcomeLate
	default:
		return OutcomeFailed
	}
}

func (f *Front) record(outcome string, arrived time.Time) {
	if f.config.Recorder != nil {
		f.config.Recorder.RequestEnded(outcome, time.Since(arrived))
	}
}

// allowed is how long a request may take: what its caller waits, and no longer
// than its route holds it.
func (f *Front) allowed(r *http.Request, route *routing.Route) time.Duration {
	allowed := route.Timeout
	millis, err := strconv.ParseFloat(r.Header.Get(f.headers.Deadline), 64)
	if err == nil && millis > 0 {
		allowed = min(allowed, time.Duration(millis*float64(time.Millisecond)))
	}
	return max(time.Millisecond, allowed-deadlineMargin)
}

// fail gives a request its final answer.
func (f *Front) fail(w http.ResponseWriter, r *http.Request, route *routing.Route, failure *proxy.Failure) {
	switch {
	case r.Context().Err() != nil:
		panic(http.ErrAbortHandler)
	case failure.Verdict == port.NotRun:
		f.refuseFor(w, r, route.Name, failure.Reason, cmp.Or(failure.RetryAfter, comeBack))
	case failure.Code == port.CodeDeadline:
		f.answerStatus(w, r, route.Name, http.StatusGatewayTimeout, failure.Reason)
	default:
		f.answerStatus(w, r, route.Name, http.StatusBadGateway, failure.Reason)
	}
}

// refuse answers a request that did not run and tells when to come back.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, route, reason string) {
	f.refuseFor(w, r, route, reason, comeBack)
}

func (f *Front) refuseFor(w http.ResponseWriter, r *http.Request, route, reason string, back time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(spread(back, rand.Float64()).Seconds(), 'f', 3, 64))
	f.answerStatus(w, r, route, http.StatusServiceUnavailable, reason)
}

// spread varies a time to come back; draw is in [0, 1).
func spread(back time.Duration, draw float64) time.Duration {
	return time.Duration(float64(back) * (1 - comeBackSpread + 2*comeBackSpread*draw))
}

func (f *Front) answerStatus(w http.ResponseWriter, r *http.Request, route string, status int, reason string) {
	f.config.Logger.Warn().Str(eventlog.Field, eventlog.RequestFailed).Str("id", r.Header.Get(f.headers.RequestID)).Str("route", route).
		Int("status", status).Str("reason", reason).Bool("confirmed", f.config.Watcher.ConfirmedWithin(unknownAfter)).
		Msg("a caller got no answer of a replica")
	http.Error(w, reason, status)
}

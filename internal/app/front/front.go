package front

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/dialect"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// retryDelay is the mean Retry-After of a rejected request. Full replicas are avoided for
	// 20 ms and failed ones for 300 ms at first, and callers' latency targets start at 150 ms.
	// startupRetryDelay is that of a request that arrives before the first view, which needs
	// an elected leader.
	retryDelay        = 200 * time.Millisecond
	startupRetryDelay = 500 * time.Millisecond
	// retryJitter is the fraction by which a Retry-After varies, so that requests that were
	// rejected together are not sent again together.
	retryJitter = 0.5
	// defaultMaxBodyBytes limits a request's body if the configuration does not.
	defaultMaxBodyBytes = 32 << 20
	// maxDiscardBytes limits the length of a body that is read although it is refused, discardTimeout the
	// time that this takes.
	maxDiscardBytes = 64 << 20
	discardTimeout  = 2 * time.Second
	// discardChunkBytes is read at once of such a body.
	discardChunkBytes = 16 << 10
	// deadlineMargin is reserved for sending the response to the caller.
	deadlineMargin = 5 * time.Millisecond
)

// Config configures a Front.
type Config struct {
	Dialect dialect.Dialect
	Watcher *siteview.Watcher
	Proxy   *proxy.Proxy
	Jobs    *jobsapi.Client
	Logger  *log.Logger
	// Idle tracks the connections of the front's server and makes its announcements.
	Idle *httpserve.IdleConnections
	// RevokeWithin is how long a front without a confirmed view accepts the keys it knows;
	// 0 means no limit.
	RevokeWithin time.Duration
	// MemoryBudget limits the memory for bodies and pages of callers; nil means no limit.
	MemoryBudget *membudget.Budget
	// Usage counts started requests by tenant; nil disables counting.
	Usage *UsageReporter
	// Recorder records metrics of requests; nil disables them.
	Recorder Recorder
}

// Recorder records metrics of callers' requests.
type Recorder interface {
	// RequestEnded counts a request that ended with one of the Outcomes.
	RequestEnded(outcome string, took time.Duration)
}

// Outcomes of callers' requests.
const (
	OutcomeAnswered   = "answered"
	OutcomeRejected   = "refused"
	OutcomeFailed     = "failed"
	OutcomeTimedOut   = "late"
	OutcomeCallerGone = "left"
	// OutcomeWithheld is a rejection because replicas crashed while running the request.
	OutcomeWithheld = "withheld"
)

// Front is the HTTP handler of callers' requests.
type Front struct {
	config  Config
	headers dialect.Headers
	splits  atomic.Uint64
	ages    callerAges
	// stop is the planned stop that Drain began, nil before.
	stop    atomic.Pointer[PlannedStop]
	closing atomic.Bool
	// inFlight counts the requests that are being served, arrivedLate those of them that arrived
	// after Drain.
	inFlight, arrivedLate atomic.Int64
	// pageBytes is the memory that is reserved for pages of jobs whose sizes are not known yet.
	pageBytes atomic.Int64
}

// New returns a Front.
func New(config Config) *Front {
	return &Front{config: config, headers: config.Dialect.Headers()}
}

// Ready reports whether the front accepts new callers: it has a configuration, and Drain
// was not called.
func (f *Front) Ready() bool {
	view := f.config.Watcher.View()
	return f.stop.Load() == nil && view != nil && view.Table != nil
}

// InFlight returns the number of requests that are being served.
func (f *Front) InFlight() int64 { return f.inFlight.Load() }

// Track counts a request as in flight until the returned function is called.
func (f *Front) Track() func() {
	late := f.stop.Load() != nil
	f.inFlight.Add(1)
	if late {
		f.arrivedLate.Add(1)
	}
	return func() {
		f.inFlight.Add(-1)
		if late {
			f.arrivedLate.Add(-1)
		}
	}
}

// ServeHTTP forwards a request to a replica, or submits it as a job.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if f.closing.Load() {
		f.reject(w, r, "", proxy.ErrStopping.Error())
		return
	}
	view := f.config.Watcher.View()
	if view == nil || view.Table == nil {
		f.rejectWithDelay(w, r, "", "no configuration is known yet", startupRetryDelay)
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
	reservation := f.config.MemoryBudget.NewReservation()
	defer reservation.Close()
	body, status := f.readBody(r, view.Table.Document().Limits, reservation)
	switch status {
	case 0:
	case http.StatusServiceUnavailable:
		f.reject(w, r, route.Name, "the memory budget has no space for the request's body")
		return
	case http.StatusRequestEntityTooLarge:
		f.deny(w, r, view, route.Name, status, "the body is larger than the configuration allows")
		return
	case http.StatusRequestTimeout:
		f.writeError(w, r, route.Name, status, "the body did not arrive in time")
		return
	default:
		f.writeError(w, r, route.Name, status, "the body could not be read")
		return
	}
	if route.Kind == routing.KindJobs {
		f.submit(w, r, view, route, caller, body, reservation)
		return
	}
	f.forward(w, r, route, caller, body, arrived)
}

// target returns a request's path and query as its caller sent them. A caller may
// send the absolute form too (RFC 9112, section 3.2.2).
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// denyRoute rejects a request without a route: with 404, or with 503 if the view is too
// old to rule out that the route was added since.
func (f *Front) denyRoute(w http.ResponseWriter, r *http.Request, view *siteview.View) {
	if !f.config.Watcher.IsCurrent(view.Table) {
		f.reject(w, r, "", "no route is known, and the configuration is not confirmed")
		return
	}
	f.config.Logger.Info().Str(eventlog.Field, eventlog.RequestNoRoute).Str("id", r.Header.Get(f.headers.RequestID)).Str("host", r.Host).
		Str("target", target(r)).Uint64("version", view.Table.Version()).Msg("no route for a request")
	http.Error(w, "no route", http.StatusNotFound)
}

// deny responds with a status that ends the caller's attempts, or with 503 if the view by which the
// request is denied is too old to rule out that the configuration allows the request by now.
func (f *Front) deny(w http.ResponseWriter, r *http.Request, view *siteview.View, route string, status int, reason string) {
	if !f.config.Watcher.IsCurrent(view.Table) {
		f.reject(w, r, route, reason+", and the configuration is not confirmed")
		return
	}
	f.writeError(w, r, route, status, reason)
}

// Limits returns the limits of the configuration for the server of the front; readBody applies that of
// bodies. A field is zero where the configuration has no limit, or while there is no configuration.
func (f *Front) Limits() httpserve.Limits {
	view := f.config.Watcher.View()
	if view == nil || view.Table == nil {
		return httpserve.Limits{}
	}
	limits := view.Table.Document().Limits
	return httpserve.Limits{HeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// readBody reads the complete body. A status other than 0 is the error to respond with.
func (f *Front) readBody(r *http.Request, limits routing.Limits, reservation *membudget.Reservation) ([]byte, int) {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		discardBody(r)
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil, 0
	}
	body, _, complete, err := membudget.Read(io.LimitReader(r.Body, limit+1), r.ContentLength, reservation)
	switch {
	case !complete:
		return nil, http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case err != nil:
		return nil, http.StatusBadRequest
	case int64(len(body)) > limit:
		return nil, http.StatusRequestEntityTooLarge
	}
	return body, 0
}

// discardBody reads a body that is refused, for discardTimeout at most and if its announced length is at
// most maxDiscardBytes. A client that is still sending its body when the connection closes sees a reset
// instead of the response.
func discardBody(r *http.Request) {
	if r.ContentLength > maxDiscardBytes || r.Header.Get("Expect") != "" { // such a client sends nothing before a response
		return
	}
	buf := make([]byte, discardChunkBytes)
	for end := time.Now().Add(discardTimeout); time.Now().Before(end); {
		if _, err := r.Body.Read(buf); err != nil {
			return
		}
	}
}

// forward sends a request to a replica and writes the replica's response.
func (f *Front) forward(w http.ResponseWriter, r *http.Request, route *routing.Route, caller Caller, body []byte, arrived time.Time) {
	deadline, request := arrived.Add(f.timeout(r, route)), f.newRequest(r, route, caller, body)
	if !f.mayForward(route, request.Service, deadline) {
		f.reject(w, r, route.Name, proxy.ErrStopping.Error())
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	request.Age = f.ages.observe(route, arrived, f.patience(r))
	request.MaySend = func() bool { return f.maySend(route, request.Service, deadline) }
	answer, failure := f.config.Proxy.Do(ctx, request)
	if failure != nil {
		if failure.Verdict != port.NotRun {
			f.config.Usage.Add(caller.name(), failure.ArrivedAt)
		}
		f.record(outcomeOf(r, failure), arrived)
		f.writeFailure(w, r, route, failure)
		return
	}
	defer answer.Release()
	f.config.Usage.Add(caller.name(), answer.SentAt)
	f.record(OutcomeAnswered, arrived)
	copyHeader(w.Header(), answer.Header)
	switch {
	case answer.Stream != nil && request.Stream:
		f.stream(ctx, w, route, request, answer)
	case answer.Stream != nil:
		f.forwardUnbuffered(w, answer)
	case r.Method == http.MethodHead:
		if answer.Length >= 0 {
			w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
		}
		w.WriteHeader(answer.Status)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
		w.WriteHeader(answer.Status)
		f.write(w, answer.Body)
	}
}

// newRequest returns the request to send to replicas.
func (f *Front) newRequest(r *http.Request, route *routing.Route, caller Caller, body []byte) proxy.Request {
	header := endToEndHeader(r.Header)
	f.setTenantHeader(header, caller)
	return proxy.Request{
		Request: replicacall.Request{
			Method: r.Method, Target: target(r), Host: r.Host, ID: r.Header.Get(f.headers.RequestID),
			Header: header, Body: body,
		},
		Service: route.ServiceFor(f.splits.Add(1)), Route: route.Name, Caller: caller.name(), Priority: proxy.PriorityOf(route, caller.tenant),
		Repeatable: route.Repeatable(), MaxAttempts: route.MaxAttempts, Aim: route.Aim,
		AllowedRegions: routing.AllowedRegionsOf(route, caller.tenant),
		Stream:         route.Kind == routing.KindStream,
	}
}

// outcomeOf returns the outcome of a failed request for the Recorder.
func outcomeOf(r *http.Request, failure *proxy.Failure) string {
	switch {
	case callerGone(r):
		return OutcomeCallerGone
	case failure.Code == port.CodeWithheld:
		return OutcomeWithheld
	case failure.Verdict == port.NotRun:
		return OutcomeRejected
	case failure.Code == port.CodeDeadline:
		return OutcomeTimedOut
	default:
		return OutcomeFailed
	}
}

// callerGone reports whether the caller closed its connection.
func callerGone(r *http.Request) bool {
	return r.Context().Err() != nil && !errors.Is(context.Cause(r.Context()), proxy.ErrStopping)
}

func (f *Front) record(outcome string, arrived time.Time) {
	if f.config.Recorder != nil {
		f.config.Recorder.RequestEnded(outcome, time.Since(arrived))
	}
}

// timeout returns how long a request may take: the caller's deadline, but at most the
// timeout of its route.
func (f *Front) timeout(r *http.Request, route *routing.Route) time.Duration {
	timeout := route.Timeout
	if patience := f.patience(r); patience > 0 {
		timeout = min(timeout, patience)
	}
	return max(time.Millisecond, timeout-deadlineMargin)
}

// writeFailure writes the response to a failed request.
func (f *Front) writeFailure(w http.ResponseWriter, r *http.Request, route *routing.Route, failure *proxy.Failure) {
	switch {
	case callerGone(r):
		panic(http.ErrAbortHandler)
	case failure.Verdict == port.NotRun:
		f.rejectWithDelay(w, r, route.Name, failure.Reason, cmp.Or(failure.RetryAfter, retryDelay))
	case failure.Code == port.CodeDeadline:
		f.writeError(w, r, route.Name, http.StatusGatewayTimeout, failure.Reason)
	default:
		f.writeError(w, r, route.Name, http.StatusBadGateway, failure.Reason)
	}
}

// reject responds to a request that did not run, with a Retry-After of retryDelay on
// average.
func (f *Front) reject(w http.ResponseWriter, r *http.Request, route, reason string) {
	f.rejectWithDelay(w, r, route, reason, retryDelay)
}

func (f *Front) rejectWithDelay(w http.ResponseWriter, r *http.Request, route, reason string, delay time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(jitter(delay, rand.Float64()).Seconds(), 'f', 3, 64))
	f.writeError(w, r, route, http.StatusServiceUnavailable, reason)
}

// jitter varies a delay by up to retryJitter; draw is in [0, 1).
func jitter(delay time.Duration, draw float64) time.Duration {
	return time.Duration(float64(delay) * (1 - retryJitter + 2*retryJitter*draw))
}

func (f *Front) writeError(w http.ResponseWriter, r *http.Request, route string, status int, reason string) {
	f.config.Logger.Warn().Str(eventlog.Field, eventlog.RequestFailed).Str("id", r.Header.Get(f.headers.RequestID)).Str("route", route).
		Int("status", status).Str("reason", reason).Bool("confirmed", f.config.Watcher.IsConfirmed()).
		Msg("the front answered a request with an error")
	http.Error(w, reason, status)
}

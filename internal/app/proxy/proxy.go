package proxy

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/app/guard"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/balance"
	"github.com/loomgrade/loomgrade/internal/core/coldlimit"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/dialect"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Proxy sends requests to replicas. It is safe for concurrent use.
type Proxy struct {
	client  *replicacall.Client
	headers dialect.Headers
	// readLoad parses the load that a replica reports.
	readLoad func(value string) (balance.Load, bool)
	view     func() *siteview.View
	logger   *log.Logger
	guard    *guard.Guard
	clock    boottime.Clock

	memoryBudget *membudget.Budget
	// sender and cold determine how many requests this process may send to cold replicas.
	sender string
	cold   coldlimit.Limits

	mutex    sync.Mutex
	balancer *balance.Balancer
	// connections counts the connections to replicas.
	connections connections
	// windows count recent sends to replicas of services that limit requests to cold ones.
	windows map[string]*coldlimit.Window

	// limits are the send limits of the services, nil if sends are not limited.
	limits   *sendLimits
	recorder Recorder
}

// Config configures a Proxy.
type Config struct {
	Dialect dialect.Dialect
	// View returns the current view of the site, or nil.
	View   func() *siteview.View
	Logger *log.Logger
	// Connections limits the connections to one replica; 0 means no limit of the proxy's own.
	Connections int
	// MemoryBudget limits the memory for answers; nil means no limit.
	MemoryBudget *membudget.Budget
	// Sender identifies the process among the senders. Cold is the tolerance of the limits
	// of cold replicas; each service sets its own rate.
	Sender string
	Cold   coldlimit.Limits
	// Guard withholds requests that crash replicas; nil withholds none.
	Guard *guard.Guard
	// Clock also counts suspended time; nil means the machine's clock.
	Clock boottime.Clock
	// LimitSends limits the rate of requests to a service whose replicas are overloaded, and
	// the further tries after refusals and failures.
	LimitSends bool
	// Recorder records metrics of limited sends; nil disables them.
	Recorder Recorder
}

// New returns a Proxy.
func New(config Config) *Proxy {
	p := &Proxy{
		client: replicacall.New(config.Dialect, config.Connections), headers: config.Dialect.Headers(), readLoad: config.Dialect.ReadLoad,
		view: config.View, logger: config.Logger, guard: config.Guard, clock: config.Clock.OrSystem(), balancer: balance.New(), connections: newConnections(config.Connections),
		memoryBudget: config.MemoryBudget, sender: config.Sender, cold: config.Cold, windows: map[string]*coldlimit.Window{},
		recorder: config.Recorder,
	}
	if p.recorder == nil {
		p.recorder = noRecorder{}
	}
	if config.LimitSends {
		p.limits = newSendLimits(p.clock, p.view)
	}
	return p
}

// Close refuses the requests that wait for a send limit, and later requests to limited
// services, as not run. Requests that were sent go on.
func (p *Proxy) Close() { p.limits.close() }

// SendReading sums the send limits of all services.
type SendReading struct {
	// Rate is the sum of the limits in force, in requests per second; 0 if there is none.
	Rate float64
	// Waiting is the number of waiting requests.
	Waiting int
}

// SendReading returns the current send limits.
func (p *Proxy) SendReading() SendReading {
	var reading SendReading
	for _, limit := range p.limits.all() {
		status := limit.status()
		reading.Rate += status.Rate
		reading.Waiting += status.Waiting
	}
	return reading
}

// Request is a request to a service.
type Request struct {
	replicacall.Request
	Service string
	Route   string
	// Caller is the tenant that sends the request, or "".
	Caller string
	// Priority and Traffic are used by the send limit of the service.
	Priority port.Priority
	Traffic  admission.Traffic
	// Age is how long ago the caller sent its first attempt; Aim counts from then.
	Age time.Duration
	// Repeatable requests may run more than once, on MaxAttempts replicas in all.
	Repeatable  bool
	MaxAttempts int
	// Aim is the latency that the caller aims for; 0 means none.
	Aim time.Duration
	// AllowedRegions are the regions in which the request may be served.
	AllowedRegions routing.AllowedRegions
	// Stream returns a successful answer once its header is received, with its body unread.
	Stream bool
	// Owed requests belong to accepted work. The guard neither withholds them nor counts the
	// crashes during them; their sender limits the rate of their retries.
	Owed bool
	// DiscardBody reads the answer's body to its end without keeping it.
	DiscardBody bool
	// MaySend, if set, reports before each try whether the request may be sent now. It must not block.
	MaySend func() bool
}

// fingerprint returns a hash that is the same for equivalent requests.
func (r *Request) fingerprint() quarantine.Fingerprint { return r.identity().Fingerprint() }

func (r *Request) identity() *quarantine.Request {
	return &quarantine.Request{Caller: r.Caller, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body}
}

// Answer is a replica's response. Call Release once it is forwarded.
type Answer struct {
	Status int
	Header http.Header
	// Body is the complete body. Stream is set instead for a streamed answer and for one
	// that exceeds the memory budget; its body must be closed.
	Body   []byte
	Stream *http.Response
	// Length is the length that the replica announced, -1 if none. No body follows it if the request
	// is a HEAD.
	Length      int64
	reservation *membudget.Reservation
	Replica     sitestate.Replica
	// SentAt is when the answered try was sent, by the proxy's clock.
	SentAt time.Duration
}

// Release releases the memory of the answer's body.
func (a *Answer) Release() { a.reservation.Close() }

// Failure describes a request without an answer.
type Failure struct {
	Verdict port.Verdict
	Code    port.Code
	Reason  string
	// ArrivedAt is when the request arrived at the proxy, by the proxy's clock.
	ArrivedAt time.Duration
	// RetryAfter is when a retry may succeed, 0 if unknown.
	RetryAfter time.Duration
	// Refusal is why the send limit refused the request; "" for any other failure.
	Refusal admission.Reason
	// Crashed is set if a replica closed the connection while running the request.
	Crashed bool
}

// Error implements error.
func (f *Failure) Error() string {
	return string(f.Code) + " (" + f.Verdict.String() + "): " + f.Reason
}

// Do sends a request and returns its answer. It returns immediately when ctx ends.
func (p *Proxy) Do(ctx context.Context, request Request) (*Answer, *Failure) {
	ctx, cancel := context.WithCancel(ctx)
	run := &exchange{
		proxy: p, request: request, ctx: ctx, cancel: cancel, startedAt: time.Now(),
		tried: map[string]bool{}, results: make(chan result, maxTries), reservation: p.memoryBudget.NewReservation(),
		limit: p.limits.of(request.Service), guard: p.guard,
	}
	if request.Owed {
		run.guard = nil
	}
	run.arrivedAt = p.clock()
	if deadline, limited := ctx.Deadline(); limited {
		run.expiresAt = run.arrivedAt + time.Until(deadline)
	}
	answer, failure := run.do()
	if answer == nil {
		run.reservation.Close()
	}
	if answer == nil || answer.Stream == nil {
		cancel()
	} else {
		answer.Stream.Body = &streamBody{ReadCloser: answer.Stream.Body, run: run, replica: answer.Replica.ID}
	}
	run.log(answer, failure)
	return answer, failure
}

// picked is the result of pick. Without a replica, the request waits if waiter is set, and
// cannot be sent now otherwise.
type picked struct {
	replica *sitestate.Replica
	waiter  *connectionWaiter
	// crowded is set if so many requests wait that this one would be answered late.
	crowded bool
}

// pick chooses a replica that was not tried yet, or any if all were, but none that is excluded.
// It acquires a connection to the replica. If the connections to all suitable replicas are in use,
// the request waits for one if it may; before is its earlier wait, if any, which ends.
func (p *Proxy) pick(request *Request, tried, excluded map[string]bool, before *connectionWaiter, mayWait bool) picked {
	now := time.Now()
	eligible := p.candidates(request, now).replicas
	if len(excluded) > 0 {
		eligible = slices.DeleteFunc(eligible, func(replica *sitestate.Replica) bool { return excluded[replica.ID] })
	}
	untried := make([]*sitestate.Replica, 0, len(eligible))
	ids := make([]string, 0, len(eligible))
	for _, replica := range eligible {
		if !tried[replica.ID] {
			untried = append(untried, replica)
			ids = append(ids, replica.ID)
		}
	}
	if len(untried) == 0 {
		untried = eligible
		for _, replica := range eligible {
			ids = append(ids, replica.ID)
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.connections.remove(before)
	chosen := p.balancer.Pick(request.Service, ids, now, rand.Float64())
	if chosen < 0 {
		p.connections.pass(before)
		return picked{}
	}
	if p.connections.full(untried[chosen].Address) {
		if chosen = p.pickFree(request.Service, untried, now); chosen < 0 {
			if !mayWait {
				return picked{}
			}
			if before == nil && p.isCrowded(request, len(untried)) {
				return picked{crowded: true}
			}
			w := p.connections.wait(request.Service, addressesOf(untried), before)
			time.AfterFunc(connectionRecheck, func() { p.recheckConnections(w) })
			return picked{waiter: w}
		}
	}
	p.balancer.Begin(ids[chosen])
	p.connections.acquire(untried[chosen].Address)
	if before != nil && before.freed != untried[chosen].Address {
		p.connections.pass(before)
	}
	p.recordSent(request.Service, ids[chosen], now)
	return picked{replica: untried[chosen]}
}

// isCrowded reports whether a request to a limited service would wait for a connection until it
// is late. The caller must hold p.mutex.
func (p *Proxy) isCrowded(request *Request, replicas int) bool {
	aim := request.remainingAim()
	if p.limits == nil || aim == 0 {
		return false
	}
	latency := p.balancer.Latency(request.Service)
	return p.connections.expectedWait(request.Service, replicas, latency) > aim
}

// pickFree chooses a replica with a free connection that is not avoided after a failure. The
// caller must hold p.mutex.
func (p *Proxy) pickFree(service string, replicas []*sitestate.Replica, now time.Time) int {
	var free []int
	var ids []string
	for i, replica := range replicas {
		if !p.connections.full(replica.Address) && !p.balancer.Blocked(replica.ID, now) {
			free, ids = append(free, i), append(ids, replica.ID)
		}
	}
	chosen := p.balancer.Pick(service, ids, now, rand.Float64())
	if chosen < 0 {
		return -1
	}
	return free[chosen]
}

func addressesOf(replicas []*sitestate.Replica) []string {
	addresses := make([]string, len(replicas))
	for i, replica := range replicas {
		addresses[i] = replica.Address
	}
	return addresses
}

// releaseConnection frees a connection that a try used.
func (p *Proxy) releaseConnection(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.connections.release(address)
}

// recheckConnections wakes a request that still waits for a connection.
func (p *Proxy) recheckConnections(w *connectionWaiter) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connections.remove(w) {
		close(w.ready)
	}
}

// leaveConnections ends the wait of a request for a connection.
func (p *Proxy) leaveConnections(w *connectionWaiter) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.connections.remove(w)
	p.connections.pass(w)
}

// noReplicaReason returns why there is no replica to send to, and when there may be one
// again, 0 if unknown.
func (p *Proxy) noReplicaReason(request *Request) (reason string, retryAfter time.Duration) {
	if remaining := p.candidates(request, time.Now()).coldRemaining; remaining > 0 {
		return "the replicas of the service are cold, and this process has no share of their requests now", remaining
	}
	if request.AllowedRegions.Restricted() {
		return "no replica of the service is known in the regions where the request may be served: " + request.AllowedRegions.String(), 0
	}
	if view := p.view(); view != nil && len(view.Drained) > 0 {
		return "no replica of the service is known outside the zones that are drained: " + strings.Join(view.Drained, ", "), 0
	}
	return "no replica of the service is known", 0
}

// Latency returns the mean latency of a service's answers, 0 before the first.
func (p *Proxy) Latency(service string) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.balancer.Latency(service)
}

func (p *Proxy) finishTry(service, id string, outcome balance.Result, took time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.balancer.End(service, id, outcome, took, time.Now())
}

// recordLoad records the load that a replica reports in an answer's header. It ignores a
// value that it can't parse.
func (p *Proxy) recordLoad(id string, header http.Header) {
	if p.headers.Load == "" {
		return
	}
	value := header.Get(p.headers.Load)
	if value == "" {
		return
	}
	load, ok := p.readLoad(value)
	if !ok {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.balancer.RecordLoad(id, load, time.Now())
}

// Observe applies a new view: it drops the state of replicas that were removed.
func (p *Proxy) Observe(view *siteview.View) {
	p.guard.Observe(view)
	p.limits.observe(view)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.balancer.Retain(view.Replicas.Has)
	p.connections.wakeAll()
	maps.DeleteFunc(p.windows, func(id string, _ *coldlimit.Window) bool { return !view.Replicas.Has(id) })
}

// hedgeAfter returns how long to wait for the first try of a request before sending a
// second one.
func (p *Proxy) hedgeAfter(request Request) time.Duration {
	wait := max(minHedgeDelay, hedgeLatencyFactor*p.Latency(request.Service))
	if request.Aim > 0 {
		wait = min(wait, max(minHedgeDelay, time.Duration(hedgeAimShare*float64(request.Aim))))
	}
	return wait
}

const (
	hedgeLatencyFactor = 4
	minHedgeDelay      = 40 * time.Millisecond
	hedgeAimShare      = 0.6
)

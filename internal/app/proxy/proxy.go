package proxy

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/app/guard"
	"github.com/loomgrade/loomgrade/internal/app/held"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
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
	// readLoad reads what a replica says of its load.
	readLoad func(value string) (balance.Load, bool)
	view     func() *siteview.View
	logger   *log.Logger
	guard    *guard.Guard
	clock    boottime.Clock

	held *held.Budget
	// sender and cold say what this process may send cold replicas.
	sender string
	cold   coldlimit.Limits

	mutex    sync.Mutex
	balancer *balance.Balancer
	// windows are what was sent to replicas lately, where cold ones bear little.
	windows map[string]*coldlimit.Window
}

// Config sets a Proxy up.
type Config struct {
	Dialect dialect.Dialect
	// View gives what is known of replicas, or nil.
	View   func() *siteview.View
	Logger *log.Logger
	// Connections bounds the connections to one replica.
	Connections int
	// Held bounds the answers that the process holds; nil is no bound.
	MemoryBudget *held.Budget
	// Sender names the process among those that send to replicas, and Cold is what its cold
	// replicas bear beyond their service's rate.
	Sender string
	Cold   coldlimit.Limits
	// Guard withholds requests under which replicas end; nil withholds none.
	Guard *guard.Guard
	// Clock also counts suspended time; nil is that of the machine.
	Clock boottime.Clock
}

// New makes a Proxy.
func New(config Config) *Proxy {
	return &Proxy{
		client: replicacall.New(config.Dialect, config.Connections), headers: config.Dialect.Headers(), readLoad: config.Dialect.ReadLoad,
		view: config.View, logger: config.Logger, guard: config.Guard, clock: config.Clock.OrSystem(), balancer: balance.New(),
		held: config.MemoryBudget, sender: config.Sender, cold: config.Cold, windows: map[string]*coldlimit.Window{},
	}
}

// Request is a request to a service.
type Request struct {
	replicacall.Request
	Service string
	Route   string
	// Caller is the tenant whose request it is, empty for nobody's.
	Caller string
	// Repeatable requests may run more than once, on MaxAttempts replicas in all.
	Repeatable  bool
	MaxAttempts int
	// Aim is the time within which an answer is worth most; 0 is none.
	Aim time.Duration
	// Homes are the regions in which it may be served.
	AllowedRegions routing.AllowedRegions
	// Stream hands the answer over with its head, its body unread.
	Stream bool
}

// fingerprint is the same for requests that ask for the same.
func (r *Request) fingerprint() quarantine.Fingerprint { return r.identity().Fingerprint() }

func (r *Request) identity() *quarantine.Request {
	return &quarantine.Request{Caller: r.Caller, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body}
}

// Answer is a replica's answer. Release must follow once it is handed on.
type Answer struct {
	Status int
	Header http.Header
	// Body is the whole body; Stream is set instead for a streamed answer, and for one that
	// there is no room to hold, and must be closed.
	Body    []byte
	Stream  *http.Response
	holding *held.Holding
	Replica sitestate.Replica
	// Began is when the try that it answers was sent, by the proxy's clock.
	Began time.Duration
}

// Release lets go of the answer's body.
func (a *Answer) Release() { a.holding.Close() }

// Failure is a request that got no answer.
type Failure struct {
	Verdict port.Verdict
	Code    port.Code
	Reason  string
	// Began is when the request came to the proxy, right before its first try, by the
	// proxy's clock.
	Began time.Duration
	// RetryAfter is when another try may be worth it, 0 if nothing is known of that.
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string {
	return string(f.Code) + " (" + f.Verdict.String() + "): " + f.Reason
}

// Do carries a request. It ends at once when the context does.
func (p *Proxy) Do(ctx context.Context, request Request) (*Answer, *Failure) {
	ctx, cancel := context.WithCancel(ctx)
	run := &exchange{
		proxy: p, request: request, ctx: ctx, cancel: cancel, began: time.Now(),
		tried: map[string]bool{}, results: make(chan result, maxTries), holding: p.held.Open(),
	}
	run.came = p.clock()
	if deadline, limited := ctx.Deadline(); limited {
		run.expires = run.came + time.Until(deadline)
	}
	answer, failure := run.do()
	if answer == nil {
		run.holding.Close()
	}
	if answer == nil || answer.Stream == nil {
		cancel()
	} else {
		framed := answer.Stream.ContentLength >= 0 || len(answer.Stream.TransferEncoding) > 0
		answer.Stream.Body = &streamBody{ReadCloser: answer.Stream.Body, run: run, replica: answer.Replica.ID, framed: framed}
	}
	run.log(answer, failure)
	return answer, failure
}

// pick chooses a replica that was not tried, or any if all were.
func (p *Proxy) pick(request *Request, tried map[string]bool) (sitestate.Replica, bool) {
	now := time.Now()
	open := p.candidates(request, now).replicas
	fresh := make([]*sitestate.Replica, 0, len(open))
	ids := make([]string, 0, len(open))
	for _, replica := range open {
		if !tried[replica.ID] {
			fresh = append(fresh, replica)
			ids = append(ids, replica.ID)
		}
	}
	if len(fresh) == 0 {
		fresh = open
		for _, replica := range open {
			ids = append(ids, replica.ID)
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	chosen := p.balancer.Pick(request.Service, ids, now, rand.Float64())
	if chosen < 0 {
		return sitestate.Replica{}, false
	}
	p.balancer.Begin(ids[chosen])
	p.noteSent(request.Service, ids[chosen], now)
	return *fresh[chosen], true
}

// whyNone says why there is no replica to send to, and when there may be one again, 0 if
// nothing is known of that.
func (p *Proxy) whyNone(request *Request) (reason string, retryAfter time.Duration) {
	if left := p.candidates(request, time.Now()).coldLeft; left > 0 {
		return "the replicas of the service are cold, and this process has no share of what they bear", left
	}
	if request.AllowedRegions.Restricted() {
		return "no replica of the service is known in the regions where the request may be served: " + request.AllowedRegions.String(), 0
	}
	if view := p.view(); view != nil && len(view.Drained) > 0 {
		return "no replica of the service is known outside the zones that are drained: " + strings.Join(view.Drained, ", "), 0
	}
	return "no replica of the service is known", 0
}

func (p *Proxy) end(service, id string, outcome balance.Result, took time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.balancer.End(service, id, outcome, took, time.Now())
}

// noteLoad takes in what a replica says of its load with an answer. What cannot be read says
// nothing.
func (p *Proxy) noteLoad(id string, header http.Header) {
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

// Observe takes a new view in: what is known of replicas that are gone is dropped.
func (p *Proxy) Observe(view *siteview.View) {
	p.guard.Observe(view)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.balancer.Retain(view.Replicas.Has)
	maps.DeleteFunc(p.windows, func(id string, _ *coldlimit.Window) bool { return !view.Replicas.Has(id) })
}

// hedgeAfter is how long the first try of a repeatable request is waited for
// before a second one is sent beside it.
func (p *Proxy) hedgeAfter(request Request) time.Duration {
	p.mutex.Lock()
	usual := p.balancer.Latency(request.Service)
	p.mutex.Unlock()
	wait := max(leastHedge, hedgeFactor*usual)
	if request.Aim > 0 {
		wait = min(wait, max(leastHedge, time.Duration(hedgeAimShare*float64(request.Aim))))
	}
	return wait
}

const (
	hedgeFactor   = 4
	leastHedge    = 40 * time.Millisecond
	hedgeAimShare = 0.6
)

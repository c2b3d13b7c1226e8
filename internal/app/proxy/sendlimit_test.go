package proxy

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// fakeLimiter permits as many requests as allowed says and records what it is told.
type fakeLimiter struct {
	*admission.Queue[*waiter]
	allowed        int
	refusal        *port.Error
	wakeAt         time.Time
	slots, senders int
	results        []admission.TryResult
	offered        []admission.Item[*waiter]
	aims           []time.Duration
	ignoreExpiry   bool
}

func (f *fakeLimiter) SetCapacity(slots, senders int) { f.slots, f.senders = slots, senders }
func (f *fakeLimiter) WakeAt(time.Time) time.Time     { return f.wakeAt }
func (f *fakeLimiter) Status() admission.SendStatus {
	return admission.SendStatus{Rate: 20, Waiting: f.Len()}
}
func (f *fakeLimiter) Observe(_ time.Time, result admission.TryResult) {
	f.results = append(f.results, result)
}

func (f *fakeLimiter) Offer(now time.Time, item admission.Item[*waiter], aim time.Duration) *port.Error {
	if f.refusal != nil {
		return f.refusal
	}
	f.offered, f.aims = append(f.offered, item), append(f.aims, aim)
	if f.ignoreExpiry {
		item.Deadline = time.Time{}
	}
	return f.Queue.Offer(now, item)
}

func (f *fakeLimiter) Next(now time.Time) (admission.Item[*waiter], bool) {
	if f.allowed == 0 {
		return admission.Item[*waiter]{}, false
	}
	item, found := f.Queue.Next(now)
	if found {
		f.allowed--
	}
	return item, found
}

// countingRecorder counts refusals by reason; refused further tries count as "retry".
type countingRecorder struct {
	mutex  sync.Mutex
	counts map[string]int
}

func (c *countingRecorder) SendRefused(reason string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts[reason]++
}

func (c *countingRecorder) RetryRefused() { c.SendRefused("retry") }

// limitedSite is a proxy whose service "s" has replicas that all answer by one handler.
type limitedSite struct {
	*Proxy
	limiter   *fakeLimiter
	recorder  *countingRecorder
	suspended atomic.Int64
	// arrivals counts the requests that reached each replica.
	mutex    sync.Mutex
	arrivals map[string]int
	serve    func(replica string, w http.ResponseWriter)
}

// answer is the handler of a replica that runs the request.
func answer(_ string, w http.ResponseWriter) {
	w.Header().Set(testDialect{}.Headers().Signature, "seal")
}

// refuse is the handler of a full replica.
func refuse(_ string, w http.ResponseWriter) {
	w.Header().Set(testDialect{}.Headers().NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// newLimitedSite returns a site whose proxy has a fakeLimiter that permits every request. The
// proxy's clock stands still, but for suspended.
func newLimitedSite(t *testing.T, replicas int, serve func(replica string, w http.ResponseWriter)) *limitedSite {
	t.Helper()
	s := &limitedSite{arrivals: map[string]int{}, serve: serve, recorder: &countingRecorder{counts: map[string]int{}}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		replica := r.Header.Get(testDialect{}.Headers().ExpectedInstance)
		s.mutex.Lock()
		s.arrivals[replica]++
		s.mutex.Unlock()
		w.Header().Set(testDialect{}.Headers().RequestID, r.Header.Get(testDialect{}.Headers().RequestID))
		s.serve(replica, w)
	}))
	t.Cleanup(server.Close)
	var listed []sitestate.Replica
	for i := range replicas {
		listed = append(listed, sitestate.Replica{ID: fmt.Sprint("i-", i), Address: server.Listener.Addr().String(), Slots: 6})
	}
	view := &siteview.View{View: &sitestate.View{Senders: 4, ByService: map[string]sitestate.ReplicaList{"s": sitestate.ListOf(listed...)}}}
	s.Proxy = New(Config{
		Dialect: testDialect{}, Connections: 100, View: func() *siteview.View { return view }, LimitSends: true, Recorder: s.recorder,
		Logger: &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
		Clock:  func() time.Duration { return time.Hour + time.Duration(s.suspended.Load()) },
	})
	s.limiter = &fakeLimiter{Queue: admission.NewQueue[*waiter](admission.Config{Length: 1000}), allowed: 1 << 30}
	s.limits.newLimiter = func(time.Time) sendLimiter { return s.limiter }
	return s
}

// counts returns the number of requests that reached each replica.
func (s *limitedSite) counts() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.arrivals)
}

func (s *limitedSite) total() int {
	total := 0
	for _, count := range s.counts() {
		total += count
	}
	return total
}

// change changes the limiter and lets the proxy act on it.
func (s *limitedSite) change(change func(*fakeLimiter)) {
	limit := s.limits.of("s")
	limit.mutex.Lock()
	change(s.limiter)
	limit.mutex.Unlock()
	limit.wake()
}

func (s *limitedSite) waiting() (count int) {
	s.change(func(f *fakeLimiter) { count = f.Len() })
	return count
}

// requestTo returns a request that is sent again only if it has not run.
func requestTo(id string) Request {
	return Request{
		Request: replicacall.Request{Method: http.MethodPost, Target: "/x", Host: "h", ID: id},
		Service: "s", MaxAttempts: 2, Caller: "t", Aim: 10 * time.Second,
	}
}

// repeatableRequest is a request that is also hedged, and retried after failures.
func repeatableRequest() Request {
	request := requestTo("1")
	request.Repeatable = true
	return request
}

// start sends a request in the background and returns once it waits for the limit, or has ended.
func (s *limitedSite) start(ctx context.Context, request Request) <-chan *Failure {
	before := s.waiting()
	ended := make(chan *Failure, 1)
	go func() {
		_, failure := s.Do(ctx, request)
		ended <- failure
	}()
	for s.waiting() == before && len(ended) == 0 {
		time.Sleep(time.Millisecond)
	}
	return ended
}

// A replica that refused a request must not be asked again by it, with any number of others
// left; before, each request reached full replicas 12 to 15 times.
func TestRefusingReplicaIsNotAskedAgain(t *testing.T) {
	for name, row := range map[string]struct {
		serving string
		want    int
	}{
		"one replica serves": {"i-0", 0},
		"all refuse":         {"", 3},
	} {
		t.Run(name, func(t *testing.T) {
			site := newLimitedSite(t, 3, func(replica string, w http.ResponseWriter) {
				if replica == row.serving {
					answer(replica, w)
					return
				}
				refuse(replica, w)
			})
			_, failure := site.Do(context.Background(), requestTo("1"))
			for replica, count := range site.counts() {
				if count != 1 {
					t.Errorf("%s was asked %d times", replica, count)
				}
			}
			if row.serving != "" {
				if failure != nil {
					t.Errorf("not served: %v", failure)
				}
				return
			}
			if failure == nil || failure.Verdict != port.NotRun || failure.Refusal != admission.ReasonQueue || failure.RetryAfter != minRetryAfter || site.total() != row.want {
				t.Errorf("%+v after %d sends", failure, site.total())
			}
		})
	}
}

// A request that reached another instance, as after a restart of its replica, was not refused by
// a full replica: it must be sent again as without a limit.
func TestMisdirectedRequestIsSentAgain(t *testing.T) {
	var calls atomic.Int64
	site := newLimitedSite(t, 1, func(replica string, w http.ResponseWriter) {
		if calls.Add(1) == 1 {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		answer(replica, w)
	})
	if _, failure := site.Do(context.Background(), requestTo("1")); failure != nil || site.total() != 2 {
		t.Errorf("%v after %d sends", failure, site.total())
	}
}

// A retry after a failure must not go back to a replica that refused the request before, even if
// every replica has been tried.
func TestRetryAfterFailureAvoidsRefusingReplica(t *testing.T) {
	for range 10 {
		var refusing atomic.Pointer[string]
		site := newLimitedSite(t, 2, func(replica string, w http.ResponseWriter) {
			if refusing.CompareAndSwap(nil, &replica) || *refusing.Load() == replica {
				refuse(replica, w)
				return
			}
			panic(http.ErrAbortHandler)
		})
		_, failure := site.Do(context.Background(), repeatableRequest())
		if count := site.counts()[*refusing.Load()]; count != 1 || failure == nil || failure.Verdict != port.MayHaveRun {
			t.Errorf("the refusing replica was asked %d times: %v", count, failure)
		}
	}
}

// In an overload, arrivals at the replicas exceed the requests only by the budget that was
// saved before, whatever the number of earlier successes.
func TestRetryBudgetBoundsArrivals(t *testing.T) {
	for _, successes := range []int{0, 300} {
		var full atomic.Bool
		site := newLimitedSite(t, 3, func(replica string, w http.ResponseWriter) {
			if full.Load() {
				refuse(replica, w)
				return
			}
			answer(replica, w)
		})
		for i := range successes {
			if _, failure := site.Do(context.Background(), requestTo(fmt.Sprint("before-", i))); failure != nil {
				t.Fatal(failure)
			}
		}
		full.Store(true)
		const requests = 100
		for i := range requests {
			_, failure := site.Do(context.Background(), requestTo(fmt.Sprint(i)))
			if failure == nil || failure.Verdict != port.NotRun || failure.Refusal == "" || failure.RetryAfter == 0 {
				t.Fatalf("%+v", failure)
			}
		}
		if got := site.total() - successes; got > requests+minSavedRetries+1 {
			t.Errorf("%d arrivals for %d requests after %d successes", got, requests, successes)
		}
		if counts := site.recorder.counts; counts["retry_budget"] < requests-minSavedRetries-1 || counts["retry"] != counts["retry_budget"] {
			t.Errorf("refusals %v", counts)
		}
	}
}

// A request that has to wait is sent as soon as the limit allows it, also if nothing but the
// timer wakes the limiter.
func TestWaitingRequestIsSent(t *testing.T) {
	for _, byTimer := range []bool{false, true} {
		site := newLimitedSite(t, 2, answer)
		site.limiter.allowed = 0
		ended := site.start(context.Background(), requestTo("1"))
		if site.total() != 0 {
			t.Fatal("sent although the limit did not allow it")
		}
		if byTimer {
			site.change(func(f *fakeLimiter) { f.wakeAt = site.limits.now().Add(5 * time.Millisecond) })
			limit := site.limits.of("s")
			limit.mutex.Lock()
			site.limiter.allowed = 1
			limit.mutex.Unlock()
		} else {
			site.change(func(f *fakeLimiter) { f.allowed = 1 })
		}
		if failure := <-ended; failure != nil || site.total() != 1 {
			t.Errorf("by timer %v: %v after %d sends", byTimer, failure, site.total())
		}
	}
}

// A refused request must not be sent, and carries the limiter's reason and time.
func TestRefusedRequest(t *testing.T) {
	site := newLimitedSite(t, 2, answer)
	site.limiter.refusal = port.NewError(port.NotRun, port.CodeQueueFull, "too much").WithCause(&admission.Refusal{Reason: admission.ReasonTenant})
	site.limiter.refusal.RetryAfter = 700 * time.Millisecond
	_, failure := site.Do(context.Background(), requestTo("1"))
	if failure == nil || failure.Verdict != port.NotRun || failure.Code != port.CodeQueueFull || failure.RetryAfter != 700*time.Millisecond ||
		failure.Refusal != admission.ReasonTenant || failure.Reason != "too much" || site.total() != 0 || site.recorder.counts["tenant"] != 1 {
		t.Errorf("%+v, %v", failure, site.recorder.counts)
	}
}

// A request whose caller leaves, or whose deadline passes, must not stay in the queue.
func TestLeavingWhileWaiting(t *testing.T) {
	for want, leave := range map[port.Code]func(context.Context) (context.Context, context.CancelFunc){
		port.CodeCancelled: context.WithCancel,
		port.CodeDeadline: func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 100*time.Millisecond)
		},
	} {
		site := newLimitedSite(t, 2, answer)
		site.limiter.allowed = 0
		ctx, cancel := leave(context.Background())
		defer cancel()
		ended := site.start(ctx, requestTo("1"))
		if want == port.CodeCancelled {
			cancel()
		}
		failure := <-ended
		if failure == nil || failure.Verdict != port.NotRun || failure.Code != want || site.waiting() != 0 || site.total() != 0 {
			t.Errorf("%s: %+v, %d waiting, %d sent", want, failure, site.waiting(), site.total())
		}
	}
}

// A stopping process must answer all waiting requests, and none of them may run.
func TestCloseRefusesWaitingRequests(t *testing.T) {
	site := newLimitedSite(t, 2, answer)
	site.limiter.allowed = 0
	var ended []<-chan *Failure
	for i := range 50 {
		ended = append(ended, site.start(context.Background(), requestTo(fmt.Sprint(i))))
	}
	site.Close()
	_, late := site.Do(context.Background(), requestTo("late"))
	failures := []*Failure{late}
	for _, request := range ended {
		failures = append(failures, <-request)
	}
	for _, failure := range failures {
		if failure == nil || failure.Verdict != port.NotRun || failure.Code != port.CodeDraining || failure.Refusal != "" {
			t.Errorf("%+v", failure)
		}
	}
	if site.total() != 0 {
		t.Errorf("%d sent", site.total())
	}
}

// Without the setting, a request repeats its tries at replicas that refused it, as before.
func TestUnlimitedProxyRepeatsTries(t *testing.T) {
	site := newLimitedSite(t, 2, refuse)
	site.limits = nil
	_, failure := site.Do(context.Background(), requestTo("1"))
	if failure == nil || failure.Verdict != port.NotRun || failure.Code != port.CodeQueueFull || failure.Refusal != "" || failure.RetryAfter != 0 {
		t.Errorf("%+v", failure)
	}
	if want := 2 * (1 + maxRefusedRounds); site.total() != want {
		t.Errorf("%d tries, want %d", site.total(), want)
	}
	site.Close()
	if reading := site.SendReading(); reading != (SendReading{}) {
		t.Errorf("%+v", reading)
	}
}

// A restarted front has no limit from before, and sends its first request at once.
func TestRestartedProxyStartsWithoutLimit(t *testing.T) {
	site := newLimitedSite(t, 2, answer)
	site.limiter.allowed = 0
	ended := site.start(context.Background(), requestTo("1"))
	site.Close()
	<-ended
	restarted := newSendLimits(site.clock, site.view)
	site.limits = restarted
	if _, failure := site.Do(context.Background(), requestTo("1")); failure != nil || site.total() != 1 {
		t.Errorf("%v after %d sends", failure, site.total())
	}
}

// The capacity follows the view. A process without a new view keeps the last capacity, and one
// without any view reports none as known.
func TestCapacityFollowsView(t *testing.T) {
	site := newLimitedSite(t, 3, answer)
	site.limits.of("s")
	check := func(when string, slots, senders int) {
		t.Helper()
		if site.limiter.slots != slots || site.limiter.senders != senders {
			t.Errorf("%s: %d slots, %d senders", when, site.limiter.slots, site.limiter.senders)
		}
	}
	check("first view", 18, 4)
	for range 10 {
		if _, failure := site.Do(context.Background(), requestTo("1")); failure != nil {
			t.Fatal(failure)
		}
	}
	check("old view", 18, 4)
	site.Observe(coldView(0, 2))
	check("slots not reported, senders unknown", 0, 0)
	view := coldView(800, 0)
	view.ByService["s"] = sitestate.ListOf(sitestate.Replica{ID: "i-0", Slots: 6})
	site.Observe(view)
	check("one replica left", 6, 800)
}

// A request whose deadline passed while the machine was suspended must not be sent, whether the
// limiter notices it or the proxy.
func TestSuspensionDuringWait(t *testing.T) {
	for _, ignoreExpiry := range []bool{false, true} {
		site := newLimitedSite(t, 2, answer)
		site.limiter.allowed, site.limiter.ignoreExpiry = 0, ignoreExpiry
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		ended := site.start(ctx, requestTo("1"))
		site.suspended.Store(int64(time.Hour))
		site.change(func(f *fakeLimiter) {
			if ignoreExpiry {
				f.allowed = 1
			}
		})
		failure := <-ended
		cancel()
		if failure == nil || failure.Verdict != port.NotRun || failure.Code != port.CodeDeadline || site.total() != 0 {
			t.Errorf("limiter ignores expiry %v: %+v, %d sent", ignoreExpiry, failure, site.total())
		}
	}
}

// The limiter sees each try: latencies of answers, refusals of full replicas, but not those of a
// replica that restarted; and the latency of reward calls does not count against an aim.
func TestTriesAreObserved(t *testing.T) {
	for name, row := range map[string]struct {
		serve   func(replica string, w http.ResponseWriter)
		kind    admission.Traffic
		results int
		refused bool
		aim     time.Duration
	}{
		"answer":      {answer, admission.CallerTraffic, 1, false, 10 * time.Second},
		"reward call": {answer, admission.RewardTraffic, 1, false, 0},
		"full":        {refuse, admission.CallerTraffic, 1, true, 10 * time.Second},
		"restarted":   {func(_ string, w http.ResponseWriter) { w.WriteHeader(http.StatusMisdirectedRequest) }, admission.CallerTraffic, 0, false, 0},
	} {
		site := newLimitedSite(t, 1, row.serve)
		request := requestTo("1")
		request.Traffic, request.Priority = row.kind, -3
		_, _ = site.Do(context.Background(), request)
		if len(site.limiter.results) != row.results {
			t.Errorf("%s: %+v", name, site.limiter.results)
			continue
		}
		if item := site.limiter.offered[0]; item.Priority != -3 || item.Tenant != "t" || item.ID != "1" {
			t.Errorf("%s: offered %+v", name, item)
		}
		if row.results == 0 {
			continue
		}
		if got := site.limiter.results[0]; got.Refused != row.refused || got.Aim != row.aim || (got.Latency > 0) == row.refused || site.limiter.aims[0] != row.aim {
			t.Errorf("%s: %+v, offered with aim %v", name, got, site.limiter.aims[0])
		}
	}
}

// A hedge is a further try: without budget it must not be sent.
func TestHedgeIsCharged(t *testing.T) {
	for _, exhausted := range []bool{false, true} {
		second := make(chan struct{})
		wait := 10 * time.Second
		if exhausted {
			wait = 300 * time.Millisecond
		}
		var site *limitedSite
		site = newLimitedSite(t, 2, func(replica string, w http.ResponseWriter) {
			if site.total() == 2 {
				close(second)
			}
			select {
			case <-second:
			case <-time.After(wait):
			}
			answer(replica, w)
		})
		limit := site.limits.of("s")
		for exhausted && limit.withdrawRetry() {
		}
		if _, failure := site.Do(context.Background(), repeatableRequest()); failure != nil {
			t.Fatal(failure)
		}
		if want := map[bool]int{false: 2, true: 1}[exhausted]; site.total() != want {
			t.Errorf("budget exhausted %v: %d sends", exhausted, site.total())
		}
	}
}

// A request that may have run at one replica and was refused by the next must not be called
// "not run", nor a refusal.
func TestRefusalAfterFailureMayHaveRun(t *testing.T) {
	var calls atomic.Int64
	site := newLimitedSite(t, 2, func(replica string, w http.ResponseWriter) {
		if calls.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		refuse(replica, w)
	})
	_, failure := site.Do(context.Background(), repeatableRequest())
	if failure == nil || failure.Verdict != port.MayHaveRun || failure.Refusal != "" || site.total() != 2 {
		t.Errorf("%+v after %d sends", failure, site.total())
	}
}

// A caller that sends an id again while the first request with it waits must not be refused for
// that, and each of them can be cancelled.
func TestSameIDWaitsTwice(t *testing.T) {
	site := newLimitedSite(t, 2, answer)
	site.limiter.allowed = 0
	ctx, cancel := context.WithCancel(context.Background())
	first := site.start(context.Background(), requestTo("1"))
	second := site.start(ctx, requestTo("1"))
	cancel()
	if failure := <-second; failure == nil || failure.Code != port.CodeCancelled || site.waiting() != 1 {
		t.Errorf("%+v, %d waiting", failure, site.waiting())
	}
	site.change(func(f *fakeLimiter) { f.allowed = 1 })
	if failure := <-first; failure != nil {
		t.Error(failure)
	}
}

// directLimiter permits every request without allocating.
type directLimiter struct {
	fakeLimiter
	item    admission.Item[*waiter]
	waiting bool
}

func (d *directLimiter) Offer(_ time.Time, item admission.Item[*waiter], _ time.Duration) *port.Error {
	d.item, d.waiting = item, true
	return nil
}

func (d *directLimiter) Next(time.Time) (admission.Item[*waiter], bool) {
	found := d.waiting
	d.waiting = false
	return d.item, found
}

func (d *directLimiter) Expire(time.Time) []admission.Unserved[*waiter] { return nil }

// A service without a limit must not pay for one: the direct path allocates the waiter only.
func TestDirectPathAllocatesOnlyTheWaiter(t *testing.T) {
	limit := &serviceLimit{now: time.Now, limiter: &directLimiter{}}
	item := admission.Item[*waiter]{ID: "1", Tenant: "t"}
	if allocated := testing.AllocsPerRun(100, func() {
		if w := limit.offer(item, time.Second); !w.decided || w.ready != nil {
			t.Error("the request waits")
		}
	}); allocated != 1 {
		t.Errorf("%v allocations", allocated)
	}
}

// BenchmarkDirectPath measures what a request to a service without a limit pays, from the offer
// to the end of its try.
func BenchmarkDirectPath(b *testing.B) {
	view := coldView(4, 3)
	limits := newSendLimits(boottime.Now, func() *siteview.View { return view })
	item := admission.Item[*waiter]{ID: "1", Tenant: "t"}
	b.ReportAllocs()
	for b.Loop() {
		limit := limits.of("s")
		limit.offer(item, time.Second)
		limit.beginTry()
		limit.endTry(result{class: classAnswer}, 20*time.Millisecond, time.Second)
	}
}

func TestPriorityOf(t *testing.T) {
	urgent, later := 0, 7
	route := &routing.Route{Priority: 3}
	for want, tenant := range map[port.Priority]*routing.Tenant{-3: nil, 0: {Priority: &urgent}, -7: {Priority: &later}} {
		if got := PriorityOf(route, tenant); got != want {
			t.Errorf("%+v: %d, want %d", tenant, got, want)
		}
	}
	if got := PriorityOf(route, &routing.Tenant{}); got != -3 {
		t.Errorf("tenant without a priority: %d", got)
	}
}

// The Retry-After follows the rate, within bounds that hold with any rate.
func TestRetryAfterFollowsRate(t *testing.T) {
	for want, status := range map[time.Duration]admission.SendStatus{
		defaultRetryAfter:      {},
		minRetryAfter:          {Rate: 1e9, Waiting: 3},
		500 * time.Millisecond: {Rate: 20, Waiting: 9},
		maxRetryAfter:          {Rate: 1e-300, Waiting: 9},
	} {
		if got := retryAfterOf(status); got != want {
			t.Errorf("%+v: %v, want %v", status, got, want)
		}
	}
}

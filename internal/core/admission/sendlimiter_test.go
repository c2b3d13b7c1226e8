package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

const (
	testAim  = 150 * time.Millisecond
	testWork = 25 * time.Millisecond
)

// newLimited returns a limiter with a limit, some permits and a recent latency of 25 ms.
func newLimited(rate, permits float64) *SendLimiter[int] {
	limiter := NewSendLimiter[int](start)
	limiter.Observe(start, TryResult{Latency: testWork, Aim: testAim})
	limiter.rate.limited = true
	limiter.rate.rate = rate
	limiter.rate.permits = permits
	limiter.rate.signed = start
	return limiter
}

// sendAll returns the ids that a limiter sends at a time, in order.
func sendAll(limiter *SendLimiter[int], now time.Time) string {
	sent := ""
	for {
		item, found := limiter.Next(now)
		if !found {
			return sent
		}
		sent += string(item.ID)
	}
}

// endedIDs returns the ids of ended requests, in order.
func endedIDs(ended []Unserved[int]) string {
	ids := ""
	for _, unserved := range ended {
		ids += string(unserved.Item.ID)
	}
	return ids
}

// TestNoLimitWithoutOverload guards deployments without overload: each request must be sent at
// once, whatever its latency.
func TestNoLimitWithoutOverload(t *testing.T) {
	tests := map[string]struct {
		interval time.Duration
		latency  func(index int) time.Duration
		aim      time.Duration
	}{
		"fast service":          {100 * time.Millisecond, func(int) time.Duration { return testWork }, testAim},
		"high rate":             {time.Millisecond, func(int) time.Duration { return testWork }, testAim},
		"one request a minute":  {time.Minute, func(int) time.Duration { return testWork }, testAim},
		"work of half the aim":  {100 * time.Millisecond, func(int) time.Duration { return 80 * time.Millisecond }, testAim},
		"one slow answer in 20": {100 * time.Millisecond, everyTwentieth(400 * time.Millisecond), testAim},
		"no aim":                {100 * time.Millisecond, func(int) time.Duration { return 5 * time.Second }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := NewSendLimiter[int](start)
			now := start
			for index := range 500 {
				now = now.Add(test.interval)
				item := testItem{ID: port.RequestID(fmt.Sprint(index)), Deadline: now.Add(time.Minute)}
				if refusal := limiter.Offer(now, item, test.aim); refusal != nil {
					t.Fatalf("request %d: %v", index, refusal)
				}
				if _, found := limiter.Next(now); !found {
					t.Fatalf("request %d waits", index)
				}
				limiter.Observe(now, TryResult{Latency: test.latency(index), Aim: test.aim})
			}
			if status := limiter.Status(); status.Limited || status.Rate != 0 {
				t.Errorf("limited to %v", status.Rate)
			}
			if wake := limiter.WakeAt(now); !wake.IsZero() {
				t.Errorf("wakes at %v without waiting requests", wake)
			}
		})
	}
}

func everyTwentieth(slow time.Duration) func(int) time.Duration {
	return func(index int) time.Duration {
		if index%20 == 19 {
			return slow
		}
		return testWork
	}
}

// TestSignsOfOverload guards against a sender that does not react, and against reward calls that
// yield to the latency that callers cause.
func TestSignsOfOverload(t *testing.T) {
	tests := map[string]struct {
		result TryResult
		want   bool
	}{
		"refusal":             {TryResult{Refused: true, Aim: testAim}, true},
		"latency near aim":    {TryResult{Latency: 140 * time.Millisecond, Aim: testAim}, true},
		"latency of work":     {TryResult{Latency: testWork, Aim: testAim}, false},
		"latency without aim": {TryResult{Latency: 10 * time.Second}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := NewSendLimiter[int](start)
			now := start
			for index := range 40 {
				now = now.Add(50 * time.Millisecond)
				result := test.result
				if index < 2*baselineSamples {
					result = TryResult{Latency: testWork, Aim: test.result.Aim}
				}
				limiter.Observe(now, result)
			}
			if got := limiter.Status().Limited; got != test.want {
				t.Errorf("limited %v, want %v", got, test.want)
			}
		})
	}
}

// TestRemainingAimDoesNotLimit guards against requests that come back with a part of their aim
// left: latency would seem far too high for it.
func TestRemainingAimDoesNotLimit(t *testing.T) {
	limiter := NewSendLimiter[int](start)
	now := start
	for index := range 40 {
		now = now.Add(50 * time.Millisecond)
		limiter.Observe(now, TryResult{Latency: testWork, Aim: testAim})
		limiter.Offer(now, testItem{ID: port.RequestID(fmt.Sprint(index))}, 10*time.Millisecond)
		limiter.Next(now)
		if excess := latencyExcess(&limiter.rate.signals); excess > 0 {
			t.Fatalf("latency of %v is %.2f too high", testWork, excess)
		}
	}
}

// TestRefusedRewardCalls guards steps against waiting for a limit that a few full replicas
// caused, and replicas against reward calls of which none is accepted.
func TestRefusedRewardCalls(t *testing.T) {
	tests := map[string]struct {
		accepted func(index int) bool
		want     bool
	}{
		"one in two refused":     {func(index int) bool { return index%2 == 0 }, false},
		"three in four refused":  {func(index int) bool { return index%4 == 0 }, false},
		"all refused":            {func(int) bool { return false }, true},
		"one refused":            {func(index int) bool { return index > 0 }, false},
		"none refused, but late": {func(int) bool { return true }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := NewSendLimiter[int](start)
			for index := range 100 {
				result := TryResult{Refused: !test.accepted(index), Latency: 5 * time.Second}
				limiter.Observe(after(time.Duration(index)*100*time.Millisecond), result)
			}
			if got := limiter.Status().Limited; got != test.want {
				t.Errorf("limited %v, want %v", got, test.want)
			}
		})
	}
}

// TestClock guards against a clock step that grants permits or blocks a sender for ever.
func TestClock(t *testing.T) {
	tests := map[string]struct {
		steps []time.Duration
		want  int
	}{
		"stands still":               {[]time.Duration{0, 0, 0, 0}, 1},
		"goes back":                  {[]time.Duration{-time.Hour, 0, -time.Second}, 1},
		"advances":                   {[]time.Duration{time.Second / 10, time.Second / 10}, 3},
		"goes back and advances":     {[]time.Duration{-time.Hour, time.Second / 10, time.Second / 10}, 3},
		"jumps ahead":                {[]time.Duration{24 * time.Hour}, 1 + minBurst},
		"advances without a request": {nil, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := newLimited(10, 1)
			now := start
			sent := 0
			for index := range 20 {
				limiter.queue.add(wrap(testItem{ID: port.RequestID(fmt.Sprint(index))}, false))
			}
			sent += len(sendOnce(limiter, now))
			for _, step := range test.steps {
				now = now.Add(step)
				sent += len(sendOnce(limiter, now))
				limiter.Expire(now)
			}
			if sent != test.want {
				t.Errorf("%d sent, want %d", sent, test.want)
			}
		})
	}
}

// sendOnce returns the items that a limiter sends at a time.
func sendOnce(limiter *SendLimiter[int], now time.Time) []Item[int] {
	var sent []Item[int]
	for item, found := limiter.Next(now); found; item, found = limiter.Next(now) {
		sent = append(sent, item)
	}
	return sent
}

// TestFloor guards against a limit so low that a sender no longer measures.
func TestFloor(t *testing.T) {
	equalShare := 18.0 / 61 / testWork.Seconds()
	tests := map[string]struct {
		slots, senders int
		want           float64
	}{
		"capacity known":   {18, 61, floorShare * equalShare},
		"capacity unknown": {0, 0, defaultFloor},
		"slots unknown":    {0, 61, defaultFloor},
		"senders unknown":  {18, 0, defaultFloor},
		"negative":         {-1, -1, defaultFloor},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := NewSendLimiter[int](start)
			limiter.SetCapacity(test.slots, test.senders)
			now := start
			for range 2 * baselineSamples {
				now = now.Add(50 * time.Millisecond)
				limiter.Observe(now, TryResult{Latency: testWork, Aim: testAim})
			}
			for range 200 {
				now = now.Add(50 * time.Millisecond)
				limiter.Observe(now, TryResult{Refused: true, Aim: testAim})
			}
			status := limiter.Status()
			if !status.Limited || status.Rate < 0.99*test.want || status.Rate > 1.01*test.want {
				t.Errorf("limit %.2f after 10 s of refusals, want %.2f", status.Rate, test.want)
			}
		})
	}
}

// TestRecovery guards the requirement that service is back to normal 1 s after a burst, here one
// in which replicas refused everything.
func TestRecovery(t *testing.T) {
	tests := map[string]struct{ slots, senders int }{
		"capacity known":   {18, 61},
		"capacity unknown": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const interval = 100 * time.Millisecond
			limiter := NewSendLimiter[int](start)
			limiter.SetCapacity(test.slots, test.senders)
			now := start
			// offer reports whether no request is refused, now or after it waited.
			offer := func(id string, result TryResult) bool {
				now = now.Add(interval)
				for range sendOnce(limiter, now) {
					limiter.Observe(now, result)
				}
				ended := limiter.Expire(now)
				refusal := limiter.Offer(now, testItem{ID: port.RequestID(id)}, testAim)
				for range sendOnce(limiter, now) {
					limiter.Observe(now, result)
				}
				return refusal == nil && len(ended) == 0
			}
			for index := range 2 * baselineSamples {
				offer(fmt.Sprint("before", index), TryResult{Latency: testWork, Aim: testAim})
			}
			for index := range 100 {
				offer(fmt.Sprint("burst", index), TryResult{Refused: true, Aim: testAim})
			}
			if !limiter.Status().Limited {
				t.Fatal("not limited while all tries are refused")
			}
			for index := range 100 {
				served := offer(fmt.Sprint("after", index), TryResult{Latency: testWork, Aim: testAim})
				if since := time.Duration(index+1) * interval; since > time.Second && !served {
					t.Errorf("refused %v after the burst: %+v", since, limiter.Status())
				}
			}
			if limiter.Status().Limited {
				t.Error("limited 10 s after the burst")
			}
		})
	}
}

// TestLimitIsRestored guards against a sender that sends the whole burst whenever a second passes
// without a sign of overload.
func TestLimitIsRestored(t *testing.T) {
	limiter := newLimited(10, 0)
	now := start
	for limiter.Status().Limited {
		now = now.Add(50 * time.Millisecond)
		limiter.rate.signals.offered.add(now)
		limiter.Observe(now, TryResult{Latency: testWork, Aim: testAim})
	}
	ended := limiter.rate.rate
	for range 100 {
		limiter.rate.signals.offered.add(now)
	}
	limiter.Observe(now.Add(50*time.Millisecond), TryResult{Refused: true, Aim: testAim})
	if status := limiter.Status(); !status.Limited || status.Rate > 1.01*restoreGrowth*ended {
		t.Errorf("%+v after a refusal, want the limit of %.1f restored", status, ended)
	}
}

// TestLimitStaysWithoutAnswers guards a service that stopped answering against the full load.
func TestLimitStaysWithoutAnswers(t *testing.T) {
	limiter := newLimited(10, 1)
	limiter.rate.signals.observed = start
	for second := range 10 {
		limiter.WakeAt(after(time.Duration(second) * time.Second))
		limiter.Next(after(time.Duration(second) * time.Second))
	}
	if !limiter.Status().Limited {
		t.Error("the limit ended without an answer")
	}
}

// TestSendRetryAfter guards against callers that return at once, together, or too late to be
// served.
func TestSendRetryAfter(t *testing.T) {
	tests := map[string]struct {
		limited   bool
		rate      float64
		refused   int
		low, high time.Duration
	}{
		"no limit":       {false, 0, 100, 50 * time.Millisecond, 75 * time.Millisecond},
		"short backlog":  {true, 1000, 1, 50 * time.Millisecond, 75 * time.Millisecond},
		"half a second":  {true, 10, 5, 250 * time.Millisecond, 750 * time.Millisecond},
		"long backlog":   {true, 1, 500, time.Second, 2 * time.Second},
		"almost no rate": {true, 1e-9, 5, time.Second, 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := newLimited(test.rate, 0)
			limiter.rate.limited = test.limited
			for range test.refused {
				limiter.refused.add(start)
			}
			seen := make(map[time.Duration]bool)
			for index := range 100 {
				wait := limiter.retryAfter(start, port.RequestID(fmt.Sprint(index)))
				if wait < test.low || wait > test.high {
					t.Fatalf("%v, want %v to %v", wait, test.low, test.high)
				}
				seen[wait] = true
			}
			if len(seen) < 90 {
				t.Errorf("%d different waits of 100 callers", len(seen))
			}
		})
	}
}

// TestHeaviestTenantIsRefused guards light tenants against a tenant that fills the limit.
func TestHeaviestTenantIsRefused(t *testing.T) {
	light := testItem{ID: "l", Tenant: "light"}
	heavy := testItem{ID: "h", Tenant: "heavy"}
	tests := map[string]struct {
		waiting []testItem
		sent    map[port.TenantName]int
		offered testItem
		refused bool
		evicted string
		reason  Reason
	}{
		"no room for one tenant": {[]testItem{{ID: "a"}, {ID: "b"}}, nil, testItem{ID: "c"}, true, "", ReasonQueue},
		"heavy by waiting requests": {[]testItem{{ID: "a", Tenant: "heavy"}, {ID: "b", Tenant: "heavy"}}, nil,
			light, false, "b", ReasonTenant},
		"heavy by sent requests": {[]testItem{{ID: "a", Tenant: "heavy"}, {ID: "b", Tenant: "other"}}, map[port.TenantName]int{"heavy": 5},
			light, false, "a", ReasonTenant},
		"the offered one is heavy": {[]testItem{{ID: "a", Tenant: "light"}, {ID: "b", Tenant: "other"}}, map[port.TenantName]int{"heavy": 5},
			heavy, true, "", ReasonTenant},
		"equal usage": {[]testItem{{ID: "a", Tenant: "x"}, {ID: "b", Tenant: "y"}}, nil, light, true, "", ReasonTenant},
		"shares are weights": {[]testItem{{ID: "a", Tenant: "x", TenantShare: 0.1}, {ID: "b", Tenant: "y"}}, nil,
			light, false, "a", ReasonTenant},
		"lower priority waits": {[]testItem{{ID: "a", Tenant: "x", Priority: -1}, {ID: "b", Tenant: "y"}}, nil,
			heavy, false, "a", ReasonQueue},
		"higher priority waits": {[]testItem{{ID: "a", Priority: 1}, {ID: "b", Priority: 1}}, nil, light, true, "", ReasonQueue},
		"earlier deadline of the heavy tenant": {[]testItem{{ID: "a", Tenant: "heavy"}, {ID: "b", Tenant: "light"}}, map[port.TenantName]int{"heavy": 5},
			testItem{ID: "h", Tenant: "heavy", Deadline: after(100 * time.Millisecond)}, false, "a", ReasonTenant},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			// 2 requests can be sent within the 125 ms that the latency leaves of the aim.
			limiter := newLimited(10, 1)
			for tenant, count := range test.sent {
				limiter.usage.counts[tenant] = float64(count)
			}
			for _, item := range test.waiting {
				if refusal := limiter.Offer(start, item, testAim); refusal != nil {
					t.Fatalf("%s: %v", item.ID, refusal)
				}
			}
			refusal := limiter.Offer(start, test.offered, testAim)
			ended := limiter.Expire(start)
			if (refusal != nil) != test.refused || endedIDs(ended) != test.evicted {
				t.Fatalf("refusal %v, evicted %q; want refused %v, evicted %q", refusal, endedIDs(ended), test.refused, test.evicted)
			}
			if len(ended) > 0 {
				refusal = ended[0].Error
			}
			if got := ReasonOf(refusal); got != test.reason {
				t.Errorf("reason %q, want %q", got, test.reason)
			}
			if refusal.Verdict != port.NotRun || refusal.RetryAfter < minSendRetryAfter {
				t.Errorf("verdict %s, retry after %v", refusal.Verdict, refusal.RetryAfter)
			}
		})
	}
}

// TestReserves guards requests of light tenants that can be on time against an empty bucket.
func TestReserves(t *testing.T) {
	tests := map[string]struct {
		tenant  port.TenantName
		aim     time.Duration
		permits float64
		sent    bool
	}{
		"light":                {"light", testAim, 1, true},
		"heavy, few permits":   {"heavy", testAim, 2, false},
		"heavy, many permits":  {"heavy", testAim, 4, true},
		"late, many permits":   {"light", -1, 5, false},
		"late, a full bucket":  {"light", -1, minBurst, true},
		"no aim, few permits":  {"light", 0, 1, true},
		"heavy without an aim": {"heavy", 0, 2, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := newLimited(10, test.permits)
			limiter.usage.counts = map[port.TenantName]float64{"heavy": 9, "light": 1, "other": 1}
			refusal := limiter.Offer(start, testItem{ID: "a", Tenant: test.tenant}, test.aim)
			_, found := limiter.Next(start)
			if found != test.sent {
				t.Errorf("sent %v, want %v (refusal %v)", found, test.sent, refusal)
			}
		})
	}
}

// TestSendOrder guards the order within the limit: priority, then recent usage, then deadline;
// late requests last, as they would make others late.
func TestSendOrder(t *testing.T) {
	type offer struct {
		item testItem
		aim  time.Duration
	}
	tests := map[string]struct {
		offers []offer
		want   string
	}{
		"priority":  {[]offer{{testItem{ID: "a"}, testAim}, {testItem{ID: "b", Priority: 1}, testAim}, {testItem{ID: "c", Priority: -1}, testAim}}, "bac"},
		"deadline":  {[]offer{{testItem{ID: "a"}, testAim}, {testItem{ID: "b", Deadline: after(90 * time.Millisecond)}, testAim}}, "ba"},
		"aim":       {[]offer{{testItem{ID: "a"}, 2 * testAim}, {testItem{ID: "b"}, testAim}}, "ba"},
		"late last": {[]offer{{testItem{ID: "a"}, -1}, {testItem{ID: "b"}, testAim}}, "ba"},
		"late before lower priority": {[]offer{{testItem{ID: "a", Priority: -1}, testAim}, {testItem{ID: "b"}, -1},
			{testItem{ID: "c"}, testAim}}, "cba"},
		"tenants alternate": {[]offer{{testItem{ID: "a", Tenant: "x"}, testAim}, {testItem{ID: "b", Tenant: "x"}, testAim},
			{testItem{ID: "c", Tenant: "y"}, testAim}}, "acb"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := newLimited(1000, 1000)
			for _, offer := range test.offers {
				if refusal := limiter.Offer(start, offer.item, offer.aim); refusal != nil {
					t.Fatalf("%s: %v", offer.item.ID, refusal)
				}
			}
			if got := sendAll(limiter, start); got != test.want {
				t.Errorf("sent %s, want %s", got, test.want)
			}
		})
	}
}

// TestUnattainableAimIsRefused guards against requests that wait although they would be late.
func TestUnattainableAimIsRefused(t *testing.T) {
	tests := map[string]struct {
		permits float64
		item    testItem
		aim     time.Duration
		want    Reason
	}{
		"a permit is left":           {1, testItem{}, testAim, ""},
		"next permit within the aim": {0.5, testItem{}, testAim, ""},
		"next permit after the aim":  {0, testItem{}, 100 * time.Millisecond, ReasonDeadline},
		"aim below the latency":      {0.5, testItem{}, 20 * time.Millisecond, ReasonDeadline},
		"deadline before the aim":    {0, testItem{Deadline: after(50 * time.Millisecond)}, testAim, ReasonDeadline},
		"deadline passed":            {1, testItem{Deadline: start}, testAim, ReasonDeadline},
		"no aim":                     {0, testItem{Deadline: after(time.Second)}, 0, ""},
		"no aim, no deadline":        {0, testItem{}, 0, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := newLimited(10, test.permits)
			test.item.ID = "a"
			refusal := limiter.Offer(start, test.item, test.aim)
			if got := reasonOf(refusal); got != test.want {
				t.Errorf("%v, want reason %q", refusal, test.want)
			}
		})
	}
}

// reasonOf is ReasonOf for an error that may be nil.
func reasonOf(refusal *port.Error) Reason {
	if refusal == nil {
		return ""
	}
	return ReasonOf(refusal)
}

// TestReasons guards the metrics, which count refusals by reason also after wrapping.
func TestReasons(t *testing.T) {
	limiter := newLimited(10, 0)
	limiter.Offer(start, testItem{ID: "a"}, 0)
	budget := limiter.RefuseRetry(start, testItem{ID: "b", Tenant: "x"})
	tests := map[string]struct {
		err  error
		want Reason
	}{
		"retry budget": {budget, ReasonRetryBudget},
		"wrapped":      {fmt.Errorf("send: %w", budget), ReasonRetryBudget},
		"other error":  {port.NewError(port.NotRun, port.CodeDraining, "the node is stopping"), ""},
		"none":         {nil, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := ReasonOf(test.err); got != test.want {
				t.Errorf("reason %q, want %q", got, test.want)
			}
		})
	}
	refusal, isRefusal := budget.Unwrap().(*Refusal)
	if !isRefusal || refusal.Tenant != "x" || refusal.Rate != 10 || refusal.Waiting != 1 {
		t.Errorf("cause %v", budget.Unwrap())
	}
}

// TestCancelExpireDrain guards each way by which a request leaves unserved.
func TestCancelExpireDrain(t *testing.T) {
	offered := testItem{ID: "a", Tenant: "x", Priority: 3, Deadline: after(time.Second), TenantShare: 0.5, Value: 7}
	tests := map[string]struct {
		leave func(*SendLimiter[int]) []Unserved[int]
		code  port.Code
	}{
		"cancel": {func(limiter *SendLimiter[int]) []Unserved[int] {
			item, found := limiter.Cancel("a")
			if !found {
				t.Error("not found")
			}
			return []Unserved[int]{{Item: item}}
		}, ""},
		"expire": {func(limiter *SendLimiter[int]) []Unserved[int] {
			wake := limiter.WakeAt(start)
			limiter.rate.permits = -1000
			return limiter.Expire(wake.Add(testAim))
		}, port.CodeDeadline},
		"next after the aim": {func(limiter *SendLimiter[int]) []Unserved[int] {
			if _, found := limiter.Next(after(testAim)); found {
				t.Error("sent after its aim")
			}
			return limiter.Expire(after(testAim))
		}, port.CodeDeadline},
		"drain": {func(limiter *SendLimiter[int]) []Unserved[int] { return limiter.Drain() }, port.CodeDraining},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := newLimited(10, 0.5)
			if refusal := limiter.Offer(start, offered, testAim); refusal != nil {
				t.Fatal(refusal)
			}
			if refusal := limiter.Offer(start, offered, testAim); refusal == nil || refusal.Code != port.CodeConflict {
				t.Errorf("the same id again: %v", refusal)
			}
			ended := test.leave(limiter)
			if len(ended) != 1 || ended[0].Item != offered {
				t.Fatalf("ended %v", ended)
			}
			if err := ended[0].Error; test.code != "" && (err.Code != test.code || err.Verdict != port.NotRun) {
				t.Errorf("error %v, want %s", err, test.code)
			}
			if limiter.Status().Waiting != 0 || len(limiter.Expire(after(time.Hour))) != 0 {
				t.Error("the request ended twice")
			}
			if _, found := limiter.Cancel("a"); found {
				t.Error("cancelled after its end")
			}
		})
	}
}

// TestWakeAt guards waiting requests against a driver that never calls again.
func TestWakeAt(t *testing.T) {
	limiter := newLimited(10, 0.5)
	limiter.Offer(start, testItem{ID: "a"}, testAim)
	wake := limiter.WakeAt(start)
	if wake != after(50*time.Millisecond) {
		t.Errorf("wakes at %v, want the next permit in 50 ms", wake.Sub(start))
	}
	if _, found := limiter.Next(wake); !found {
		t.Error("nothing is sent at the time of the wake")
	}
	limiter = newLimited(10, minBurst-1)
	limiter.Offer(start, testItem{ID: "a"}, -1)
	wake = limiter.WakeAt(start)
	if _, found := limiter.Next(wake); !found {
		t.Errorf("a late request is not sent from a full bucket after %v", wake.Sub(start))
	}
}

// TestShareOf guards the difference between callers and reward calls, which fronts and stores
// must agree on.
func TestShareOf(t *testing.T) {
	callers := ShareOf(CallerTraffic, 18, 61)
	if callers.InFlight != 0 || callers.Aim(testAim) != testAim {
		t.Errorf("callers: %+v", callers)
	}
	rewards := ShareOf(RewardTraffic, 18, 4)
	if rewards.InFlight != jobqueue.MaxRewardCalls(18, 4) || rewards.Aim(testAim) != 0 {
		t.Errorf("reward calls: %+v", rewards)
	}
}

// TestUsageRescale guards counts against overflow and against tenants that accumulate.
func TestUsageRescale(t *testing.T) {
	usage := newTenantUsage(start)
	usage.add(start, "old")
	now := start
	for range 100 {
		now = now.Add(time.Minute)
		usage.add(now, "a")
		usage.add(now, "a")
		usage.add(now, "b")
	}
	if len(usage.counts) != 2 || usage.counts["a"] <= usage.counts["b"] {
		t.Errorf("counts %v", usage.counts)
	}
}

// TestUsageAcrossRescale guards against counts from before a rescale that are compared with, or
// added to, weights from after it: a light tenant would count as heavy.
func TestUsageAcrossRescale(t *testing.T) {
	usage := newTenantUsage(start)
	usage.add(start, "idle")
	usage.add(start.Add(63*time.Second), "busy")
	if usage.heavy(start.Add(64500*time.Millisecond), "idle", 1) {
		t.Error("a tenant without requests for a minute is heavy")
	}
	usage = newTenantUsage(start)
	for range 100 {
		usage.add(start, "back")
	}
	now := start.Add(65 * time.Second)
	usage.add(now, "back")
	if count := usage.counts["back"] / usage.weight(now); count < 0.99 || count > 1.01 {
		t.Errorf("one recent request counts as %v", count)
	}
}

// TestSendLimiterInvariants checks that each accepted request ends exactly once, that none is
// sent after its deadline, and that refusals say when to come back, also if the clock goes back.
func TestSendLimiterInvariants(t *testing.T) {
	testkit.Check(t, 43, func(t *rapid.T) {
		limiter := NewSendLimiter[int](start)
		now := start
		open := make(map[port.RequestID]bool)
		end := func(id port.RequestID) {
			if !open[id] {
				t.Fatalf("%s ended twice or was not accepted", id)
			}
			delete(open, id)
		}
		endAll := func(ended []Unserved[int]) {
			for _, unserved := range ended {
				end(unserved.Item.ID)
				if unserved.Error.Verdict != port.NotRun {
					t.Fatalf("%s ended with %v", unserved.Item.ID, unserved.Error)
				}
			}
		}
		for step := range 80 {
			now = now.Add(time.Duration(rapid.IntRange(-20, 100).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1, 2:
				item := testItem{
					ID: port.RequestID(fmt.Sprint(step)), Tenant: port.TenantName(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "tenant")),
					Priority: port.Priority(rapid.IntRange(0, 1).Draw(t, "priority")), Deadline: now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "left")) * time.Millisecond),
				}
				aim := time.Duration(rapid.SampledFrom([]int{-1, 0, 150}).Draw(t, "aim")) * time.Millisecond
				refusal := limiter.Offer(now, item, aim)
				if refusal == nil {
					open[item.ID] = true
				} else if refusal.Verdict != port.NotRun || refusal.RetryAfter < minSendRetryAfter || refusal.RetryAfter > maxSendRetryAfter || ReasonOf(refusal) == "" {
					t.Fatalf("refused with %v, retry after %v", refusal, refusal.RetryAfter)
				}
			case 3:
				if item, found := limiter.Next(now); found {
					end(item.ID)
					if !now.Before(item.Deadline) {
						t.Fatalf("%s sent after its deadline", item.ID)
					}
				}
			case 4:
				endAll(limiter.Expire(now))
			case 5:
				limiter.Observe(now, TryResult{Latency: time.Duration(rapid.IntRange(0, 300).Draw(t, "latency")) * time.Millisecond,
					Refused: rapid.Bool().Draw(t, "refused"), Aim: testAim})
			case 6:
				id := port.RequestID(fmt.Sprint(rapid.IntRange(0, step).Draw(t, "cancel")))
				if _, found := limiter.Cancel(id); found {
					end(id)
				}
			}
			if wake := limiter.WakeAt(now); wake.IsZero() != (limiter.Status().Waiting == 0) {
				t.Fatalf("wakes at %v with %d waiting", wake, limiter.Status().Waiting)
			}
		}
		endAll(limiter.Drain())
		if len(open) != 0 || limiter.Status().Waiting != 0 {
			t.Fatalf("%d requests never ended", len(open))
		}
	})
}

// TestLateRequestsWaitForOverloadToEnd guards against requests that came back after a refusal and
// make new ones late.
func TestLateRequestsWaitForOverloadToEnd(t *testing.T) {
	for _, row := range []struct {
		name    string
		latency time.Duration
		sent    bool
	}{
		{"signs of overload", testAim, false},
		{"none", testWork, true},
	} {
		limiter, now := newLimited(10, 0), start
		for range 50 {
			now = now.Add(50 * time.Millisecond)
			limiter.Observe(now, TryResult{Latency: row.latency, Aim: testAim})
		}
		limiter.rate.rate, limiter.rate.permits = 10, minBurst
		err := limiter.Offer(now, testItem{ID: "back", Deadline: now.Add(time.Second)}, -1)
		if (err == nil) != row.sent {
			t.Errorf("%s: %v", row.name, err)
		}
		if err != nil && ReasonOf(err) != ReasonQueue {
			t.Errorf("%s: reason %q", row.name, ReasonOf(err))
		}
		if err := limiter.Offer(now, testItem{ID: "new", Deadline: now.Add(time.Second)}, testAim); err != nil {
			t.Errorf("%s: a new request: %v", row.name, err)
		}
	}
}

// TestLateRequestsAreSentOnceSignsAreOld guards against a sender that is offered only late requests:
// while it refused all of them, no answer could end the signs of overload.
func TestLateRequestsAreSentOnceSignsAreOld(t *testing.T) {
	limiter, now := newLimited(10, 0), start
	for range 50 {
		now = now.Add(50 * time.Millisecond)
		limiter.Observe(now, TryResult{Latency: testAim, Aim: testAim})
	}
	last, sent := now, 0
	for index := range 40 {
		now = now.Add(50 * time.Millisecond)
		item := testItem{ID: port.RequestID(fmt.Sprint(index)), Deadline: now.Add(time.Second)}
		refusal := limiter.Offer(now, item, -1)
		if refusal == nil && now.Sub(last) <= signalLifetime {
			t.Fatalf("accepted %v after a sign of overload", now.Sub(last))
		}
		if sendAll(limiter, now) != "" {
			sent++
		}
		limiter.Expire(now)
	}
	if sent == 0 {
		t.Error("no late request was sent within 2 s after the last sign of overload")
	}
}

// TestDifferentAimsAreNoOverload guards against a limit without overload on a service whose routes
// have different latency targets, or none.
func TestDifferentAimsAreNoOverload(t *testing.T) {
	for _, row := range []struct {
		name  string
		other TryResult
	}{
		{"longer aim", TryResult{Latency: 600 * time.Millisecond, Aim: 2 * time.Second}},
		{"no aim", TryResult{Latency: 5 * time.Second}},
	} {
		limiter, now := NewSendLimiter[int](start), start
		for index := range 2000 {
			now = now.Add(20 * time.Millisecond)
			result := TryResult{Latency: testWork, Aim: testAim}
			if index%2 == 1 {
				result = row.other
			}
			limiter.Observe(now, result)
			if limiter.Status().Limited {
				t.Errorf("%s: limited after %d answers", row.name, index+1)
				break
			}
		}
	}
}

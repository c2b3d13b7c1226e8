package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

var start = time.UnixMilli(1_700_000_000_000)

type testItem = Item[int]

func after(duration time.Duration) time.Time { return start.Add(duration) }

// drainOrder removes all requests from the queue and returns their ids in order.
func drainOrder(queue *Queue[int], now time.Time) string {
	served := ""
	for {
		item, found := queue.Next(now)
		if !found {
			return served
		}
		served += string(item.ID)
	}
}

func TestOrder(t *testing.T) {
	tests := map[string]struct {
		items []testItem
		want  string
	}{
		"first come, first served": {[]testItem{{ID: "a"}, {ID: "b"}, {ID: "c"}}, "abc"},
		"priority first":           {[]testItem{{ID: "a"}, {ID: "b", Priority: 5}, {ID: "c", Priority: -1}}, "bac"},
		"earliest deadline first": {[]testItem{
			{ID: "a"}, {ID: "b", Deadline: after(2 * time.Second)}, {ID: "c", Deadline: after(time.Second)}}, "cba"},
		"tenants alternate": {[]testItem{
			{ID: "a", Tenant: "x"}, {ID: "b", Tenant: "x"}, {ID: "c", Tenant: "x"}, {ID: "d", Tenant: "y"}, {ID: "e", Tenant: "y"}}, "adbec"},
		"shares are weights": {[]testItem{
			{ID: "a", Tenant: "x", TenantShare: 1}, {ID: "b", Tenant: "x", TenantShare: 1}, {ID: "c", Tenant: "x", TenantShare: 1},
			{ID: "d", Tenant: "y", TenantShare: 0.5}, {ID: "e", Tenant: "y", TenantShare: 0.5}}, "adbce"},
		"priority before fairness": {[]testItem{
			{ID: "a", Tenant: "x", Priority: 1}, {ID: "b", Tenant: "x", Priority: 1}, {ID: "c", Tenant: "y"}}, "abc"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			queue := NewQueue[int](Config{Length: 10})
			for _, item := range test.items {
				if refusal := queue.Offer(start, item); refusal != nil {
					t.Fatalf("offer %s: %v", item.ID, refusal)
				}
			}
			if got := drainOrder(queue, start); got != test.want {
				t.Errorf("served %s, want %s", got, test.want)
			}
		})
	}
}

// TestNextFittingSkips checks that a skipped request keeps its position and its tenant's
// virtual time.
func TestNextFittingSkips(t *testing.T) {
	queue := NewQueue[int](Config{Length: 10})
	for index, name := range []string{"a", "b", "c", "d", "e"} {
		tenant := port.TenantName([]string{"x", "x", "x", "y", "y"}[index])
		queue.Offer(start, testItem{ID: port.RequestID(name), Tenant: tenant, Value: index})
	}
	queue.Offer(start, testItem{ID: "f", Priority: 1, Value: 5})
	fits := func(values ...int) func(*testItem) bool {
		return func(item *testItem) bool { return slices.Contains(values, item.Value) }
	}
	if _, found := queue.NextFitting(start, 3, fits(4)); found {
		t.Error("tested more requests than the limit")
	}
	if item, _ := queue.NextFitting(start, 10, fits(3, 1)); item.ID != "d" {
		t.Errorf("got %s, want d: tenants alternate among the tested requests", item.ID)
	}
	if _, found := queue.NextFitting(start, 10, fits(9)); found || queue.Len() != 5 {
		t.Errorf("got a request that does not fit; %d are waiting", queue.Len())
	}
	if got := drainOrder(queue, start); got != "fabec" {
		t.Errorf("then served %s, want fabec: f by priority, the others as if none had been skipped", got)
	}
}

func TestRefusals(t *testing.T) {
	waiting := []testItem{{ID: "a", Tenant: "x"}, {ID: "b", Tenant: "y"}, {ID: "c", Tenant: "y"}}
	tests := map[string]struct {
		length int
		offer  testItem
		want   port.Code
		ended  string
	}{
		"free slot":                    {4, testItem{ID: "d"}, "", ""},
		"full":                         {3, testItem{ID: "d"}, port.CodeQueueFull, ""},
		"full, higher priority evicts": {3, testItem{ID: "d", Tenant: "z", Priority: 1}, "", "c"},
		"full, lower priority":         {3, testItem{ID: "d", Priority: -1}, port.CodeQueueFull, ""},
		"tenant over its share":        {4, testItem{ID: "d", Tenant: "y", TenantShare: 0.5}, port.CodeQueueFull, ""},
		"tenant within its share":      {4, testItem{ID: "d", Tenant: "x", TenantShare: 0.5}, "", ""},
		"deadline passed":              {4, testItem{ID: "d", Deadline: start}, port.CodeDeadline, ""},
		"same id twice":                {4, testItem{ID: "a"}, port.CodeConflict, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			queue := NewQueue[int](Config{Length: test.length})
			for _, item := range waiting {
				queue.Offer(start, item)
			}
			refusal := queue.Offer(start, test.offer)
			code := port.Code("")
			if refusal != nil {
				code = refusal.Code
				if refusal.Verdict != port.NotRun {
					t.Errorf("refused with verdict %s", refusal.Verdict)
				}
				if code != port.CodeConflict && refusal.RetryAfter <= 0 {
					t.Error("refused without RetryAfter")
				}
			}
			if code != test.want {
				t.Errorf("refusal %v, want code %q", refusal, test.want)
			}
			ended := ""
			for _, entry := range queue.Expire(start) {
				ended += string(entry.Item.ID)
				if entry.Error.Verdict != port.NotRun {
					t.Errorf("%s ended with verdict %s", entry.Item.ID, entry.Error.Verdict)
				}
			}
			if ended != test.ended {
				t.Errorf("ended %q, want %q", ended, test.ended)
			}
		})
	}
}

// newBackloggedQueue returns a queue with five waiting requests. It drains one request
// every 100 ms, and each request takes a second of service.
func newBackloggedQueue(t *testing.T) (*Queue[int], time.Time) {
	t.Helper()
	queue := NewQueue[int](Config{Length: 100})
	now := start
	for index := range 15 {
		queue.Offer(now, testItem{ID: port.RequestID(fmt.Sprint(index))})
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		queue.Next(now)
		queue.ObserveService(time.Second)
	}
	return queue, now
}

func TestUnattainableDeadlineIsRefusedImmediately(t *testing.T) {
	tests := map[string]struct {
		remaining time.Duration
		priority  port.Priority
		refused   bool
	}{
		"wait and service fit":                {1600 * time.Millisecond, 0, false},
		"service does not fit":                {1400 * time.Millisecond, 0, true},
		"ahead of all by priority":            {1100 * time.Millisecond, 1, false},
		"service alone does not fit":          {900 * time.Millisecond, 1, true},
		"behind requests of higher priority":  {1400 * time.Millisecond, -1, true},
		"lower priority with a late deadline": {time.Minute, -1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			queue, now := newBackloggedQueue(t)
			refusal := queue.Offer(now, testItem{ID: "new", Priority: test.priority, Deadline: now.Add(test.remaining)})
			if (refusal != nil) != test.refused {
				t.Fatalf("refusal %v, want refused %v", refusal, test.refused)
			}
			if refusal != nil && refusal.RetryAfter != 500*time.Millisecond {
				t.Errorf("retry after %v, want the 500ms in which five requests leave", refusal.RetryAfter)
			}
		})
	}
}

func TestStalledQueueEstimatesItsStall(t *testing.T) {
	queue, now := newBackloggedQueue(t)
	if got := queue.EstimatedWait(now.Add(10*time.Second), 0); got != 50*time.Second {
		t.Errorf("estimated wait %v after a stall of 10s with five waiting, want 50s", got)
	}
}

func TestIdleTimeDoesNotCountAsSlow(t *testing.T) {
	queue := NewQueue[int](Config{Length: 10})
	for index := range 20 {
		now := after(time.Duration(index) * time.Minute)
		queue.Offer(now, testItem{ID: "a"})
		queue.Next(now)
	}
	queue.Offer(after(time.Hour), testItem{ID: "b"})
	if got := queue.EstimatedWait(after(time.Hour), 0); got != 0 {
		t.Errorf("estimated wait %v after idle time, want 0", got)
	}
}

// TestQueueInvariants checks that the length limit holds, no expired request is served, and
// each accepted request ends exactly once.
func TestQueueInvariants(t *testing.T) {
	const length = 6
	testkit.Check(t, 41, func(t *rapid.T) {
		queue := NewQueue[int](Config{Length: length})
		now := start
		ends := make(map[port.RequestID]int)
		accepted := make(map[port.RequestID]bool)
		end := func(id port.RequestID) {
			ends[id]++
			if ends[id] > 1 || !accepted[id] {
				t.Fatalf("%s ended %d times, accepted %v", id, ends[id], accepted[id])
			}
		}
		for step := range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				item := testItem{
					ID: port.RequestID(fmt.Sprint(step)), Tenant: port.TenantName(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "tenant")),
					Priority: port.Priority(rapid.IntRange(0, 2).Draw(t, "priority")), TenantShare: 0.5,
				}
				if rapid.Bool().Draw(t, "bounded") {
					item.Deadline = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "left")) * time.Millisecond)
				}
				if refusal := queue.Offer(now, item); refusal == nil {
					accepted[item.ID] = true
				} else if refusal.Verdict != port.NotRun {
					t.Fatalf("refused with %s", refusal.Verdict)
				}
			case 3:
				if item, found := queue.Next(now); found {
					end(item.ID)
					if !item.Deadline.IsZero() && !now.Before(item.Deadline) {
						t.Fatalf("served %s after its deadline", item.ID)
					}
				}
			case 4:
				for _, ended := range queue.Expire(now) {
					end(ended.Item.ID)
					if ended.Error.Verdict != port.NotRun {
						t.Fatalf("%s ended with %s", ended.Item.ID, ended.Error.Verdict)
					}
				}
			case 5:
				id := port.RequestID(fmt.Sprint(rapid.IntRange(0, step).Draw(t, "cancel")))
				if _, found := queue.Cancel(id); found {
					end(id)
				}
			}
			if queue.Len() > length {
				t.Fatalf("%d are waiting, limit %d", queue.Len(), length)
			}
		}
		for _, ended := range queue.Drain() {
			end(ended.Item.ID)
			if ended.Error.Verdict != port.NotRun {
				t.Fatalf("%s ended with %s", ended.Item.ID, ended.Error.Verdict)
			}
		}
		if queue.Len() != 0 || len(ends) != len(accepted) {
			t.Fatalf("%d accepted, %d ended, %d still queued", len(accepted), len(ends), queue.Len())
		}
	})
}

func BenchmarkOfferNext(b *testing.B) {
	queue := NewQueue[int](Config{Length: 1000})
	for index := range 500 {
		queue.Offer(start, testItem{ID: port.RequestID(fmt.Sprint(index)), Tenant: port.TenantName(fmt.Sprint(index % 10))})
	}
	b.ReportAllocs()
	for b.Loop() {
		item, _ := queue.Next(start)
		queue.Offer(start, item)
	}
}

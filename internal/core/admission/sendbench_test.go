package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Size of the benchmarked backlog.
const (
	benchWaiting = 10_000
	benchTenants = 80
)

// newBacklog returns a limiter with 10,000 waiting requests of 80 tenants.
func newBacklog(b *testing.B) (*SendLimiter[int], []testItem) {
	b.Helper()
	limiter := newLimited(2*benchWaiting, minBurst)
	items := make([]testItem, 0, benchWaiting)
	for index := range benchWaiting {
		items = append(items, testItem{
			ID: port.RequestID(fmt.Sprint(index)), Tenant: port.TenantName(fmt.Sprint("tenant", index%benchTenants)),
			Deadline: after(time.Minute + time.Duration(index)*time.Microsecond),
		})
		if refusal := limiter.Offer(start, items[index], time.Second); refusal != nil {
			b.Fatal(refusal)
		}
	}
	return limiter, items
}

func BenchmarkSendLimiterOfferNext(b *testing.B) {
	limiter, _ := newBacklog(b)
	limiter.rate.permits = 1e12
	b.ReportAllocs()
	for b.Loop() {
		item, found := limiter.Next(start)
		if !found {
			b.Fatal("none is sent")
		}
		if refusal := limiter.Offer(start, item, time.Second); refusal != nil {
			b.Fatal(refusal)
		}
	}
}

// BenchmarkSendLimiterRefuse measures an Offer that finds no room and refuses the new request.
func BenchmarkSendLimiterRefuse(b *testing.B) {
	limiter, _ := newBacklog(b)
	limiter.rate.rate = benchWaiting / 2
	item := testItem{ID: "new", Tenant: "tenant1"}
	b.ReportAllocs()
	for b.Loop() {
		if limiter.Offer(start, item, time.Second) == nil {
			b.Fatal("not refused")
		}
	}
}

func BenchmarkSendLimiterObserve(b *testing.B) {
	limiter, _ := newBacklog(b)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		limiter.Observe(now, TryResult{Latency: testWork, Aim: testAim})
	}
}

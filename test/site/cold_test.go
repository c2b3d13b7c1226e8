package site_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// TestColdReplicasGetFewRequests: a cold replica, and one whose zone was just undrained, gets
// no more requests per second than the warmup limit, whatever the number of fronts; the
// fronts reject the others immediately.
func TestColdReplicasGetFewRequests(t *testing.T) {
	const rate, limit = 4, 4*1.5 + 5
	s := newSite(t, 3, 0)
	s.plainFields = fmt.Sprintf(`,"warmupS":1.5,"warmupPerS":%d`, rate)
	s.start()
	for i := range 4 {
		s.startFront(&process{name: fmt.Sprint("further-front-", i)})
	}
	s.configure()
	replica := inZone(sitestandin.NewReplica(t, "i-cold", plain), "a")
	s.add(replica)
	waitUntil(t, "the number of senders is in the view", func() bool { return s.fronts[0].watcher.View().Senders >= uint32(len(s.fronts)) })
	sendLoad := func(name string, lasts time.Duration) (served, rejected int) {
		var group sync.WaitGroup
		var mutex sync.Mutex
		end := time.Now().Add(lasts)
		for i, p := range s.fronts {
			group.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					status, _, header := do(http.MethodPost, p.http.URL+"/plain/x", host, http.Header{
						sitestandin.Headers.RequestID: {fmt.Sprint(name, "-", i, "-", n)}, sitestandin.Headers.Deadline: {"1000"},
					}, nil)
					mutex.Lock()
					switch {
					case status == http.StatusOK:
						served++
					case status == http.StatusServiceUnavailable && header.Get("Retry-After") != "":
						rejected++
					default:
						t.Errorf("%s: status %d", name, status)
					}
					mutex.Unlock()
				}
			})
		}
		group.Wait()
		return served, rejected
	}
	checkRate := func(name string, from, to time.Time) {
		t.Helper()
		var at []time.Time
		for _, arrival := range replica.Arrivals() {
			if arrival.At.After(from) && arrival.At.Before(to) {
				at = append(at, arrival.At)
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		for first := range at {
			count := 0
			for _, other := range at[first:] {
				if other.Sub(at[first]) < time.Second {
					count++
				}
			}
			if count > limit {
				t.Fatalf("%s: %d requests within a second, limit %v", name, count, limit)
			}
		}
	}
	const cold = 1500 * time.Millisecond
	replica.SetWarmupLeft(cold)
	s.sendHeartbeat(replica)
	waitUntil(t, "the replica is cold in the views of all fronts", func() bool {
		return !slices.ContainsFunc(s.fronts, func(p *process) bool { return p.watcher.View().ColdRemaining(replica.ID, time.Now()) == 0 })
	})
	start := time.Now()
	if _, rejected := sendLoad("cold", time.Second); rejected == 0 {
		t.Error("nothing is rejected although the only replica is cold")
	}
	checkRate("cold", start, start.Add(time.Second))
	replica.SetWarmupLeft(0)
	waitUntil(t, "the replica is warm", func() bool {
		served, rejected := sendLoad(fmt.Sprint("warm-", time.Now().UnixNano()), 20*time.Millisecond)
		return rejected == 0 && served > 0
	})
	// After an undrain the fronts treat replicas as cold, without a report from them.
	s.drain("a", false)
	s.waitDrained("a", true)
	s.drain("a", true)
	s.waitDrained("a", false)
	undrained := time.Now()
	sendLoad("back", time.Second)
	checkRate("after the undrain", undrained, undrained.Add(time.Second))
}

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

// TestColdReplicasGetFewRequests: a replica that says it is cold, and one whose zone was just
// taken back, gets no more in any second than cold ones bear, however many fronts have
// requests for it; what they refuse they refuse at once.
func TestColdReplicasGetFewRequests(t *testing.T) {
	const rate, bound = 4, 4*1.5 + 5
	s := newSite(t, 3, 0)
	s.plainFields = fmt.Sprintf(`,"warmupS":1.5,"warmupPerS":%d`, rate)
	s.start()
	for i := range 4 {
		s.startFront(&process{name: fmt.Sprint("further-front-", i)})
	}
	s.configure()
	replica := inZone(sitestandin.NewReplica(t, "i-cold", plain), "a")
	s.add(replica)
	until(t, "the number of senders is known", func() bool { return s.fronts[0].watcher.View().Senders >= uint32(len(s.fronts)) })
	storm := func(name string, lasts time.Duration) (served, refused int) {
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
						refused++
					default:
						t.Errorf("%s: status %d", name, status)
					}
					mutex.Unlock()
				}
			})
		}
		group.Wait()
		return served, refused
	}
	within := func(name string, from, until time.Time) {
		t.Helper()
		var at []time.Time
		for _, arrival := range replica.Arrivals() {
			if arrival.At.After(from) && arrival.At.Before(until) {
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
			if count > bound {
				t.Fatalf("%s: %d requests within a second, %v are borne", name, count, bound)
			}
		}
	}
	const cold = 1500 * time.Millisecond
	replica.Cool(cold)
	s.beat(replica)
	until(t, "the fronts know that it is cold", func() bool {
		return !slices.ContainsFunc(s.fronts, func(p *process) bool { return p.watcher.View().ColdLeft(replica.ID, time.Now()) == 0 })
	})
	began := time.Now()
	if _, refused := storm("cold", time.Second); refused == 0 {
		t.Error("nothing is refused although the only replica is cold")
	}
	within("cold", began, began.Add(time.Second))
	replica.Cool(0)
	until(t, "it is warm", func() bool {
		served, refused := storm(fmt.Sprint("warm-", time.Now().UnixNano()), 20*time.Millisecond)
		return refused == 0 && served > 0
	})
	// Nobody is told that it is cold when its zone comes back.
	s.drain("a", false)
	s.awaitDrained("a", true)
	s.drain("a", true)
	s.awaitDrained("a", false)
	back := time.Now()
	storm("back", time.Second)
	within("after its zone came back", back, back.Add(time.Second))
}

package site_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// reporting starts a site that reports usage, with the provider's behaviour.
func reporting(t *testing.T, behave func(n int) int) (*site, *sitestandin.Provider) {
	cloud := sitestandin.NewProvider(t)
	cloud.Behave = behave
	s := newSite(t, 3, 0)
	s.tenants, s.provider = twoTenants, cloud
	for _, p := range s.controls {
		s.startControl(p, true)
	}
	s.startFront(&process{name: "front-0"})
	s.configure()
	s.add(sitestandin.NewReplica(t, "i-plain", plain))
	return s, cloud
}

// sendKeyed sends requests of both tenants: twice as many of the first.
func (s *site) sendKeyed(count int) {
	s.t.Helper()
	for i := range count {
		for key, times := range map[string]int{"key-a1": 2, "key-b": 1} {
			for n := range times {
				if status, body := s.callWith(http.MethodPost, "/plain/x", fmt.Sprint(key, i, n, time.Now().UnixNano()), keyed(key)); status != http.StatusOK {
					s.t.Fatalf("status %d %s", status, body)
				}
			}
		}
	}
}

// reported waits until the provider has so many requests of each tenant, and then for a
// further window.
func reported(t *testing.T, cloud *sitestandin.Provider, ada, bob uint64) {
	t.Helper()
	sums := map[string]uint64{}
	until(t, fmt.Sprintf("%d and %d requests reported", ada, bob), func() bool {
		counts, differ := cloud.Taken()
		if differ {
			t.Fatal("a window was sent with different counts")
		}
		clear(sums)
		for _, window := range counts {
			for tenant, count := range window {
				sums[tenant] += count
			}
		}
		return sums["ada"] >= ada && sums["bob"] >= bob
	})
	before := len(cloud.Calls())
	until(t, "a further report", func() bool { return len(cloud.Calls()) > before })
	if sums["ada"] != ada || sums["bob"] != bob || len(sums) != 2 {
		t.Errorf("reported %v, want %d and %d", sums, ada, bob)
	}
}

// TestUsageIsReportedOnce: each request in one window, each window with the same counts
// however often it has to be sent.
func TestUsageIsReportedOnce(t *testing.T) {
	for name, behave := range map[string]func(n int) int{
		"sound":                nil,
		"answers are lost":     func(n int) int { return []int{0, 0, http.StatusOK}[n%3] },
		"busy":                 func(n int) int { return []int{http.StatusTooManyRequests, http.StatusOK}[n%2] },
		"down for some calls":  func(n int) int { return map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusOK}[n < 4] },
		"lost answer, then no": func(n int) int { return []int{0, http.StatusServiceUnavailable, http.StatusOK}[n%3] },
	} {
		t.Run(name, func(t *testing.T) {
			s, cloud := reporting(t, behave)
			s.sendKeyed(20)
			reported(t, cloud, 40, 20)
		})
	}
}

// TestUsageOutlivesItsLeader: what a front was told is kept is not lost with any member,
// and a new leader goes on with a higher token once the one before can act no more.
func TestUsageOutlivesItsLeader(t *testing.T) {
	s, cloud := reporting(t, nil)
	s.sendKeyed(10)
	until(t, "a first report", func() bool { return len(cloud.Calls()) > 0 })
	first := cloud.Calls()[0]
	for _, p := range s.controls {
		if p.name == first.Holder {
			p.powerOff()
		}
	}
	s.sendKeyed(10)
	reported(t, cloud, 40, 20)
	last := first
	for _, call := range cloud.Calls() {
		if call.Holder != last.Holder {
			if call.Fence <= last.Fence {
				t.Errorf("%s has token %d after %s with %d", call.Holder, call.Fence, last.Holder, last.Fence)
			}
			if gap := call.At.Sub(last.At); gap < s.holderLease {
				t.Errorf("a new holder acted %v after the one before, within the lease", gap)
			}
		}
		last = call
	}
	if last.Holder == first.Holder {
		t.Error("no other machine took over")
	}
}

// TestUsageOutlivesTheLossOfAllPower: windows that were kept are reported by whoever leads
// afterwards.
func TestUsageOutlivesTheLossOfAllPower(t *testing.T) {
	var up atomic.Bool
	s, cloud := reporting(t, func(int) int {
		if up.Load() {
			return http.StatusOK
		}
		return http.StatusServiceUnavailable
	})
	s.sendKeyed(10)
	until(t, "a report that is refused", func() bool { return len(cloud.Calls()) > 0 })
	for _, p := range s.controls {
		p.powerOff()
	}
	for _, p := range s.controls {
		s.startControl(p, false)
	}
	up.Store(true)
	reported(t, cloud, 20, 10)
}

// TestALeaderThatIsLostBetweenCallAndAnswer: the provider has taken the report, nobody knows,
// and the next holder sends the same counts again.
func TestALeaderThatIsLostBetweenCallAndAnswer(t *testing.T) {
	taken := make(chan struct{})
	s, cloud := reporting(t, func(n int) int {
		if n == 0 {
			close(taken)
			return 0
		}
		return http.StatusOK
	})
	s.sendKeyed(10)
	<-taken
	first := cloud.Calls()[0]
	for _, p := range s.controls {
		if p.name == first.Holder {
			p.powerOff()
		}
	}
	reported(t, cloud, 20, 10)
	again := 0
	for _, call := range cloud.Calls()[1:] {
		if call.Window == first.Window {
			again++
		}
	}
	if again == 0 {
		t.Error("the window without an answer was not sent again")
	}
}

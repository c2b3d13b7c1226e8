package site_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// startReportingSite starts a site that reports usage; behave sets the provider's statuses.
func startReportingSite(t *testing.T, behave func(n int) int) (*site, *sitestandin.Provider) {
	cloud := sitestandin.NewProvider(t)
	cloud.Respond = behave
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

// sendTenantRequests sends requests of both tenants, twice as many of the first.
func (s *site) sendTenantRequests(count int) {
	s.t.Helper()
	for i := range count {
		for key, times := range map[string]int{"key-a1": 2, "key-b": 1} {
			for n := range times {
				if status, body := s.callWith(http.MethodPost, "/plain/x", fmt.Sprint(key, i, n, time.Now().UnixNano()), keyHeader(key)); status != http.StatusOK {
					s.t.Fatalf("status %d %s", status, body)
				}
			}
		}
	}
}

// checkReported waits for the given numbers of reported requests and one more report, and
// checks that no others were reported.
func checkReported(t *testing.T, cloud *sitestandin.Provider, ada, bob uint64) {
	t.Helper()
	sums := map[string]uint64{}
	waitUntil(t, fmt.Sprintf("%d and %d requests reported", ada, bob), func() bool {
		counts, differ := cloud.AcceptedCounts()
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
	waitUntil(t, "another report", func() bool { return len(cloud.Calls()) > before })
	if sums["ada"] != ada || sums["bob"] != bob || len(sums) != 2 {
		t.Errorf("reported %v, want %d and %d", sums, ada, bob)
	}
}

// TestUsageIsReportedOnce: each request is counted in one window, and retries of a window
// send the same counts.
func TestUsageIsReportedOnce(t *testing.T) {
	for name, behave := range map[string]func(n int) int{
		"no fault":                     nil,
		"responses are lost":           func(n int) int { return []int{0, 0, http.StatusOK}[n%3] },
		"busy":                         func(n int) int { return []int{http.StatusTooManyRequests, http.StatusOK}[n%2] },
		"unavailable for some calls":   func(n int) int { return map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusOK}[n < 4] },
		"lost response, then rejected": func(n int) int { return []int{0, http.StatusServiceUnavailable, http.StatusOK}[n%3] },
	} {
		t.Run(name, func(t *testing.T) {
			s, cloud := startReportingSite(t, behave)
			s.sendTenantRequests(20)
			checkReported(t, cloud, 40, 20)
		})
	}
}

// TestUsageSurvivesLossOfLeader: acknowledged counts survive the loss of a member, and a new
// leader reports with a higher token after the old lease has expired.
func TestUsageSurvivesLossOfLeader(t *testing.T) {
	s, cloud := startReportingSite(t, nil)
	s.sendTenantRequests(10)
	waitUntil(t, "a first report", func() bool { return len(cloud.Calls()) > 0 })
	first := cloud.Calls()[0]
	for _, p := range s.controls {
		if p.name == first.Holder {
			p.powerOff()
		}
	}
	s.sendTenantRequests(10)
	checkReported(t, cloud, 40, 20)
	last := first
	for _, call := range cloud.Calls() {
		if call.Holder != last.Holder {
			if call.Fence <= last.Fence {
				t.Errorf("%s has token %d after %s with %d", call.Holder, call.Fence, last.Holder, last.Fence)
			}
			if gap := call.At.Sub(last.At); gap < s.holderLease {
				t.Errorf("a new holder sent a report %v after the previous one, within the lease", gap)
			}
		}
		last = call
	}
	if last.Holder == first.Holder {
		t.Error("no other machine became the holder")
	}
}

// TestUsageSurvivesPowerFailure: stored windows are reported after a power failure of
// all control machines.
func TestUsageSurvivesPowerFailure(t *testing.T) {
	var up atomic.Bool
	s, cloud := startReportingSite(t, func(int) int {
		if up.Load() {
			return http.StatusOK
		}
		return http.StatusServiceUnavailable
	})
	s.sendTenantRequests(10)
	waitUntil(t, "a rejected report", func() bool { return len(cloud.Calls()) > 0 })
	for _, p := range s.controls {
		p.powerOff()
	}
	for _, p := range s.controls {
		s.startControl(p, false)
	}
	up.Store(true)
	checkReported(t, cloud, 20, 10)
}

// TestLeaderLostBeforeUsageResponse: when the holder is lost before it receives the
// provider's response, the next holder sends the same counts again.
func TestLeaderLostBeforeUsageResponse(t *testing.T) {
	received := make(chan struct{})
	s, cloud := startReportingSite(t, func(n int) int {
		if n == 0 {
			close(received)
			return 0
		}
		return http.StatusOK
	})
	s.sendTenantRequests(10)
	<-received
	first := cloud.Calls()[0]
	for _, p := range s.controls {
		if p.name == first.Holder {
			p.powerOff()
		}
	}
	checkReported(t, cloud, 20, 10)
	resent := 0
	for _, call := range cloud.Calls()[1:] {
		if call.Window == first.Window {
			resent++
		}
	}
	if resent == 0 {
		t.Error("the window without a response was not sent again")
	}
}

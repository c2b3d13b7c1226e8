package site_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// TestRequestsStayInTheirHomeRegions: requests of a route or tenant with allowed regions are
// served there only, and jobs stored there only; without replicas there they are rejected.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	s := newSite(t, 3, 6)
	s.zones = map[string]string{"h": "home", "o": "other", "z": "home"}
	s.storeZones = []string{"h", "o"}
	s.lmRoute = `,"allowedRegions":["home"],"public":true`
	s.extra = fmt.Sprintf(`,{"name":"r-home","hostname":"%s","pathPrefix":"/home/","routeType":"idempotent","timeoutMs":4000,"targetLatencyMs":400,"backend":"%s","maxAttempts":3,"allowedRegions":["home"],"public":true},
		{"name":"r-any","hostname":"%s","pathPrefix":"/any/","routeType":"idempotent","timeoutMs":4000,"targetLatencyMs":400,"backend":"%s","maxAttempts":3}`, host, plain, host, plain)
	s.tenants = `[{"name":"bound","apiKeys":["key-bound"],"allowedRegions":["other"]},{"name":"free","apiKeys":["key-free"]}]`
	s.start()
	s.configure()
	homePlain, otherPlain := inZone(sitestandin.NewReplica(t, "i-home", plain), "h"), inZone(sitestandin.NewReplica(t, "i-other", plain), "o")
	homeEngine, otherEngine := inZone(sitestandin.NewEngine(t, "i-lm-home", lm, model), "h"), inZone(sitestandin.NewEngine(t, "i-lm-other", lm, model), "o")
	s.add(homePlain, otherPlain, homeEngine, otherEngine)
	with := func(path, id, key string) (int, string) {
		header := http.Header{}
		if key != "" {
			header.Set(sitestandin.Headers.Key, key)
		}
		return s.callWith(http.MethodPost, path, id, header)
	}
	for n := range 12 {
		for name, row := range map[string]struct{ path, key, replica string }{
			"route":  {"/home/x", "", "i-home"},
			"tenant": {"/any/x", "key-bound", "i-other"},
		} {
			id := fmt.Sprint(name, "-", n)
			if status, body := with(row.path, id, row.key); status != http.StatusOK || body != sitestandin.ResponseBody(row.replica, id) {
				t.Fatalf("%s: %d %s", id, status, body)
			}
		}
	}
	// The allowed regions of route and tenant are disjoint.
	if status, _ := with("/home/x", "both", "key-bound"); status != http.StatusServiceUnavailable {
		t.Errorf("disjoint allowed regions: %d", status)
	}
	var ids []string
	for n := range 12 {
		ids = append(ids, fmt.Sprint("item-", n))
	}
	s.submit("job-home", job(0, ids...))
	view := s.fronts[0].watcher.View()
	shard := view.ShardOf(model)
	for _, store := range view.Stores {
		if store.Shard == shard && view.RegionOf(store.Zone) != "home" {
			t.Errorf("%s in region %s stores the job", store.Name, view.RegionOf(store.Zone))
		}
	}
	waitUntil(t, "all items of the job run", func() bool { return len(homeEngine.Arrivals()) >= len(ids) })
	if got := otherEngine.Arrivals(); len(got) > 0 {
		t.Errorf("%d items ran in the other region", len(got))
	}
	if status := s.drain("h", false); status != http.StatusOK {
		t.Fatalf("drain: %d", status)
	}
	s.waitDrained("h", true)
	if status, body := with("/home/x", "nowhere", ""); status != http.StatusServiceUnavailable || !strings.Contains(body, "home") {
		t.Errorf("with the home region drained: %d %s", status, body)
	}
}

// TestJobWithShardOutsideAllowedRegionsIsRejected: the front rejects a job whose only shard is outside
// the allowed regions.
func TestJobWithShardOutsideAllowedRegionsIsRejected(t *testing.T) {
	s := newSite(t, 3, 3)
	s.zones = map[string]string{"h": "home", "z": "other"}
	s.lmRoute = `,"allowedRegions":["home"]`
	s.start()
	s.configure()
	s.add(inZone(sitestandin.NewEngine(t, "i-lm", lm, model), "h"))
	waitUntil(t, "the only shard is bootstrapped", func() bool { return len(s.fronts[0].watcher.View().Shards) == 1 })
	status, _, _ := do(http.MethodPost, s.fronts[0].http.URL+"/jobs/submit", host, http.Header{sitestandin.Headers.RequestID: {"job"}}, job(0, "item"))
	if status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
	if got := s.fronts[0].watcher.View().ShardOf(model); got != sitestate.ShardNumber(0) {
		t.Errorf("the model was assigned to shard %d", got)
	}
}

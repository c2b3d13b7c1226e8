package site_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

const twoTenants = `[{"name":"ada","apiKeys":["key-a1","key-a2"]},{"name":"bob","apiKeys":["key-b"]}]`

// startTenantSite starts a site where all routes need a key, except for one public route.
func startTenantSite(t *testing.T) (s *site, plainReplica, engine *sitestandin.Replica) {
	s = newSite(t, 3, 3)
	s.tenants = twoTenants
	s.extra = fmt.Sprintf(`,{"name":"r-open","hostname":%q,"pathPrefix":"/open/","routeType":"idempotent","timeoutMs":4000,"targetLatencyMs":400,"backend":%q,"maxAttempts":3,"public":true}`, host, plain)
	s.start()
	s.configure()
	plainReplica, engine = sitestandin.NewReplica(t, "i-plain", plain), sitestandin.NewEngine(t, "i-lm", lm, model)
	s.add(plainReplica, engine)
	return s, plainReplica, engine
}

// callWith sends a client's request with additional headers.
func (s *site) callWith(method, path, id string, header http.Header) (int, string) {
	sent := header.Clone()
	if sent == nil {
		sent = http.Header{}
	}
	sent[sitestandin.Headers.RequestID] = []string{id}
	status, body, _ := do(method, s.fronts[0].http.URL+path, host, sent, []byte("body of "+id))
	return status, body
}

func keyHeader(keys ...string) http.Header { return http.Header{sitestandin.Headers.Key: keys} }

func TestRequestsCarryTheTenantOfTheirKeyAndNotTheKey(t *testing.T) {
	s, plainReplica, _ := startTenantSite(t)
	claimed := keyHeader("key-b")
	claimed[sitestandin.Headers.Tenant] = []string{"ada", "ada"}
	lower := http.Header{"x-loomgrade-key": {"key-a2"}, "x-loomgrade-tenant": {"bob"}}
	for name, row := range map[string]struct {
		path   string
		header http.Header
		status int
		tenant []string
	}{
		"a key":                              {"/plain/x", keyHeader("key-a1"), http.StatusOK, []string{"ada"}},
		"another key of the tenant":          {"/plain/x", keyHeader("key-a2"), http.StatusOK, []string{"ada"}},
		"another tenant is claimed":          {"/plain/x", claimed, http.StatusOK, []string{"bob"}},
		"headers in lower case":              {"/plain/x", lower, http.StatusOK, []string{"ada"}},
		"no key":                             {"/plain/x", nil, http.StatusUnauthorized, nil},
		"no key, but a tenant":               {"/plain/x", http.Header{sitestandin.Headers.Tenant: {"ada"}}, http.StatusUnauthorized, nil},
		"an unknown key":                     {"/plain/x", keyHeader("key-c"), http.StatusUnauthorized, nil},
		"an empty key":                       {"/plain/x", keyHeader(""), http.StatusUnauthorized, nil},
		"two keys":                           {"/plain/x", keyHeader("key-a1", "key-b"), http.StatusUnauthorized, nil},
		"a public route without a key":       {"/open/x", nil, http.StatusOK, nil},
		"a public route with a key":          {"/open/x", keyHeader("key-b"), http.StatusOK, []string{"bob"}},
		"a public route, a tenant claimed":   {"/open/x", http.Header{sitestandin.Headers.Tenant: {"ada"}}, http.StatusOK, nil},
		"a public route with an unknown key": {"/open/x", keyHeader("key-c"), http.StatusOK, nil},
		"no route":                           {"/none/x", keyHeader("key-a1"), http.StatusNotFound, nil},
	} {
		before := len(plainReplica.Arrivals())
		if status, body := s.callWith(http.MethodPost, row.path, "id of "+name, row.header); status != row.status {
			t.Errorf("%s: status %d %q, want %d", name, status, body, row.status)
		}
		arrived := plainReplica.Arrivals()[before:]
		if (len(arrived) == 1) != (row.status == http.StatusOK) {
			t.Errorf("%s: %d arrivals", name, len(arrived))
		}
		for _, got := range arrived {
			if len(got.Header[sitestandin.Headers.Key]) > 0 {
				t.Errorf("%s: the replica received a key", name)
			}
			if fmt.Sprint(got.Header[sitestandin.Headers.Tenant]) != fmt.Sprint(row.tenant) {
				t.Errorf("%s: tenant %q, want %q", name, got.Header[sitestandin.Headers.Tenant], row.tenant)
			}
		}
	}
}

// TestJobsBelongToTheirTenant: a tenant's job is accessible with all of its keys, also after
// the key that submitted it was revoked, and not to other tenants.
func TestJobsBelongToTheirTenant(t *testing.T) {
	s, _, engine := startTenantSite(t)
	engine.EventPause = 0
	waitUntil(t, "job accepted", func() bool {
		status, _, _ := do(http.MethodPost, s.fronts[0].http.URL+"/jobs/submit", host,
			http.Header{sitestandin.Headers.RequestID: {"job-1"}, sitestandin.Headers.Key: {"key-a1"}}, job(1, "item-1", "item-2"))
		return status == http.StatusAccepted
	})
	read := func(key string) int {
		status, _ := s.callWith(http.MethodGet, "/loomgrade/lots/job-1?sinceRevision=0", "r", keyHeader(key))
		return status
	}
	waitUntil(t, "results for the tenant", func() bool { return read("key-a1") == http.StatusOK })
	for name, want := range map[string]int{"key-a2": http.StatusOK, "key-b": http.StatusNotFound, "key-c": http.StatusUnauthorized} {
		if status := read(name); status != want {
			t.Errorf("read with %s: %d, want %d", name, status, want)
		}
	}
	if status, _, _ := do(http.MethodPost, s.fronts[0].http.URL+"/jobs/submit", host,
		http.Header{sitestandin.Headers.RequestID: {"job-1"}, sitestandin.Headers.Key: {"key-b"}}, job(1, "other")); status != http.StatusBadRequest {
		t.Errorf("another tenant's job under the same id: %d", status)
	}
	if status, _ := s.callWith(http.MethodDelete, "/loomgrade/lots/job-1", "d", keyHeader("key-b")); status != http.StatusNotFound {
		t.Errorf("ended by another tenant: %d", status)
	}
	waitUntil(t, "the items run", func() bool { return len(engine.Arrivals()) >= 2 })
	for _, arrival := range engine.Arrivals() {
		if got := arrival.Header.Get(sitestandin.Headers.Tenant); got != "ada" || arrival.Header.Get(sitestandin.Headers.Key) != "" {
			t.Errorf("an item arrived with tenant %q and key %q", got, arrival.Header.Get(sitestandin.Headers.Key))
		}
	}

	s.tenants = `[{"name":"ada","apiKeys":["key-a2"]},{"name":"bob","apiKeys":[]}]`
	s.configure()
	for name, want := range map[string]int{"key-a1": http.StatusUnauthorized, "key-a2": http.StatusOK, "key-b": http.StatusUnauthorized} {
		if status := read(name); status != want {
			t.Errorf("read with %s after keys were revoked: %d, want %d", name, status, want)
		}
	}
	if status, _ := s.callWith(http.MethodDelete, "/loomgrade/lots/job-1", "d", keyHeader("key-a2")); status != http.StatusOK {
		t.Errorf("ended by its tenant: %d", status)
	}
}

// TestRevokedKeyIsRejectedOnOpenConnections: a revoked key is rejected on open connections too.
func TestRevokedKeyIsRejectedOnOpenConnections(t *testing.T) {
	s, _, _ := startTenantSite(t)
	client := &http.Client{}
	call := func() int {
		request, _ := http.NewRequest(http.MethodGet, s.fronts[0].http.URL+"/plain/x", nil)
		request.Host = host
		request.Header.Set(sitestandin.Headers.Key, "key-b")
		request.Header.Set(sitestandin.Headers.RequestID, "kept")
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode
	}
	if status := call(); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	s.tenants = `[{"name":"ada","apiKeys":["key-a1"]},{"name":"bob","apiKeys":[]}]`
	s.configure()
	if status := call(); status != http.StatusUnauthorized {
		t.Errorf("with a revoked key: %d", status)
	}
}

func TestASharedKeyIsInvalid(t *testing.T) {
	s := newSite(t, 1, 0)
	s.toleratedLosses = 0
	s.startControl(s.controls[0], true)
	s.tenants = `[{"name":"ada","apiKeys":["same"]},{"name":"bob","apiKeys":["other","same"]}]`
	if status, body := s.callControl(http.MethodPut, "/loomgrade/config", s.configuration(3)); status != http.StatusBadRequest {
		t.Errorf("%d %s", status, body)
	}
}

// TestLogsContainNoKeys: logs of requests and jobs contain neither valid nor unknown keys.
func TestLogsContainNoKeys(t *testing.T) {
	var logs logRecorder
	s := newSite(t, 3, 3)
	s.logger = logs.logger
	s.tenants = twoTenants
	s.start()
	s.configure()
	s.add(sitestandin.NewReplica(t, "i-plain", plain), sitestandin.NewEngine(t, "i-lm", lm, model))
	for _, key := range []string{"key-a1", "key-b", "key-unknown"} {
		s.callWith(http.MethodPost, "/plain/x", "request with "+key[len("key-"):], keyHeader(key))
		s.callWith(http.MethodGet, "/loomgrade/lots/none", "read", keyHeader(key))
		s.callWith(http.MethodDelete, "/loomgrade/lots/none", "end", keyHeader(key))
	}
	waitUntil(t, "job accepted", func() bool {
		status, _, _ := do(http.MethodPost, s.fronts[0].http.URL+"/jobs/submit", host,
			http.Header{sitestandin.Headers.RequestID: {"job-1"}, sitestandin.Headers.Key: {"key-a2"}}, job(1, "item-1"))
		return status == http.StatusAccepted
	})
	s.close()
	written := logs.bytes.String()
	if cause := logs.cause("request with unknown"); !strings.Contains(cause, "no tenant with the key") {
		t.Errorf("cause %q", cause)
	}
	if !strings.Contains(written, "request.nokey") || !strings.Contains(written, "job.accepted") {
		t.Fatal("the lines of the requests are missing")
	}
	for _, key := range []string{"key-a1", "key-a2", "key-b", "key-unknown"} {
		if strings.Contains(written, key) {
			t.Errorf("a log line contains %s", key)
		}
	}
}

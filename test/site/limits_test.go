package site_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// smallItems returns the body of a job of small items.
func smallItems(count, bodyBytes int) []byte {
	items := make([]map[string]any, count)
	for i := range items {
		items[i] = map[string]any{"id": fmt.Sprintf("i%x", i), "path": "/jobs/", "group": fmt.Sprintf("g%x", i/8), "body": make([]byte, bodyBytes)}
	}
	body, _ := json.Marshal(map[string]any{"step": 1, "model": model, "minVersion": 1, "desired": 1, "requests": items})
	return body
}

// newLargeSite returns a site that accepts bodies of 32 MiB and has no replicas.
func newLargeSite(t *testing.T) *site {
	s := newSite(t, 3, 3)
	s.maxBodyBytes = 32 << 20
	s.budget = membudget.NewBudget(clientMemoryBytes)
	s.start()
	s.configure()
	s.waitStoreLeader()
	return s
}

// TestJobOfManyItemsIsKept guards against a job that is answered 202 and that no member can decode, in
// its log or in a snapshot.
func TestJobOfManyItemsIsKept(t *testing.T) {
	s := newLargeSite(t)
	sizes := []int{131_073, 8_192, 100_000}
	if raceDetector {
		sizes = []int{10_001, 8_192, 5_000} // larger ones take longer than the calls between processes may
	}
	for number, items := range sizes {
		id := fmt.Sprint("job-", number)
		s.submit(id, smallItems(items, 0))
		time.Sleep(time.Second)
		if status, read := s.read(id, 0); status != http.StatusOK || read.Total != items {
			t.Errorf("%d items: status %d, total %d", items, status, read.Total)
		}
	}
	for _, p := range s.stores {
		p.powerOff()
	}
	for _, p := range s.stores {
		s.startStore(p)
	}
	for number, items := range sizes {
		waitUntil(t, "the job after a loss of power", func() bool {
			status, read := s.read(fmt.Sprint("job-", number), 0)
			if status == http.StatusNotFound {
				t.Fatalf("job %d of %d items is lost", number, items)
			}
			return status == http.StatusOK && read.Total == items
		})
	}
}

// TestRequestsBeyondLimitsAreRefusedAtOnce guards against a request that no member can store and that is
// acknowledged, or answered as if a retry could succeed.
func TestRequestsBeyondLimitsAreRefusedAtOnce(t *testing.T) {
	s := newLargeSite(t)
	s.submit("first", job(1, "item-1"))
	valid := string(s.configuration(s.version + 1))
	padded := func(bytes int) []byte { return []byte(valid + strings.Repeat(" ", bytes)) }
	for name, row := range map[string]struct {
		method, path, id string
		body             []byte
		want             int
	}{
		"job larger than an entry":             {http.MethodPost, "/jobs/a", "a", smallItems(5_000, 1000), http.StatusRequestEntityTooLarge},
		"job larger than a message":            {http.MethodPost, "/jobs/b", "b", smallItems(9_000, 1000), http.StatusRequestEntityTooLarge},
		"job of too many items":                {http.MethodPost, "/jobs/c", "c", smallItems(300_000, 0), http.StatusRequestEntityTooLarge},
		"body above the configuration's limit": {http.MethodPost, "/jobs/e", "e", make([]byte, 32<<20+1), http.StatusRequestEntityTooLarge},
		"body far above the limit":             {http.MethodPost, "/plain/f", "f", make([]byte, 60<<20), http.StatusRequestEntityTooLarge},
		"id that is not text":                  {http.MethodPost, "/jobs/d", "\xff", job(1, "item-2"), http.StatusBadRequest},
		"read of an id that is not text":       {http.MethodGet, "/loomgrade/lots/%ff", "f", nil, http.StatusNotFound},
		"item of an id that is not text":       {http.MethodGet, "/loomgrade/items/%ff?id=%ff", "g", nil, http.StatusNotFound},
		"end of an id that is not text":        {http.MethodDelete, "/loomgrade/lots/%ff", "h", nil, http.StatusNotFound},
		"configuration larger than an entry":   {http.MethodPut, "/loomgrade/config", "", padded(5 << 20), http.StatusRequestEntityTooLarge},
		"configuration above a message":        {http.MethodPut, "/loomgrade/config", "", padded(9 << 20), http.StatusRequestEntityTooLarge},
	} {
		servers := []*process{s.fronts[0]}
		if row.id == "" {
			servers = s.controls
		}
		for _, p := range servers {
			status, answer, header := do(row.method, p.http.URL+row.path, host, http.Header{sitestandin.Headers.RequestID: {row.id}}, row.body)
			if status != row.want || header.Get("Retry-After") != "" {
				t.Errorf("%s, at %s: status %d, Retry-After %q, want %d: %.200s", name, p.name, status, header.Get("Retry-After"), row.want, answer)
			}
		}
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		if status, _ := s.read(id, 0); status != http.StatusNotFound {
			t.Errorf("job %s was refused: read answered %d", id, status)
		}
	}
	if jobstate.MaxSubmissionBytes > 4<<20 {
		t.Error("the jobs above are not beyond the limit")
	}
}

// TestItemThatCannotBeSentIsRefused guards against a job that is answered 202 though net/http or every replica
// rejects the request of an item. Such an item never completed, and each attempt blocked its replica.
func TestItemThatCannotBeSentIsRefused(t *testing.T) {
	s := newSite(t, 3, 3)
	s.start()
	s.configure()
	s.add(sitestandin.NewEngine(t, "i-lm", lm, model), sitestandin.NewReplica(t, "i-plain", plain))
	scored := func(scorer string) string {
		return `{"id":"x","path":"/jobs/x","group":"g","body":"","scorer":` + scorer + `}`
	}
	for name, row := range map[string]struct {
		item string
		want int
	}{
		"ordinary":                          {`{"id":"x","path":"/jobs/x?a=b","headers":{"X-A":"a\tb, \u00e9"},"body":""}`, http.StatusAccepted},
		"path with bytes beyond ASCII":      {`{"id":"x","path":"/jobs/\u00e9","body":""}`, http.StatusAccepted},
		"headers that net/http replaces":    {`{"id":"x","path":"/jobs/x","headers":{"Content-Length":"5","Host":"other"},"body":""}`, http.StatusAccepted},
		"header value with a line feed":     {`{"id":"x","path":"/jobs/x","headers":{"X-A":"a\nb"},"body":""}`, http.StatusBadRequest},
		"header name with a space":          {`{"id":"x","path":"/jobs/x","headers":{"X A":"a"},"body":""}`, http.StatusBadRequest},
		"path with a space":                 {`{"id":"x","path":"/jobs/a b","body":""}`, http.StatusBadRequest},
		"path with a line feed":             {`{"id":"x","path":"/jobs/a\r\nX: y","body":""}`, http.StatusBadRequest},
		"path with a bad escape":            {`{"id":"x","path":"/jobs/%zz","body":""}`, http.StatusBadRequest},
		"relative path":                     {`{"id":"x","path":"jobs/x","body":""}`, http.StatusBadRequest},
		"id with a line feed":               {`{"id":"x\ny","path":"/jobs/x","body":""}`, http.StatusBadRequest},
		"reward call":                       {scored(`{"id":"s","hostname":"` + host + `","path":"/plain/s","body":""}`), http.StatusAccepted},
		"reward call, path with a space":    {scored(`{"id":"s","hostname":"` + host + `","path":"/plain/s s","body":""}`), http.StatusBadRequest},
		"reward call, id with a line feed":  {scored(`{"id":"s\ns","hostname":"` + host + `","path":"/plain/s","body":""}`), http.StatusBadRequest},
		"reward call without an id":         {scored(`{"id":"","hostname":"` + host + `","path":"/plain/s","body":""}`), http.StatusBadRequest},
		"reward call, host with a space":    {scored(`{"id":"s","hostname":"a b","path":"/plain/s","body":""}`), http.StatusBadRequest},
		"reward call without a known route": {scored(`{"id":"s","hostname":"other.example","path":"/plain/s","body":""}`), http.StatusAccepted},
	} {
		id := strings.ReplaceAll(name, " ", "-")
		body := fmt.Appendf(nil, `{"step":1,"model":%q,"minVersion":1,"desired":1,"requests":[%s]}`, model, row.item)
		status, answer, header := do(http.MethodPost, s.fronts[0].http.URL+"/jobs/submit", host, http.Header{sitestandin.Headers.RequestID: {id}}, body)
		if status == http.StatusServiceUnavailable { // no shard has the model yet
			s.submit(id, body)
			status = http.StatusAccepted
		}
		if status != row.want || header.Get("Retry-After") != "" && row.want != http.StatusAccepted {
			t.Errorf("%s: status %d, Retry-After %q, want %d: %s", name, status, header.Get("Retry-After"), row.want, answer)
		}
		if row.want == http.StatusAccepted && name != "reward call without a known route" {
			if results := s.readAll(id).Results; len(results) != 1 || results[0].State != "completed" {
				t.Errorf("%s: results %+v", name, results)
			}
		}
	}
}

// TestStoredJobIsAcceptedWithoutItsBody guards against a large job whose client has no answer in time, sends it
// again, and has none in time again, since all of it is decoded and stored each time.
func TestStoredJobIsAcceptedWithoutItsBody(t *testing.T) {
	s := newLargeSite(t)
	s.submit("large", smallItems(30_000, 0))
	undecodable := make([]byte, 2<<20)
	for id, want := range map[string]int{"large": http.StatusAccepted, "unknown": http.StatusBadRequest} {
		status, answer, _ := do(http.MethodPost, s.fronts[0].http.URL+"/jobs/submit", host, http.Header{sitestandin.Headers.RequestID: {id}}, undecodable)
		if status != want {
			t.Errorf("job %q: status %d, want %d: %.100s", id, status, want, answer)
		}
	}
}

// TestModelNamesDoNotFillTheView guards against names of models in jobs that the control group keeps for
// good: a few long ones exceed a message, so that no process that starts gets a view of the site.
func TestModelNamesDoNotFillTheView(t *testing.T) {
	s := newLargeSite(t)
	s.submit("first", job(1, "item-1"))
	for number := range 4 {
		id := fmt.Sprint("long-", number)
		name := strings.Repeat(fmt.Sprint(number), 3_000_000)
		status, answer, header := do(http.MethodPost, s.fronts[0].http.URL+"/jobs/submit", host, http.Header{sitestandin.Headers.RequestID: {id}}, jobOf(name, 1, "item-"+id))
		if status != http.StatusBadRequest || header.Get("Retry-After") != "" {
			t.Errorf("job for a model with a name of %d bytes: status %d: %.100s", len(name), status, answer)
		}
	}
	published := fmt.Appendf(nil, `{"model":%q,"version":1}`, strings.Repeat("m", 3_000_000))
	if status, answer := s.callControl(http.MethodPost, "/loomgrade/version-put", published); status != http.StatusBadRequest {
		t.Errorf("version of a model with a long name: status %d: %.100s", status, answer)
	}
	s.fronts[0].kill()
	s.startFront(s.fronts[0])
	s.submit("second", job(1, "item-2"))
}

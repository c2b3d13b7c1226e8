package soak

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

const (
	host      = "soak.example"
	plain     = "plain-service"
	engines   = "lm-service"
	model     = "model-a"
	readyPath = "/loomgrade/readyz"

	holderLease = 1500 * time.Millisecond
	cancelTime  = 3 * time.Second
	callPause   = 40 * time.Millisecond
	jobPause    = 700 * time.Millisecond
	itemsOfAJob = 6
)

// traffic is callers, clients of jobs, an operator and replicas.
type traffic struct {
	site     *site
	book     *book
	replicas []*sitestandin.Replica
	client   *http.Client
}

func newTraffic(s *site) *traffic {
	tr := &traffic{site: s, book: newBook(), client: &http.Client{
		Timeout:   8 * time.Second,
		Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4},
	}}
	for i := range 2 {
		tr.replicas = append(tr.replicas, sitestandin.NewReplica(s.t, fmt.Sprint("i-plain-", i), plain))
	}
	for i := range 3 {
		engine := sitestandin.NewEngine(s.t, fmt.Sprint("i-lm-", i), engines, model)
		engine.EventPause, engine.Events = 20*time.Millisecond, 25
		tr.replicas = append(tr.replicas, engine)
	}
	return tr
}

func (tr *traffic) events() int { return tr.replicas[len(tr.replicas)-1].Events }

// do sends a request; status 0 is no answer.
func (tr *traffic) do(ctx context.Context, method, url string, header http.Header, body []byte) (int, string, http.Header) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", nil
	}
	request.Host = host
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := tr.client.Do(request)
	if err != nil {
		return 0, "", nil
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", nil
	}
	return response.StatusCode, string(read), response.Header
}

func (tr *traffic) front() string {
	fronts := tr.site.of("front")
	return "http://" + tr.site.address(fronts[rand.IntN(len(fronts))], tr.site.ports.caller)
}

func (tr *traffic) control() string {
	controls := tr.site.of("control")
	return "http://" + tr.site.address(controls[rand.IntN(len(controls))], tr.site.ports.control)
}

func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// call sends requests that may be repeated and such that may not.
func (tr *traffic) call(ctx context.Context, name string) {
	for i := 0; pause(ctx, callPause); i++ {
		kind, path := "call", "/plain/x"
		if i%2 == 1 {
			kind, path = "once", "/once/x"
		}
		id := fmt.Sprintf("%s-%s-%d", kind, name, i)
		status, body, header := tr.do(ctx, http.MethodPost, tr.front()+path, http.Header{
			sitestandin.Headers.RequestID: {id}, sitestandin.Headers.Deadline: {"2000"},
		}, []byte(id))
		tr.book.answered(id, status, body, header.Get(sitestandin.Headers.Signature))
		tr.book.count(fmt.Sprintf("%s %d", kind, status))
		if kind == "once" {
			tr.book.mutex.Lock()
			tr.book.once[id] = status
			tr.book.mutex.Unlock()
		}
	}
}

// beat sends a replica's heartbeats.
func (tr *traffic) beat(ctx context.Context, replica *sitestandin.Replica) {
	for ctx.Err() == nil {
		status, _, _ := tr.do(ctx, http.MethodPut, tr.control()+"/loomgrade/replicas/"+replica.ID, nil, replica.Heartbeat())
		if status == http.StatusOK && !pause(ctx, 600*time.Millisecond) {
			return
		}
	}
}

func configuration(version uint64) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"r-plain","hostname":"%s","pathPrefix":"/plain/","routeType":"idempotent","timeoutMs":2000,"targetLatencyMs":400,"backend":"%s","maxAttempts":3},
		{"name":"r-once","hostname":"%s","pathPrefix":"/once/","routeType":"non_idempotent","timeoutMs":6000,"targetLatencyMs":400,"backend":"%s","maxAttempts":3},
		{"name":"r-jobs","hostname":"%s","pathPrefix":"/jobs/","routeType":"rollout","timeoutMs":5000,"targetLatencyMs":400,"backend":"%s","maxAttempts":3,"runAimMs":7500,"keepS":120}],
		"services":[{"name":"%s","healthPath":"/healthz","maxConns":100},
		{"name":"%s","healthPath":"/healthz","maxConns":100,"engine":{"slots":4,"models":[{"name":"%s"}]}}],
		"limits":{"maxBodyBytes":1048576}}`, version, host, plain, host, plain, host, engines, plain, engines, model)
}

// operate changes the configuration and names weights, and reads back.
func (tr *traffic) operate(ctx context.Context) {
	version, weights := uint64(0), uint64(1)
	for round := 0; ctx.Err() == nil; round++ {
		version++
		body := configuration(version)
		for {
			status, _, _ := tr.do(ctx, http.MethodPut, tr.control()+"/loomgrade/config", nil, body)
			if status == http.StatusOK {
				tr.book.mutex.Lock()
				tr.book.acknowledged = version
				tr.book.mutex.Unlock()
				tr.book.count("configurations")
				break
			}
			if !pause(ctx, 100*time.Millisecond) {
				return
			}
		}
		tr.readBack(ctx)
		if round%4 == 3 {
			weights++
			tr.publish(ctx, weights)
		}
		if !pause(ctx, 600*time.Millisecond) {
			return
		}
	}
}

func (tr *traffic) publish(ctx context.Context, version uint64) {
	body := fmt.Appendf(nil, `{"model":"%s","version":%d}`, model, version)
	for {
		status, _, _ := tr.do(ctx, http.MethodPost, tr.control()+"/loomgrade/version-put", nil, body)
		if status == http.StatusOK {
			tr.book.count("weights published")
			return
		}
		if !pause(ctx, 100*time.Millisecond) {
			return
		}
	}
}

// readBack reads the configuration at any machine: it is never older than what
// was acknowledged before, and as it was sent.
func (tr *traffic) readBack(ctx context.Context) bool {
	tr.book.mutex.Lock()
	acknowledged := tr.book.acknowledged
	tr.book.mutex.Unlock()
	status, body, _ := tr.do(ctx, http.MethodGet, tr.control()+"/loomgrade/config", nil, nil)
	if status != http.StatusOK {
		return false
	}
	var read struct {
		Version uint64 `json:"version"`
	}
	switch err := json.Unmarshal([]byte(body), &read); {
	case err != nil:
		tr.book.fault("configuration read back: %v", err)
	case read.Version < acknowledged:
		tr.book.fault("version %d read back after %d was acknowledged", read.Version, acknowledged)
	case body != string(configuration(read.Version)):
		tr.book.fault("version %d differs from what was sent", read.Version)
	}
	return true
}

func (tr *traffic) submission(job *jobBook) []byte {
	var items []map[string]any
	for _, id := range job.items {
		items = append(items, map[string]any{
			"id": id, "path": "/jobs/run/" + id, "headers": map[string]string{}, "group": "g-" + job.id,
			"body": base64.StdEncoding.EncodeToString([]byte("prompt of " + id)),
			"scorer": map[string]string{
				"id": "score-" + id, "hostname": host, "path": "/plain/score", "body": base64.StdEncoding.EncodeToString([]byte("score")),
			},
		})
	}
	body, _ := json.Marshal(map[string]any{"step": 1, "model": model, "minVersion": 1, "desired": 1, "requests": items})
	return body
}

// follow is a job's client, until the context ends or all is read.
func (tr *traffic) follow(ctx context.Context, job *jobBook, early bool) {
	body := tr.submission(job)
	for {
		status, _, _ := tr.do(ctx, http.MethodPost, tr.front()+"/jobs/submit", http.Header{sitestandin.Headers.RequestID: {job.id}}, body)
		if status == http.StatusAccepted {
			tr.book.count("jobs accepted")
			break
		}
		if !pause(ctx, 150*time.Millisecond) {
			tr.book.mutex.Lock()
			job.items = nil // not known to be kept
			delete(tr.book.jobs, job.id)
			tr.book.mutex.Unlock()
			return
		}
	}
	if early && pause(ctx, 300*time.Millisecond) {
		tr.end(ctx, job)
		return
	}
	for !tr.read(ctx, job) && pause(ctx, 200*time.Millisecond) {
	}
}

// read reads from an earlier position on; it reports whether all is listed.
func (tr *traffic) read(ctx context.Context, job *jobBook) bool {
	from := 0
	if held := len(job.results); held > 0 {
		from = rand.IntN(held + 1)
	}
	status, body, _ := tr.do(ctx, http.MethodGet, fmt.Sprintf("%s/loomgrade/lots/%s?sinceRevision=%d", tr.front(), job.id, from), nil, nil)
	if status == http.StatusNotFound {
		tr.book.fault("job %s was accepted and is not known", job.id)
		return true
	}
	if status != http.StatusOK {
		return false
	}
	var page struct {
		Total   int      `json:"total"`
		Results []result `json:"results"`
	}
	if err := json.Unmarshal([]byte(body), &page); err != nil {
		tr.book.fault("job %s: %v", job.id, err)
		return true
	}
	tr.book.readPage(job, from, page.Total, page.Results, tr.events())
	return len(job.results) == len(job.items)
}

func (tr *traffic) end(ctx context.Context, job *jobBook) {
	for {
		status, _, _ := tr.do(ctx, http.MethodDelete, tr.front()+"/loomgrade/lots/"+job.id, nil, nil)
		if status == http.StatusOK {
			tr.book.mutex.Lock()
			job.ended = time.Now()
			tr.book.mutex.Unlock()
			tr.book.count("jobs ended")
			return
		}
		if !pause(ctx, 100*time.Millisecond) {
			return
		}
	}
}

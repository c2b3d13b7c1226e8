package clients

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

const (
	host  = "clients.example"
	plain = "plain-service"
	lm    = "lm-service"
	model = "model-a"

	readyPath = "/loomgrade/readyz"

	// Limits of the site's configuration.
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20

	heartbeatInterval = 500 * time.Millisecond
	// largeAnswerBytes is the length of the answer to a request below /large/.
	largeAnswerBytes = 1 << 20
	// heldBodyBytes is the length of the body of an item that stays open.
	heldBodyBytes = 1 << 20
	heldJob       = "job-held"
	// largeJob has results whose texts are of largeEvents events of largeEventBytes each.
	largeJob        = "job-large"
	largeItem       = "item-large"
	largeItems      = 3
	largeEvents     = 10
	largeEventBytes = 60_000
	heldItem        = "item-held"
	// streamEvents is the number of events of a stream, streamPause the time before each.
	streamEvents = 10
	streamPause  = 500 * time.Millisecond
)

// site is a running site. Each machine has an address of its own and the same ports.
type site struct {
	t         *testing.T
	processes map[string]*process
	addresses map[string]string // IP by process
	ports     ports
	version   atomic.Uint64
	requests  atomic.Uint64
	// megabytes is the memory of each machine.
	megabytes int
	stop      context.CancelFunc
}

// ports are the ports of a machine's listeners.
type ports struct{ peer, control, caller, ready, metrics int }

var (
	controlNames = []string{"control-0", "control-1", "control-2"}
	storeNames   = []string{"store-0", "store-1", "store-2"}
)

const frontName = "front-0"

// startSite starts a site whose front serves requests and jobs.
func startSite(t *testing.T) *site {
	t.Helper()
	build(t)
	ctx, stop := context.WithCancel(context.Background())
	s := &site{t: t, processes: map[string]*process{}, addresses: map[string]string{}, megabytes: machineMegabytes, stop: stop}
	subnet := 1 + rand.IntN(250)
	names := append(append(append([]string{}, controlNames...), storeNames...), frontName)
	for i, name := range names {
		s.addresses[name] = fmt.Sprintf("127.73.%d.%d", subnet, i+1)
	}
	s.ports = s.pickPorts()
	t.Cleanup(s.close)
	root := t.TempDir()
	for _, name := range names {
		s.add(root, name)
	}
	for _, name := range names {
		s.processes[name].start(t)
	}
	if err := eventually(s.checkConfiguration); err != nil {
		t.Fatal(err)
	}
	s.startReplicas(ctx)
	waitUntil(t, "the front is ready", func() bool { return s.checkReady() == nil })
	for _, check := range []func() error{s.checkRequest, s.checkJob} {
		if err := eventually(check); err != nil {
			t.Fatal(err)
		}
	}
	s.submitHeldJob()
	s.submitLargeJob()
	return s
}

func (s *site) close() {
	s.stop()
	for _, p := range s.processes {
		p.kill()
	}
}

// pickPorts picks ports that are free on all addresses.
func (s *site) pickPorts() ports {
	const minPort, span, count, tries = 20000, 10000, 5, 200
	for range tries {
		base := minPort + rand.IntN(span)
		if s.portsAreFree(base, count) {
			return ports{peer: base, control: base + 1, caller: base + 2, ready: base + 3, metrics: base + 4}
		}
	}
	s.t.Fatal("no free ports")
	return ports{}
}

func (s *site) portsAreFree(base, count int) bool {
	for _, address := range s.addresses {
		for port := base; port < base+count; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (s *site) address(name string, port int) string {
	return fmt.Sprintf("%s:%d", s.addresses[name], port)
}

// add prepares a process and its settings.
func (s *site) add(root, name string) {
	folder := filepath.Join(root, name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		s.t.Fatal(err)
	}
	role, _, _ := strings.Cut(name, "-")
	path := s.writeSettings(folder, name)
	s.processes[name] = &process{name: name, program: "loomgrade", arguments: []string{"site", role, path}, logPath: filepath.Join(folder, "log")}
}

// writeSettings writes the settings file of a process and returns its path.
func (s *site) writeSettings(folder, name string) string {
	var seeds []string
	for _, control := range controlNames {
		seeds = append(seeds, s.address(control, s.ports.control))
	}
	settings := map[string]any{
		"machine": name, "zone": "z", "ip": s.addresses[name], "peer_port": fmt.Sprint(s.ports.peer),
		"caller_listen": "", "readiness_listen": "", "control_listen": "", "metrics_listen": s.address(name, s.ports.metrics),
		"seeds": seeds, "first_start": true, "data_folder": "",
		"tolerated_losses": 1, "holder_lease_ms": 500, "grace_s": 8, "keep_jobs_s": 120, "memory_mb": machineMegabytes,
	}
	switch role, _, _ := strings.Cut(name, "-"); role {
	case "front":
		settings["caller_listen"] = s.address(name, s.ports.caller)
		settings["readiness_listen"] = s.address(name, s.ports.ready)
	case "control":
		settings["control_listen"] = s.address(name, s.ports.control)
	}
	if name != frontName {
		settings["data_folder"] = filepath.Join(folder, "data")
	}
	content, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(folder, "settings.json")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// configuration returns the site's configuration under a version.
func configuration(version uint64) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"r-plain","hostname":"%s","pathPrefix":"/plain/","routeType":"idempotent","timeoutMs":20000,"targetLatencyMs":400,"backend":"%s","maxAttempts":3},
		{"name":"r-large","hostname":"%s","pathPrefix":"/large/","routeType":"idempotent","timeoutMs":20000,"targetLatencyMs":400,"backend":"%s","maxAttempts":3},
		{"name":"r-stream","hostname":"%s","pathPrefix":"/stream/","routeType":"streaming","timeoutMs":20000,"targetLatencyMs":400,"backend":"%s","maxAttempts":3},
		{"name":"r-jobs","hostname":"%s","pathPrefix":"/jobs/","routeType":"rollout","timeoutMs":20000,"targetLatencyMs":400,"backend":"%s","maxAttempts":3,"runAimMs":7500,"keepS":600}],
		"services":[{"name":"%s","healthPath":"/healthz","maxConns":100},
		{"name":"%s","healthPath":"/healthz","maxConns":100,"engine":{"slots":4,"models":[{"name":"%s"}]}}],
		"limits":{"maxHeaderBytes":%d,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, host, plain, host, plain, host, plain, host, lm, plain, lm, model, maxHeaderBytes, maxBodyBytes)
}

// startReplicas starts an application server and an engine that send heartbeats until ctx ends.
func (s *site) startReplicas(ctx context.Context) {
	large := bytes.Repeat([]byte("x"), largeAnswerBytes)
	application := sitestandin.NewReplica(s.t, "i-plain", plain)
	application.Handle = func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(sitestandin.Headers.Signature, sitestandin.SignatureOf(r.Header.Get(sitestandin.Headers.RequestID)))
		switch {
		case strings.HasPrefix(r.URL.Path, "/large/"):
			_, _ = w.Write(large)
		case strings.HasPrefix(r.URL.Path, "/stream/"):
			sendEvents(w)
		default:
			return false
		}
		return true
	}
	engine := sitestandin.NewEngine(s.t, "i-lm", lm, model)
	engine.Handle = func(w http.ResponseWriter, r *http.Request) bool {
		switch id := r.Header.Get(sitestandin.Headers.RequestID); {
		case id == heldItem:
			select {
			case <-r.Context().Done():
			case <-ctx.Done():
			}
		case strings.HasPrefix(id, largeItem):
			w.Header().Set(sitestandin.Headers.Signature, sitestandin.SignatureOf(id))
			w.Header().Set(sitestandin.Headers.WeightVersion, "1")
			for event := range largeEvents {
				fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event+1, large[:largeEventBytes])
			}
		default:
			return false
		}
		return true
	}
	for i, replica := range []*sitestandin.Replica{application, engine} {
		go func() {
			for control := i; ctx.Err() == nil; control++ {
				_ = s.sendHeartbeat(controlNames[control%len(controlNames)], replica)
				select {
				case <-time.After(heartbeatInterval):
				case <-ctx.Done():
				}
			}
		}()
	}
}

// sendEvents answers with a stream of events.
func sendEvents(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	for event := range streamEvents {
		time.Sleep(streamPause)
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", event+1, event)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

func (s *site) sendHeartbeat(control string, replica *sitestandin.Replica) error {
	_, err := s.call(http.MethodPut, s.address(control, s.ports.control), "/loomgrade/replicas/"+replica.ID, "", replica.Heartbeat(), http.StatusOK)
	return err
}

// call sends a request on a new connection and returns the body of an answer with the wanted status.
func (s *site) call(method, address, path, id string, body []byte, want int) ([]byte, error) {
	const timeout = 5 * time.Second
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = host
	request.Header.Set(sitestandin.Headers.RequestID, id)
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != want {
		err = fmt.Errorf("%s %s: status %d: %.200s", method, path, response.StatusCode, read)
	}
	return read, err
}

func (s *site) nextID(prefix string) string { return fmt.Sprint(prefix, "-", s.requests.Add(1)) }

// checkRequest sends one ordinary request to the front.
func (s *site) checkRequest() error {
	id := s.nextID("ordinary")
	answer, err := s.call(http.MethodPost, s.address(frontName, s.ports.caller), "/plain/x", id, bytes.Repeat([]byte("b"), 1000), http.StatusOK)
	if err == nil && string(answer) != sitestandin.ResponseBody("i-plain", id) {
		err = fmt.Errorf("answer of %d bytes to another request", len(answer))
	}
	return err
}

func (s *site) checkReady() error {
	_, err := s.call(http.MethodGet, s.address(frontName, s.ports.ready), readyPath, "", nil, http.StatusOK)
	return err
}

// checkMetrics returns a check of a process's metrics.
func (s *site) checkMetrics(name string) func() error {
	return func() error {
		_, err := s.call(http.MethodGet, s.address(name, s.ports.metrics), "/metrics", "", nil, http.StatusOK)
		return err
	}
}

// checkConfiguration sets the next version of the configuration at the first control process.
func (s *site) checkConfiguration() error {
	_, err := s.call(http.MethodPut, s.address(controlNames[0], s.ports.control), "/loomgrade/config", "", configuration(s.version.Add(1)), http.StatusOK)
	return err
}

// checkJob submits a job of one item and waits for its result.
func (s *site) checkJob() error {
	id := s.nextID("job")
	body := fmt.Appendf(nil, `{"step":1,"model":%q,"minVersion":1,"desired":1,"requests":[{"id":"item-%s","path":"/jobs/run","headers":{},"body":"","tokenCount":1,"group":"g"}]}`, model, id)
	address := s.address(frontName, s.ports.caller)
	if _, err := s.call(http.MethodPost, address, "/jobs/submit", id, body, http.StatusAccepted); err != nil {
		return err
	}
	return eventually(func() error {
		read, err := s.call(http.MethodGet, address, "/loomgrade/lots/"+id+"?sinceRevision=0", "", nil, http.StatusOK)
		var page struct {
			Results []struct{ State string }
		}
		switch {
		case err != nil:
			return err
		case json.Unmarshal(read, &page) != nil || len(page.Results) != 1 || page.Results[0].State != "completed":
			return fmt.Errorf("results of job %s: %.200s", id, read)
		}
		return nil
	})
}

// submitHeldJob submits a job whose item stays open, so that its body can be read.
func (s *site) submitHeldJob() {
	body, err := json.Marshal(map[string]any{
		"step": 1, "model": model, "minVersion": 1, "desired": 1,
		"requests": []any{map[string]any{"id": heldItem, "path": "/jobs/run", "body": bytes.Repeat([]byte("b"), heldBodyBytes), "group": "g"}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	err = eventually(func() error {
		_, err := s.call(http.MethodPost, s.address(frontName, s.ports.caller), "/jobs/submit", heldJob, body, http.StatusAccepted)
		return err
	})
	if err != nil {
		s.t.Fatal(err)
	}
	err = eventually(func() error {
		read, err := s.call(http.MethodGet, s.address(frontName, s.ports.caller), "/loomgrade/items/"+heldJob+"?id="+heldItem, "", nil, http.StatusOK)
		if err == nil && len(read) != heldBodyBytes {
			err = errors.New("the body of the item is not complete")
		}
		return err
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

// submitLargeJob submits a job with large results and waits for them.
func (s *site) submitLargeJob() {
	var items []any
	for number := range largeItems {
		items = append(items, map[string]any{"id": fmt.Sprint(largeItem, "-", number), "path": "/jobs/run", "group": "g"})
	}
	body, err := json.Marshal(map[string]any{"step": 1, "model": model, "minVersion": 1, "desired": 1, "requests": items})
	if err != nil {
		s.t.Fatal(err)
	}
	address := s.address(frontName, s.ports.caller)
	err = eventually(func() error {
		_, err := s.call(http.MethodPost, address, "/jobs/submit", largeJob, body, http.StatusAccepted)
		return err
	})
	if err != nil {
		s.t.Fatal(err)
	}
	for number := range largeItems {
		err := eventually(func() error {
			read, err := s.call(http.MethodGet, address, fmt.Sprintf("/loomgrade/lots/%s?sinceRevision=%d", largeJob, number), "", nil, http.StatusOK)
			if err == nil && len(read) < largeEvents*largeEventBytes {
				err = fmt.Errorf("a page of %d bytes", len(read))
			}
			return err
		})
		if err != nil {
			s.t.Fatal(err)
		}
	}
}

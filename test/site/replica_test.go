package site_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/platform"
)

var headers = platform.Dialect{}.Headers()

// arrival is a request that reached a replica.
type arrival struct {
	ID        string
	Target    string
	Host      string
	Body      string
	LastEvent string
	Header    http.Header
	At        time.Time
}

// replica is a stand-in of a replica. Behave, if set, answers a request in its
// place and reports whether it did.
type replica struct {
	id      string
	service string
	server  *httptest.Server
	engine  bool
	// eventPause is the time between two events of a text.
	eventPause time.Duration
	// events is how many events a text has.
	events int
	behave func(w http.ResponseWriter, r *http.Request) bool
	// raw, if set, is the address of a server of the test's own.
	raw string

	mutex    sync.Mutex
	version  uint64
	orders   []order
	arrivals []arrival
	sequence uint64
	draining bool
	models   []string
}

// order is an order that reached a replica.
type order struct {
	Model            string `json:"model"`
	Version          uint64 `json:"version"`
	Holder           string `json:"holder"`
	Fence            uint64 `json:"fence"`
	ExpectedRevision uint64 `json:"expectedRevision"`
	at               time.Time
}

func newReplica(t *testing.T, id, service string) *replica {
	r := &replica{id: id, service: service, version: 1, eventPause: 5 * time.Millisecond, events: 6}
	r.server = httptest.NewServer(http.HandlerFunc(r.serve))
	t.Cleanup(func() {
		r.server.CloseClientConnections()
		r.server.Close()
	})
	return r
}

func newEngine(t *testing.T, id, service string, models ...string) *replica {
	r := newReplica(t, id, service)
	r.engine, r.models = true, models
	return r
}

func (r *replica) address() string {
	if r.raw != "" {
		return r.raw
	}
	return r.server.Listener.Addr().String()
}

func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get(headers.ExpectInstance); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	call, _ := platform.Dialect{}.OrderCall(orderOf("", 0))
	switch request.URL.Path {
	case platform.Dialect{}.ReportCall().Path:
		r.report(w)
		return
	case call.Path:
		r.take(w, request)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.mutex.Lock()
	r.arrivals = append(r.arrivals, arrival{
		ID: request.Header.Get(headers.RequestID), Target: request.RequestURI, Host: request.Host, Body: string(body),
		LastEvent: request.Header.Get(headers.LastEvent), Header: request.Header, At: time.Now(),
	})
	behave := r.behave
	r.mutex.Unlock()
	w.Header().Set(headers.RequestID, request.Header.Get(headers.RequestID))
	if behave != nil && behave(w, request) {
		return
	}
	w.Header().Set(headers.Seal, sealOf(request.Header.Get(headers.RequestID)))
	if r.engine {
		r.generate(w, request)
		return
	}
	fmt.Fprintf(w, "answer of %s to %s", r.id, request.Header.Get(headers.RequestID))
}

func sealOf(id string) string { return "seal." + id }

// eventData is the data of an event of an item's text, the same at every
// replica.
func eventData(item string, event int) string { return fmt.Sprintf("%s-%d", item, event) }

func wholeText(item string, events int) string {
	var lines []string
	for i := 1; i <= events; i++ {
		lines = append(lines, eventData(item, i))
	}
	return strings.Join(lines, "\n")
}

func (r *replica) generate(w http.ResponseWriter, request *http.Request) {
	r.mutex.Lock()
	version := r.version
	r.mutex.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headers.WeightVersion, strconv.FormatUint(version, 10))
	w.WriteHeader(http.StatusOK)
	last, _ := strconv.Atoi(request.Header.Get(headers.LastEvent))
	control := http.NewResponseController(w)
	for event := last + 1; event <= r.events; event++ {
		select {
		case <-time.After(r.eventPause):
		case <-request.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, eventData(request.Header.Get(headers.RequestID), event))
		if control.Flush() != nil {
			return
		}
	}
}

func (r *replica) report(w http.ResponseWriter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"models": r.modelList(), "busy": false, "sequence": len(r.orders), "running": 0, "waiting": 0})
}

func (r *replica) modelList() []map[string]any {
	var list []map[string]any
	for _, model := range r.models {
		list = append(list, map[string]any{"name": model, "version": r.version})
	}
	return list
}

func (r *replica) take(w http.ResponseWriter, request *http.Request) {
	var taken order
	if json.NewDecoder(request.Body).Decode(&taken) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	taken.at = time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if taken.ExpectedRevision != uint64(len(r.orders)) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.orders = append(r.orders, taken)
	r.version = taken.Version
	w.WriteHeader(http.StatusAccepted)
}

func (r *replica) seen() []arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *replica) taken() []order {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]order(nil), r.orders...)
}

// heartbeat is the body of the replica's next heartbeat.
func (r *replica) heartbeat() []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"backend": r.service, "address": r.address(), "zone": "z", "version": "v1", "slots": 4, "state": state,
		"stage": "mixed", "models": r.modelList(), "sequence": r.sequence,
	})
	return body
}

// rawReplica answers every connection's requests with bytes of the test's own.
func rawReplica(t *testing.T, answer func(connection net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(connection)
		}
	}()
	return listener.Addr().String()
}

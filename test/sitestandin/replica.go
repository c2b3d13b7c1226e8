package sitestandin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/dialect"
	"github.com/loomgrade/loomgrade/platform"
)

// Headers holds the names of the headers on the wire.
var Headers = platform.Dialect{}.Headers()

// Defaults and constants of a Replica.
const (
	DefaultEvents     = 6
	DefaultEventPause = 5 * time.Millisecond
	// Slots is the number of concurrent requests that a replica reports as its capacity.
	Slots = 4
)

// Arrival is a request that a replica received.
type Arrival struct {
	ID        string
	Target    string
	Host      string
	Body      string
	LastEvent string
	Header    http.Header
	At        time.Time
	Replica   string
}

// Order is an order that a replica received.
type Order struct {
	Model            string `json:"model"`
	Version          uint64 `json:"version"`
	Holder           string `json:"holder"`
	Fence            uint64 `json:"fence"`
	ExpectedRevision uint64 `json:"expectedRevision"`
	At               time.Time
}

// Replica is a stand-in for a replica. A test must set its exported fields before the first
// request.
type Replica struct {
	ID      string
	Service string
	// Zone is the replica's zone; empty means "z".
	Zone string
	// Models lists the models that an engine serves; empty for a plain application.
	Models []string
	// EventPause is the time before each event of a text, Events the number of events.
	EventPause time.Duration
	Events     int
	// Handle, if set, reports whether it handled a request; otherwise the replica does.
	Handle func(w http.ResponseWriter, r *http.Request) bool
	// ExternalAddress, if set, is the address of the test's own server, which the replica
	// reports instead of its address.
	ExternalAddress string

	server     *httptest.Server
	mutex      sync.Mutex
	version    uint64
	orders     []Order
	arrivals   []Arrival
	sequence   uint64
	draining   bool
	startedAt  uint64
	warmupLeft time.Duration
}

// NewReplica starts a stand-in for an application server.
func NewReplica(t testing.TB, id, service string) *Replica {
	r := &Replica{ID: id, Service: service, version: 1, EventPause: DefaultEventPause, Events: DefaultEvents}
	r.server = httptest.NewServer(http.HandlerFunc(r.serve))
	t.Cleanup(func() {
		r.server.CloseClientConnections()
		r.server.Close()
	})
	return r
}

// NewEngine starts a stand-in for an engine.
func NewEngine(t testing.TB, id, service string, models ...string) *Replica {
	r := NewReplica(t, id, service)
	r.Models = models
	return r
}

// Stop simulates a crash: it closes the replica's connections and listener. A test may call
// it while the replica serves a request.
func (r *Replica) Stop() {
	_ = r.server.Listener.Close()
	r.server.CloseClientConnections()
}

// Address returns the replica's address.
func (r *Replica) Address() string {
	if r.ExternalAddress != "" {
		return r.ExternalAddress
	}
	return r.server.Listener.Addr().String()
}

// SignatureOf returns the signature of a replica's response to a request.
func SignatureOf(id string) string { return "seal." + id }

// EventData returns the data of an event of an item's text, the same at every replica.
func EventData(item string, event int) string { return fmt.Sprintf("%s-%d", item, event) }

// CompleteText returns the complete text of an item.
func CompleteText(item string, events int) string {
	var lines []string
	for i := 1; i <= events; i++ {
		lines = append(lines, EventData(item, i))
	}
	return strings.Join(lines, "\n")
}

// ResponseBody returns the body of an application's response.
func ResponseBody(replica, id string) string { return fmt.Sprintf("answer of %s to %s", replica, id) }

func (r *Replica) serve(w http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get(Headers.ExpectedInstance); expected != "" && expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	order, _ := platform.Dialect{}.OrderCall(dialect.Order{})
	switch request.URL.Path {
	case platform.Dialect{}.ReportCall().Path:
		r.report(w)
	case order.Path:
		r.acceptOrder(w, request)
	default:
		r.run(w, request)
	}
}

func (r *Replica) run(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get(Headers.RequestID)
	r.mutex.Lock()
	r.arrivals = append(r.arrivals, Arrival{
		ID: id, Target: request.RequestURI, Host: request.Host, Body: string(body), Replica: r.ID,
		LastEvent: request.Header.Get(Headers.LastEventID), Header: request.Header, At: time.Now(),
	})
	r.mutex.Unlock()
	w.Header().Set(Headers.RequestID, id)
	if r.Handle != nil && r.Handle(w, request) {
		return
	}
	w.Header().Set(Headers.Signature, SignatureOf(id))
	if len(r.Models) > 0 {
		r.generate(w, request)
		return
	}
	_, _ = io.WriteString(w, ResponseBody(r.ID, id))
}

func (r *Replica) generate(w http.ResponseWriter, request *http.Request) {
	r.mutex.Lock()
	version := r.version
	r.mutex.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(Headers.WeightVersion, strconv.FormatUint(version, 10))
	w.WriteHeader(http.StatusOK)
	last, _ := strconv.Atoi(request.Header.Get(Headers.LastEventID))
	control := http.NewResponseController(w)
	for event := last + 1; event <= r.Events; event++ {
		select {
		case <-time.After(r.EventPause):
		case <-request.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, EventData(request.Header.Get(Headers.RequestID), event))
		if control.Flush() != nil {
			return
		}
	}
}

// modelState is a model's state in a report or heartbeat.
type modelState struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// reportBody is the response to a request for a report.
type reportBody struct {
	Models   []modelState `json:"models"`
	Busy     bool         `json:"busy"`
	Sequence int          `json:"sequence"`
}

// heartbeatBody is the body of a replica's heartbeat.
type heartbeatBody struct {
	Backend string `json:"backend"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	// WarmupLeftMs is the remaining warmup time.
	WarmupLeftMs int          `json:"warmupLeftMs"`
	Stage        string       `json:"stage"`
	Models       []modelState `json:"models"`
	Sequence     uint64       `json:"sequence"`
	StartedAt    uint64       `json:"born,omitempty"`
}

func (r *Replica) modelStates() []modelState {
	var states []modelState
	for _, name := range r.Models {
		states = append(states, modelState{Name: name, Version: r.version})
	}
	return states
}

func (r *Replica) report(w http.ResponseWriter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(reportBody{Models: r.modelStates(), Sequence: len(r.orders)})
}

func (r *Replica) acceptOrder(w http.ResponseWriter, request *http.Request) {
	order := Order{At: time.Now()}
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if order.ExpectedRevision != uint64(len(r.orders)) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.orders = append(r.orders, order)
	r.version = order.Version
	w.WriteHeader(http.StatusAccepted)
}

// Arrivals returns the requests that the replica has received.
func (r *Replica) Arrivals() []Arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.arrivals)
}

// Orders returns the orders that the replica has accepted.
func (r *Replica) Orders() []Order {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.orders)
}

// Drain(true) makes further heartbeats report the state draining. Drain(false) makes them
// simulate delayed earlier heartbeats, which report ready with old sequence numbers.
func (r *Replica) Drain(draining bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.draining = draining
	if !draining {
		r.sequence = 0
	}
}

// Restart simulates a restart under the same name: it resets the sequence numbers of
// heartbeats, the revision of orders and the version.
func (r *Replica) Restart(startedAt uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.startedAt, r.sequence, r.draining, r.version = startedAt, 0, false, 1
	r.orders = nil
}

// SetWarmupLeft sets the remaining warmup time that further heartbeats report.
func (r *Replica) SetWarmupLeft(remaining time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.warmupLeft = remaining
}

func (r *Replica) zone() string { return cmp.Or(r.Zone, "z") }

// Heartbeat returns the body of the replica's next heartbeat.
func (r *Replica) Heartbeat() []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	heartbeat := heartbeatBody{
		Backend: r.Service, Address: r.Address(), Zone: r.zone(), Version: "v1", Slots: Slots, State: "ready",
		Stage: "mixed", Models: r.modelStates(), Sequence: r.sequence, StartedAt: r.startedAt, WarmupLeftMs: int(r.warmupLeft.Milliseconds()),
	}
	if r.draining {
		heartbeat.State = "draining"
	}
	body, _ := json.Marshal(heartbeat)
	return body
}

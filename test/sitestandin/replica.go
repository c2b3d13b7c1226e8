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

// Headers are the names of the headers on the wire.
var Headers = platform.Dialect{}.Headers()

// Defaults of a Replica.
const (
	DefaultEvents     = 6
	DefaultEventPause = 5 * time.Millisecond
	// Slots is how many requests a replica says that it works on at once.
	Slots = 4
)

// Arrival is a request that reached a replica.
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

// Order is an order that reached a replica.
type Order struct {
	Model            string `json:"model"`
	Version          uint64 `json:"version"`
	Holder           string `json:"holder"`
	Fence            uint64 `json:"fence"`
	ExpectedRevision uint64 `json:"expectedRevision"`
	At               time.Time
}

// Replica is a stand-in of a replica. Its exported fields are set before the
// first request.
type Replica struct {
	ID      string
	Service string
	// Zone is where it stands; empty is "z".
	Zone string
	// Models are served by an engine; empty for a plain application.
	Models []string
	// EventPause is the time between two events of a text, Events their number.
	EventPause time.Duration
	Events     int
	// Behave, if set, answers a request in the replica's place and reports
	// whether it did.
	Behave func(w http.ResponseWriter, r *http.Request) bool
	// Raw, if set, is the address of a server of the test's own.
	Raw string

	server   *httptest.Server
	mutex    sync.Mutex
	version  uint64
	orders   []Order
	arrivals []Arrival
	sequence uint64
	draining bool
	born     uint64
	cold     time.Duration
}

// NewReplica starts a stand-in of an application server.
func NewReplica(t testing.TB, id, service string) *Replica {
	r := &Replica{ID: id, Service: service, version: 1, EventPause: DefaultEventPause, Events: DefaultEvents}
	r.server = httptest.NewServer(http.HandlerFunc(r.serve))
	t.Cleanup(func() {
		r.server.CloseClientConnections()
		r.server.Close()
	})
	return r
}

// NewEngine starts a stand-in of an engine.
func NewEngine(t testing.TB, id, service string, models ...string) *Replica {
	r := NewReplica(t, id, service)
	r.Models = models
	return r
}

// Stop ends the replica as a crash does: it closes its connections and takes no new ones.
// It may be called while it serves a request.
func (r *Replica) Stop() {
	_ = r.server.Listener.Close()
	r.server.CloseClientConnections()
}

// Address is where the replica serves.
func (r *Replica) Address() string {
	if r.Raw != "" {
		return r.Raw
	}
	return r.server.Listener.Addr().String()
}

// SealOf is the signature of a replica's answer to a request.
func SealOf(id string) string { return "seal." + id }

// EventData is the data of an event of an item's text, the same at every replica.
func EventData(item string, event int) string { return fmt.Sprintf("%s-%d", item, event) }

// WholeText is the text of an item.
func WholeText(item string, events int) string {
	var lines []string
	for i := 1; i <= events; i++ {
		lines = append(lines, EventData(item, i))
	}
	return strings.Join(lines, "\n")
}

// Answer is the body of a plain answer.
func Answer(replica, id string) string { return fmt.Sprintf("answer of %s to %s", replica, id) }

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
		r.take(w, request)
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
	if r.Behave != nil && r.Behave(w, request) {
		return
	}
	w.Header().Set(Headers.Signature, SealOf(id))
	if len(r.Models) > 0 {
		r.generate(w, request)
		return
	}
	_, _ = io.WriteString(w, Answer(r.ID, id))
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

// modelState is a model in a report or heartbeat.
type modelState struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// reportBody is the answer to a question for a report.
type reportBody struct {
	Models   []modelState `json:"models"`
	Busy     bool         `json:"busy"`
	Sequence int          `json:"sequence"`
}

// heartbeatBody is what a replica sends of itself.
type heartbeatBody struct {
	Backend string `json:"backend"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	// WarmupLeftMs is how much longer the replica stays cold.
	WarmupLeftMs int          `json:"warmupLeftMs"`
	Stage        string       `json:"stage"`
	Models       []modelState `json:"models"`
	Sequence     uint64       `json:"sequence"`
	Born         uint64       `json:"born,omitempty"`
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

func (r *Replica) take(w http.ResponseWriter, request *http.Request) {
	taken := Order{At: time.Now()}
	if json.NewDecoder(request.Body).Decode(&taken) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
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

// Arrivals gives the requests that reached the replica so far.
func (r *Replica) Arrivals() []Arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.arrivals)
}

// Orders gives the orders that the replica took so far.
func (r *Replica) Orders() []Order {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.orders)
}

// Drain makes further heartbeats say that the replica leaves; Drain(false) makes
// them late ones from before, which say that it is ready.
func (r *Replica) Drain(draining bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.draining = draining
	if !draining {
		r.sequence = 0
	}
}

// Restart makes further heartbeats those of a start under the same name: it counts them anew
// and knows nothing of before.
func (r *Replica) Restart(born uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.born, r.sequence, r.draining, r.version = born, 0, false, 1
	r.orders = nil
}

// Cool makes further heartbeats say that the replica stays cold for so long.
func (r *Replica) Cool(left time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cold = left
}

func (r *Replica) zone() string { return cmp.Or(r.Zone, "z") }

// Heartbeat is the body of the replica's next heartbeat.
func (r *Replica) Heartbeat() []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	beat := heartbeatBody{
		Backend: r.Service, Address: r.Address(), Zone: r.zone(), Version: "v1", Slots: Slots, State: "ready",
		Stage: "mixed", Models: r.modelStates(), Sequence: r.sequence, Born: r.born, WarmupLeftMs: int(r.cold.Milliseconds()),
	}
	if r.draining {
		beat.State = "draining"
	}
	body, _ := json.Marshal(beat)
	return body
}

package localsite

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/dialect"
)

const (
	// textEvents is the number of events of every text, eventPause the time between
	// two events, loadTime the time to load weights.
	textEvents = 12
	eventPause = 8 * time.Millisecond
	loadTime   = 60 * time.Millisecond
	// cutOffShare is the share of runs whose response is cut off, failShare the share of
	// runs that fail with status 500.
	cutOffShare = 0.04
	failShare   = 0.02
	slots       = 4
	scoreTime   = 2 * time.Millisecond
	// replicaMemoryBytes limits the memory for the headers of requests in flight.
	replicaMemoryBytes = 16 << 20
)

// run is a request that a replica started to process.
type run struct {
	ID string
	At time.Time
}

// replica is a stand-in for an engine, or for a scorer if model is empty.
type replica struct {
	id, service, model string
	server             *httpserve.Server
	listener           net.Listener

	mutex      sync.Mutex
	random     *rand.Rand
	running    int
	version    uint64
	loading    bool
	orderCount uint64
	sequence   uint64
	runs       []run
}

func startReplica(id, service, model string, seed uint64) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, model: model, listener: listener, version: 1, random: rand.New(rand.NewPCG(seed, 1))}
	r.server = httpserve.NewServer(httpserve.ServerConfig{
		Handler: r, Limits: httpserve.Limits{HeaderTimeout: callTimeout}, Memory: membudget.NewBudget(replicaMemoryBytes),
	})
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

func (r *replica) close() { _ = r.server.Close() }

// heartbeat returns the replica's next heartbeat.
func (r *replica) heartbeat() sitestate.Replica {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	report := sitestate.Replica{
		ID: r.id, Service: r.service, Address: r.listener.Addr().String(), Zone: zone, Slots: slots, Sequence: r.sequence,
	}
	if r.model != "" {
		report.Models = modelsAt(r.model, r.version)
	}
	return report
}

// ServeHTTP handles orders, report requests and generation or scoring requests.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get(headerInstance); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case pathReport:
		r.report(w)
	case pathOrder:
		r.acceptOrder(w, request)
	default:
		r.serve(w, request)
	}
}

func (r *replica) report(w http.ResponseWriter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(dialect.Report{Models: modelsAt(r.model, r.version), Loading: r.loading, OrderCount: r.orderCount, Running: r.running})
}

func (r *replica) acceptOrder(w http.ResponseWriter, request *http.Request) {
	var order dialect.Order
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.loading || order.ExpectedOrderCount != r.orderCount {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.orderCount++
	r.loading = true
	time.AfterFunc(loadTime, func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.version, r.loading = order.Version, false
	})
	w.WriteHeader(http.StatusAccepted)
}

// serve runs a request if a slot is free.
func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(headerID)
	w.Header().Set(headerID, id)
	draw, acquired := r.acquireSlot(id)
	if !acquired {
		w.Header().Set(headerNotRun, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.releaseSlot()
	w.Header().Set(headerSignature, signatureOf(id))
	switch {
	case draw < failShare:
		w.WriteHeader(http.StatusInternalServerError)
	case r.model == "":
		time.Sleep(scoreTime)
	default:
		r.generate(w, request, id, draw < failShare+cutOffShare)
	}
}

// acquireSlot acquires a slot. It fails if no slot is free or weights are loading.
func (r *replica) acquireSlot(id string) (draw float64, acquired bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.loading || r.running == slots {
		return 0, false
	}
	r.running++
	r.runs = append(r.runs, run{ID: id, At: time.Now()})
	return r.random.Float64(), true
}

func (r *replica) releaseSlot() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running--
}

// generate streams the text of an item, starting after the last event that the caller
// has received. If cutOff is set, it aborts the response halfway.
func (r *replica) generate(w http.ResponseWriter, request *http.Request, id string, cutOff bool) {
	last, _ := strconv.Atoi(request.Header.Get(headerEvent))
	r.mutex.Lock()
	version := r.version
	r.mutex.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerVersion, strconv.FormatUint(version, 10))
	control := http.NewResponseController(w)
	for event := last + 1; event <= textEvents; event++ {
		if !sleep(request.Context(), eventPause) {
			return
		}
		if cutOff && event > (last+textEvents)/2 {
			panic(http.ErrAbortHandler)
		}
		r.mutex.Lock()
		changed := r.version != version
		version = r.version
		r.mutex.Unlock()
		if changed {
			fmt.Fprintf(w, "%s: %d\n", headerVersionLine, version)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, eventData(id, event))
		if control.Flush() != nil {
			return
		}
	}
}

// headerVersionLine precedes the first event that another weight version generated.
const headerVersionLine = "lab-weight-version"

// recordedRuns returns the requests that the replica ran.
func (r *replica) recordedRuns() []run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]run(nil), r.runs...)
}

func signatureOf(id string) string { return "seal of " + id }

func eventData(item string, event int) string { return fmt.Sprintf("%s/%d", item, event) }

// sleep waits for duration. It reports false if ctx is done first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

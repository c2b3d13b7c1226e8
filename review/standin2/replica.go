package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// slots is how many requests a server works on at once, queued how many more it takes.
	slots  = 8
	queued = 24
	// events is the length of a text, eventPause the time before each event.
	events     = 20
	eventPause = 40 * time.Millisecond
	beatPause  = 1200 * time.Millisecond
)

// replica is one incarnation of a server: an engine, or an application server without a model.
type replica struct {
	site    *site
	id      string
	address string
	zone    string
	engine  bool

	server   *http.Server
	ctx      context.Context
	crashed  context.CancelFunc
	work     chan struct{}
	mutex    sync.Mutex
	sequence uint64
	version  uint64
	orders   int
	// length is the number of events of a text.
	length   int
	waiting  int
	running  int
	beats    int
	rejected int
	arrivals []arrival
}

// arrival is a request that a server began to run.
type arrival struct {
	id string
	at time.Time
}

// startReplica starts an incarnation at an address. It sends no heartbeats yet.
func startReplica(s *site, id, address, zone string, engine bool) (*replica, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{site: s, id: id, address: address, zone: zone, engine: engine, version: 1, length: events, work: make(chan struct{}, slots)}
	r.ctx, r.crashed = context.WithCancel(context.Background())
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	s.record.line("server %s starts at %s", id, address)
	return r, nil
}

// crash ends the incarnation without a word.
func (r *replica) crash() {
	r.site.record.line("server %s at %s crashes", r.id, r.address)
	r.crashed()
	_ = r.server.Close()
}

func (r *replica) service() string {
	if r.engine {
		return engines
	}
	return application
}

func (r *replica) models() []object {
	if !r.engine {
		return []object{}
	}
	return []object{{"name": model, "version": r.version, "adapters": []any{}}}
}

// beat returns the body of the next heartbeat.
func (r *replica) beat() []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	body, _ := json.Marshal(object{
		"backend": r.service(), "address": r.address, "zone": r.zone, "version": "v1", "slots": slots, "state": "ready", "warmupLeftMs": 0,
		"stage": "mixed", "models": r.models(), "sequence": r.sequence,
	})
	return body
}

// heartbeats sends heartbeats to the control machines until the incarnation ends.
func (r *replica) heartbeats() {
	controls := r.site.of("control")
	target, preferred := 0, ""
	client := http.Client{Timeout: time.Second}
	for {
		body := r.beat()
		for tries := 0; tries < len(controls)+1 && r.ctx.Err() == nil; tries++ {
			address := preferred
			if address == "" {
				m := controls[target%len(controls)]
				address = m.at(m.public, r.site.ports.control)
			}
			status, answer := putBeat(r.ctx, &client, address, r.id, body)
			if status/100 == 2 {
				var read struct {
					HeartbeatAddr string `json:"heartbeatAddr"`
				}
				_ = json.Unmarshal(answer, &read)
				preferred = read.HeartbeatAddr
				r.mutex.Lock()
				r.beats++
				first := r.beats == 1
				r.mutex.Unlock()
				if first {
					r.site.record.line("server %s: first heartbeat acknowledged by %s", r.id, address)
				}
				break
			}
			preferred = ""
			target++
		}
		select {
		case <-time.After(beatPause):
		case <-r.ctx.Done():
			return
		}
	}
}

func putBeat(ctx context.Context, client *http.Client, address, id string, body []byte) (status int, answer []byte) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/loomgrade/replicas/"+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, _ = io.ReadAll(response.Body)
	return response.StatusCode, answer
}

func (r *replica) acknowledged() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.beats
}

func (r *replica) busy() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.running
}

func (r *replica) rejections() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.rejected
}

// tokens returns the tokens of a request: those of its prompt, and the most out.
func tokens(usage string) int {
	in, out, _ := strings.Cut(usage, ",")
	prompt, _ := strconv.Atoi(in)
	most, _ := strconv.Atoi(out)
	return prompt + most
}

func (r *replica) ran() []arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(headerID)
	if id != "" {
		w.Header().Set(headerID, id)
	}
	if expected := request.Header.Get(headerExpected); expected != "" && expected != r.id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/healthz":
		w.Header().Set(headerInstance, r.id)
		return
	case "/loomgrade/report":
		r.mutex.Lock()
		defer r.mutex.Unlock()
		_ = json.NewEncoder(w).Encode(object{"stage": "mixed", "models": r.models(), "busy": false, "sequence": r.orders, "waiting": r.waiting, "running": r.running, "kvUsed": 0, "kvTotal": 153581, "handles": 0})
		return
	case "/loomgrade/order":
		r.order(w, request)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if r.engine && tokens(request.Header.Get(headerTokens)) > kvTokens {
		r.mutex.Lock()
		r.rejected++
		r.mutex.Unlock()
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable) // as if it were full
		return
	}
	if !r.enter(request.Context()) {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.leave()
	r.site.record.line("server %s runs %s (%s %s, %d bytes, after event %q)", r.id, id, request.Method, request.URL.Path, len(body), request.Header.Get(lastEvent))
	r.mutex.Lock()
	r.arrivals = append(r.arrivals, arrival{id: id, at: time.Now()})
	r.mutex.Unlock()
	w.Header().Set(headerSeal, "seal."+id)
	if r.engine {
		r.generate(w, request, id)
		return
	}
	select {
	case <-time.After(20 * time.Millisecond):
	case <-request.Context().Done():
		return
	}
	_, _ = io.WriteString(w, "answer to "+id)
}

// enter waits for a slot. It returns false if the queue is full or the caller has left.
func (r *replica) enter(ctx context.Context) bool {
	r.mutex.Lock()
	if r.running+r.waiting >= slots+queued {
		r.mutex.Unlock()
		return false
	}
	r.waiting++
	r.mutex.Unlock()
	entered := false
	select {
	case r.work <- struct{}{}:
		entered = true
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.waiting--
	if entered {
		r.running++
	}
	return entered
}

func (r *replica) leave() {
	<-r.work
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running--
}

func (r *replica) order(w http.ResponseWriter, request *http.Request) {
	var read struct {
		Op               string  `json:"op"`
		Version          uint64  `json:"version"`
		Holder           string  `json:"holder"`
		Fence            uint64  `json:"fence"`
		ExpectedRevision *uint64 `json:"expectedRevision"`
	}
	if json.NewDecoder(request.Body).Decode(&read) != nil || read.Op != "version" || read.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case read.ExpectedRevision != nil && *read.ExpectedRevision != uint64(r.orders):
		w.WriteHeader(http.StatusConflict)
	case read.Version == r.version:
		w.WriteHeader(http.StatusOK)
	default:
		r.orders++
		r.version = read.Version
		w.WriteHeader(http.StatusAccepted)
	}
	r.site.record.line("server %s got an order of %s (fence %d) for version %d", r.id, read.Holder, read.Fence, read.Version)
}

func eventData(id string, event int) string { return fmt.Sprintf("%s-%d", id, event) }

// generate answers with the events after Last-Event-Id.
func (r *replica) generate(w http.ResponseWriter, request *http.Request, id string) {
	r.mutex.Lock()
	version := r.version
	r.mutex.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerVersions, strconv.FormatUint(version, 10))
	w.WriteHeader(http.StatusOK)
	last, _ := strconv.Atoi(request.Header.Get(lastEvent))
	control := http.NewResponseController(w)
	for event := last + 1; event <= r.length; event++ {
		select {
		case <-time.After(eventPause):
		case <-request.Context().Done():
			return
		case <-r.ctx.Done():
			panic(http.ErrAbortHandler) // a crash does not end an answer
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, eventData(id, event))
		if control.Flush() != nil {
			return
		}
	}
}

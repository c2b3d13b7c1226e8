package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Paths that every stand-in serves for the test driver.
const (
	PathFault        = "/fault"        // POST Fault
	PathObservations = "/observations" // GET audit.Observations
)

// MaxBodyBytes is the maximum size of request bodies, in bytes.
const MaxBodyBytes = 8 << 20

const (
	readHeaderTimeout = 10 * time.Second
	// memoryBytes limits the memory for the headers and bodies of requests in flight, maxConnections the
	// open connections.
	memoryBytes      = 32 << 20
	maxConnections   = 8192
	relistenInterval = 20 * time.Millisecond
	contentTypeJSON  = "application/json"
)

// Common holds the settings that all stand-ins share.
type Common struct {
	// Listen is an address of the loopback interface; default 127.0.0.1:0.
	Listen string
	// Journal, if set, receives each observation as a line of JSON.
	Journal io.Writer
}

// server is the HTTP server of a stand-in. It can crash and restart on the same address,
// and serves the fault and observation paths.
type server struct {
	faults   *faultSet
	recorder *recorder
	mux      *http.ServeMux
	address  string
	inject   func(Fault) error // default faults.set
	// observing is held while observations are served.
	observing chan struct{}

	mutex  sync.Mutex
	http   *httpserve.Server
	down   bool
	closed bool
	// ctx ends when the stand-in is closed.
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

func newServer(ctx context.Context, common Common, faults ...FaultKind) *server {
	s := &server{faults: newFaultSet(faults...), recorder: newRecorder(common.Journal), mux: http.NewServeMux(), observing: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.mux.HandleFunc("POST "+PathFault, s.handleFault)
	s.mux.HandleFunc("GET "+PathObservations, s.handleObservations)
	return s
}

// listen starts the server. All handlers must be registered before the call.
func (s *server) listen(address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	s.address = listener.Addr().String()
	s.serve(listener)
	context.AfterFunc(s.ctx, s.Close)
	return nil
}

func (s *server) serve(listener net.Listener) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		listener.Close()
		return
	}
	s.http = httpserve.NewServer(httpserve.ServerConfig{
		Handler: s.mux, Limits: httpserve.Limits{HeaderTimeout: readHeaderTimeout, Connections: maxConnections}, Memory: membudget.NewBudget(memoryBytes),
	})
	running := s.http
	s.down = false
	s.work.Go(func() { _ = running.Serve(listener) })
}

// Addr returns the address that the stand-in listens on.
func (s *server) Addr() string { return s.address }

// URL returns the base URL of the stand-in.
func (s *server) URL() string { return "http://" + s.address }

// Close stops the stand-in immediately and waits for its goroutines.
func (s *server) Close() {
	s.mutex.Lock()
	alreadyClosed := s.closed
	s.closed = true
	running := s.http
	s.mutex.Unlock()
	s.cancel()
	if running != nil {
		running.Close()
	}
	if !alreadyClosed {
		s.work.Wait()
	}
}

// Shutdown stops the stand-in gracefully: it accepts no new connections and waits for
// requests in flight until ctx ends.
func (s *server) Shutdown(ctx context.Context) error {
	s.mutex.Lock()
	running := s.http
	s.mutex.Unlock()
	err := running.Shutdown(ctx)
	s.Close()
	if err != nil {
		return eris.Wrap(err, "shut down")
	}
	return nil
}

// Observations returns the observations recorded so far.
func (s *server) Observations() audit.Observations { return s.recorder.observations() }

// Inject activates a fault. It returns a *FaultError if the stand-in does not support the
// fault.
func (s *server) Inject(fault Fault) error {
	s.recorder.add(audit.Observations{Faults: []audit.Fault{{
		Target: s.address, Kind: string(fault.Kind), From: unixNow(), To: unixNow() + fault.Duration(),
	}}})
	if s.inject != nil {
		return s.inject(fault)
	}
	return s.faults.set(fault)
}

// crash closes the listener and all connections and listens again after a delay. It calls
// onCrash first and onRestart before listening again.
func (s *server) crash(after time.Duration, onCrash, onRestart func()) {
	s.mutex.Lock()
	if s.down || s.closed {
		s.mutex.Unlock()
		return
	}
	s.down = true
	running := s.http
	s.work.Go(func() {
		onCrash()
		running.Close()
		if sleep(s.ctx, after) {
			onRestart()
			s.reopen()
		}
	})
	s.mutex.Unlock()
}

// reopen listens on the previous address again as soon as it is free.
func (s *server) reopen() {
	for s.ctx.Err() == nil {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			s.serve(listener)
			return
		}
		sleep(s.ctx, relistenInterval)
	}
}

func (s *server) handleFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if !readJSON(w, r, &fault) {
		return
	}
	if err := s.Inject(fault); err != nil {
		writeError(w, http.StatusBadRequest, port.InvalidField("kind", string(fault.Kind), "a fault of this stand-in"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleObservations serves one request at a time: the observations of a long run take much memory.
func (s *server) handleObservations(w http.ResponseWriter, r *http.Request) {
	select {
	case s.observing <- struct{}{}:
		defer func() { <-s.observing }()
	case <-r.Context().Done():
		return
	}
	writeJSON(w, s.Observations())
}

// applyFaults applies the faults that act before a request is handled, and reports
// whether the handler must return.
func (s *server) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.faults.waitOutHang(r.Context())
	if _, refuse := s.faults.active(FaultRefuse); refuse {
		writeError(w, http.StatusServiceUnavailable, port.NewError(port.NotRun, port.CodeUnavailable, "refused by a fault switch"))
		return true
	}
	return r.Context().Err() != nil
}

// abortConnection closes the connection without finishing the response.
func abortConnection() { panic(http.ErrAbortHandler) }

// readBody reads a body within MaxBodyBytes and the server's memory; if ok is false, it has written the
// error.
func readBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	body, _, complete, err := membudget.Read(http.MaxBytesReader(w, r.Body, MaxBodyBytes), r.ContentLength, httpserve.ReservationOf(r))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, port.NewError(port.NotRun, port.CodeTooLarge, "body: %v", err))
	case err != nil:
		writeError(w, http.StatusBadRequest, port.NewError(port.NotRun, port.CodeInvalid, "body: %v", err))
	case !complete:
		writeError(w, http.StatusServiceUnavailable, port.NewError(port.NotRun, port.CodeQueueFull, "no memory is free for the body"))
	}
	return body, err == nil && complete
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, ok := readBody(w, r)
	if !ok {
		return false
	}
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, port.NewError(port.NotRun, port.CodeInvalid, "body: %v", err))
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	// The client notices a broken connection.
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, err *port.Error) {
	w.Header().Set("Content-Type", contentTypeJSON)
	w.Header().Set(api.HeaderVerdict, err.Verdict.String())
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(api.ErrorBody{Error: api.ErrorDetail{
		Code: string(err.Code), Verdict: err.Verdict.String(), Message: err.Message,
		Field: err.Field, Value: err.Value, Allowed: err.Allowed,
		RetryAfterMs: err.RetryAfter.Milliseconds(),
	}})
}

package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Paths that every stand-in serves for the driver of a test.
const (
	PathFault        = "/fault"        // POST Fault
	PathObservations = "/observations" // GET audit.Observations
)

// MaxBody bounds the body of every request to a stand-in, in bytes.
const MaxBodyBytes = 8 << 20

const (
	readHeaderTimeout = 10 * time.Second
	relistenEvery     = 20 * time.Millisecond
	contentTypeJSON   = "application/json"
)

// Common are the settings that all stand-ins share.
type Common struct {
	// Listen is an address of the loopback interface; default 127.0.0.1:0.
	Listen string
	// Lines, if set, receives each observation as a line of JSON.
	Journal io.Writer
}

// server is the HTTP side of a stand-in: it listens, can crash and come back
// on the same address, and serves the fault and observation paths.
type server struct {
	faults   *faultSet
	recorder *recorder
	mux      *http.ServeMux
	address  string
	inject   func(Fault) error // nil: the fault set alone

	mutex  sync.Mutex
	http   *http.Server
	down   bool
	closed bool
	// ctx ends when the stand-in is closed.
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

func newServer(ctx context.Context, common Common, faults ...FaultKind) *server {
	s := &server{faults: newFaultSet(faults...), recorder: newRecorder(common.Journal), mux: http.NewServeMux()}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.mux.HandleFunc("POST "+PathFault, s.handleFault)
	s.mux.HandleFunc("GET "+PathObservations, s.handleObservations)
	return s
}

// open starts to listen; the handlers have been registered before.
func (s *server) open(address string) error {
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
	s.http = &http.Server{Handler: s.mux, ReadHeaderTimeout: readHeaderTimeout}
	running := s.http
	s.down = false
	s.work.Go(func() { _ = running.Serve(listener) })
}

// Addr returns the address that the stand-in listens on.
func (s *server) Addr() string { return s.address }

// URL returns the address as the start of a URL.
func (s *server) URL() string { return "http://" + s.address }

// Close ends the stand-in at once and waits for its goroutines.
func (s *server) Close() {
	s.mutex.Lock()
	already := s.closed
	s.closed = true
	running := s.http
	s.mutex.Unlock()
	s.cancel()
	if running != nil {
		running.Close()
	}
	if !already {
		s.work.Wait()
	}
}

// Shutdown stops in an orderly way: no new connections, and requests in
// flight are finished until ctx ends.
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

// Observations returns what the stand-in has seen so far.
func (s *server) Observations() audit.Observations { return s.recorder.observations() }

// Inject switches a fault on. It returns a *FaultError for a fault that the
// stand-in does not have.
func (s *server) Inject(fault Fault) error {
	s.recorder.add(audit.Observations{Faults: []audit.Fault{{
		Target: s.address, Kind: string(fault.Kind), From: since(), To: since() + fault.Duration(),
	}}})
	if s.inject != nil {
		return s.inject(fault)
	}
	return s.faults.set(fault)
}

// crash closes the listener and all connections and listens again after a
// time; lose and restore run in between and at the end.
func (s *server) crash(after time.Duration, lose, restore func()) {
	s.mutex.Lock()
	if s.down || s.closed {
		s.mutex.Unlock()
		return
	}
	s.down = true
	running := s.http
	s.work.Go(func() {
		lose()
		running.Close()
		if pause(s.ctx, after) {
			restore()
			s.reopen()
		}
	})
	s.mutex.Unlock()
}

// reopen listens on the former address again, as soon as it is free.
func (s *server) reopen() {
	for s.ctx.Err() == nil {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			s.serve(listener)
			return
		}
		pause(s.ctx, relistenEvery)
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

func (s *server) handleObservations(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Observations())
}

// disturbed applies the faults that act before a request is looked at, and
// reports whether the request has been answered with a refusal.
func (s *server) disturbed(w http.ResponseWriter, r *http.Request) bool {
	s.faults.waitWhileHung(r.Context())
	if _, refuse := s.faults.active(FaultRefuse); refuse {
		writeError(w, http.StatusServiceUnavailable, port.NewError(port.NotRun, port.CodeUnavailable, "refused by a fault switch"))
		return true
	}
	return r.Context().Err() != nil
}

// cutConnection ends the connection without an orderly end of the answer.
func cutConnection() { panic(http.ErrAbortHandler) }

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, port.NewError(port.NotRun, port.CodeTooLarge, "body: %v", err))
	case err != nil:
		writeError(w, http.StatusBadRequest, port.NewError(port.NotRun, port.CodeInvalid, "body: %v", err))
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	// The reader notices a connection that broke; there is no one else to tell.
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

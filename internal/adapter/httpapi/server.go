package httpapi

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/core/apikey"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Server serves a Backend over HTTP.
type Server struct {
	config   Config
	backend  Backend
	limits   Limits
	mux      *http.ServeMux
	http     *http.Server
	calls    chan struct{}
	streams  chan struct{}
	operator apikey.Digest
	idle     *httpserve.IdleConnections
	draining atomic.Bool
	serving  sync.WaitGroup
	closing  sync.Once
}

var _ http.Handler = (*Server)(nil)

// New makes a Server.
func New(config Config) *Server {
	limits := config.Limits.withDefaults()
	s := &Server{
		config:   config,
		backend:  config.Backend,
		limits:   limits,
		mux:      http.NewServeMux(),
		calls:    make(chan struct{}, limits.Calls),
		streams:  make(chan struct{}, limits.Streams),
		operator: apikey.Of(config.OperatorToken),
		idle:     httpserve.NewIdleConnections(limits.KeepAlive),
	}
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ConnState:         s.idle.Observe,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	s.routes()
	return s
}

func (s *Server) routes() {
	s.mux.HandleFunc("POST "+api.PathCompletions, s.completion)
	s.mux.HandleFunc("POST "+api.PathConsumers, s.registerConsumer)
	s.mux.HandleFunc("GET "+api.PathBatch, s.batch)
	s.mux.HandleFunc("POST "+api.PathWeights, s.publishWeights)
	s.mux.HandleFunc("GET "+strings.Replace(api.PathExplain, "{id}", "{id...}", 1), s.explain)
	s.mux.HandleFunc("GET "+api.PathNodeStatus, s.status)
	s.mux.HandleFunc("GET "+api.PathHealth, s.health)
	s.mux.HandleFunc("GET "+api.PathReady, s.ready)
	if s.config.Metrics != nil {
		s.mux.Handle("GET "+api.PathMetrics, s.config.Metrics)
	}
	s.mux.HandleFunc("/", s.unknown)
}

// Start serves a listener in the background. When ctx ends, what is in flight
// is cut off; Shutdown is the planned way.
func (s *Server) Start(ctx context.Context, listener net.Listener) {
	s.http.BaseContext = func(net.Listener) context.Context { return ctx }
	bounded := httpserve.BoundListener(listener, s.limits.Connections)
	s.serving.Go(func() { _ = s.http.Serve(bounded) })
	context.AfterFunc(ctx, s.Close)
}

// Drain refuses new requests as not run from now on; what is in flight goes on.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops as planned: it drains for Limits.DrainDelay, so that callers
// with open connections move on, leaves idle connections open for as long as
// their callers may use them (Limits.KeepAlive), and then waits for what is in
// flight. When ctx ends first, the rest is cut off and ctx's error is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	delay := time.NewTimer(s.limits.DrainDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
	s.idle.AwaitIdle(ctx)
	err := s.http.Shutdown(ctx)
	s.Close()
	if err != nil {
		return eris.Wrap(err, "shut down")
	}
	return nil
}

// Close stops at once.
func (s *Server) Close() {
	s.closing.Do(func() {
		s.draining.Store(true)
		_ = s.http.Close()
		s.serving.Wait()
	})
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	timed := newTimedWriter(writer, s.limits.WriteTimeout)
	if request.ContentLength != 0 {
		// It holds for what net/http reads of a refused body too; readBody
		// lifts it once the body is whole.
		_ = timed.controller.SetReadDeadline(time.Now().Add(s.limits.BodyTimeout))
	}
	s.idle.Announce(timed.Header(), s.draining.Load())
	if strings.HasPrefix(request.URL.Path, api.PathApplication) {
		s.application(timed, request)
		return
	}
	s.mux.ServeHTTP(timed, request)
}

func (s *Server) unknown(writer http.ResponseWriter, request *http.Request) {
	s.fail(writer, port.NewError(port.NotRun, port.CodeNotFound, "no %s %s", request.Method, request.URL.Path))
}

// refuseWhileDraining gives the refusal of new requests to a stopping node.
func (s *Server) refuseWhileDraining() *port.Error {
	if !s.draining.Load() {
		return nil
	}
	refusal := port.NewError(port.NotRun, port.CodeDraining, "the node is stopping")
	refusal.RetryAfter = time.Second
	return refusal
}

// acquire takes a slot, or refuses at once.
func acquire(slots chan struct{}) (release func(), refusal *port.Error) {
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, nil
	default:
		refusal = port.NewError(port.NotRun, port.CodeQueueFull, "too many requests are under way")
		refusal.RetryAfter = time.Second
		return nil, refusal
	}
}

// timedWriter bounds how long a client may take to accept each write.
type timedWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

func newTimedWriter(writer http.ResponseWriter, timeout time.Duration) *timedWriter {
	return &timedWriter{writer, http.NewResponseController(writer), timeout}
}

// Unwrap lets http.ResponseController find the writer below.
func (w *timedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes within the timeout.
func (w *timedWriter) Write(data []byte) (int, error) {
	w.extend()
	return w.ResponseWriter.Write(data)
}

// FlushError flushes within the timeout.
func (w *timedWriter) FlushError() error {
	w.extend()
	return w.controller.Flush()
}

func (w *timedWriter) extend() {
	// Writers of tests have no deadlines.
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
}

// readBody reads a bounded body; ServeHTTP bounds the time that clients have
// for it.
func (s *Server) readBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, *port.Error) {
	if request.ContentLength > limit {
		writer.Header().Set("Connection", "close")
		return nil, bodyTooLarge(limit)
	}
	if request.ContentLength == 0 || request.Body == http.NoBody {
		return nil, nil
	}
	body, err := readAll(http.MaxBytesReader(writer, request.Body, limit), request.ContentLength)
	if err == nil {
		_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLarge(limit)
	}
	writer.Header().Set("Connection", "close")
	return nil, port.NewError(port.NotRun, port.CodeInvalid, "the body did not come whole: %v", err)
}

// smallBody is allocated at once; a longer body takes memory only as it comes.
const smallBody = 16 << 10

// readAll reads to the end; length is that announced, or -1.
func readAll(source io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > smallBody {
		return io.ReadAll(source)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(source, body)
	return body, err
}

func bodyTooLarge(limit int64) *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeTooLarge, "body is too large")
	refusal.Field, refusal.Allowed = "body", "at most "+formatInt(limit)+" bytes"
	return refusal
}

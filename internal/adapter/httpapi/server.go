package httpapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
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
	http     *httpserve.Server
	calls    chan struct{}
	streams  chan struct{}
	operator apikey.Digest
	idle     *httpserve.IdleConnections
	draining atomic.Bool
	serving  sync.WaitGroup
	closing  sync.Once
}

var _ http.Handler = (*Server)(nil)

// New returns a Server.
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
	s.http = httpserve.NewServer(httpserve.ServerConfig{
		Handler: s, Idle: s.idle, Memory: membudget.NewBudget(limits.MemoryBytes),
		Limits: httpserve.Limits{
			HeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
			BodyTimeout: limits.BodyTimeout, WriteTimeout: limits.WriteTimeout, Connections: limits.Connections,
		},
	})
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
	s.mux.HandleFunc("/", s.notFound)
}

// Start serves a listener in the background until ctx ends, which cuts off requests
// in flight; Shutdown stops gracefully.
func (s *Server) Start(ctx context.Context, listener net.Listener) {
	s.http.BaseContext = func(net.Listener) context.Context { return ctx }
	s.serving.Go(func() { _ = s.http.Serve(listener) })
	context.AfterFunc(ctx, s.Close)
}

// Drain rejects new requests as not run; requests in flight continue.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.idle.Drain()
}

// Shutdown stops gracefully: it drains for Limits.DrainDelay, closes the listener, keeps
// idle connections open for as long as their callers may use them (Limits.KeepAlive), and
// waits for requests in flight. If ctx ends first, it cuts off the rest and returns ctx's
// error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	delay := time.NewTimer(s.limits.DrainDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
	s.idle.Stop(ctx)
	err := s.http.Shutdown(ctx)
	s.Close()
	if err != nil {
		return eris.Wrap(err, "shut down")
	}
	return nil
}

// Close stops immediately.
func (s *Server) Close() {
	s.closing.Do(func() {
		s.draining.Store(true)
		_ = s.http.Close()
		s.serving.Wait()
	})
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	timed := newTimedWriter(writer, s.limits.WriteTimeout)
	if request.ContentLength != 0 {
		// The deadline also covers the body of a rejected request, which net/http
		// reads; readBody removes it once the body is complete.
		_ = timed.controller.SetReadDeadline(time.Now().Add(s.limits.BodyTimeout))
	}
	timed.Header().Set(api.HeaderCluster, s.config.Cluster)
	if refusal := s.rejectOtherCluster(request); refusal != nil {
		s.fail(timed, refusal)
		return
	}
	if strings.HasPrefix(request.URL.Path, api.PathApplication) {
		s.application(timed, request)
		return
	}
	s.mux.ServeHTTP(timed, request)
}

// rejectOtherCluster returns the refusal of a request for another cluster, whose node may
// have had this node's address before.
func (s *Server) rejectOtherCluster(request *http.Request) *port.Error {
	wanted := request.Header.Get(api.HeaderCluster)
	if wanted == "" || wanted == s.config.Cluster {
		return nil
	}
	refusal := port.NewError(port.NotRun, port.CodeMisdirected, "this is a node of cluster %q", s.config.Cluster)
	refusal.Field, refusal.Value = api.HeaderCluster, wanted
	return refusal
}

func (s *Server) notFound(writer http.ResponseWriter, request *http.Request) {
	s.fail(writer, port.NewError(port.NotRun, port.CodeNotFound, "no %s %s", request.Method, request.URL.Path))
}

// refuseWhileDraining returns the refusal of new requests while the node is stopping.
func (s *Server) refuseWhileDraining() *port.Error {
	if !s.draining.Load() {
		return nil
	}
	refusal := port.NewError(port.NotRun, port.CodeDraining, "the node is stopping")
	refusal.RetryAfter = time.Second
	return refusal
}

// acquire takes a slot, or fails immediately if none is free.
func acquire(slots chan struct{}) (release func(), refusal *port.Error) {
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, nil
	default:
		refusal = port.NewError(port.NotRun, port.CodeQueueFull, "too many requests in flight")
		refusal.RetryAfter = time.Second
		return nil, refusal
	}
}

// timedWriter limits how long a client may take to accept each write.
type timedWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

func newTimedWriter(writer http.ResponseWriter, timeout time.Duration) *timedWriter {
	return &timedWriter{writer, http.NewResponseController(writer), timeout}
}

// Unwrap returns the underlying writer, for http.ResponseController.
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
	// Writers in tests don't support deadlines.
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
}

// readBody reads a body of at most limit bytes; ServeHTTP sets the read deadline.
func (s *Server) readBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, *port.Error) {
	if request.ContentLength > limit {
		writer.Header().Set("Connection", "close")
		return nil, bodyTooLarge(limit)
	}
	if request.ContentLength == 0 || request.Body == http.NoBody {
		return nil, nil
	}
	memory := httpserve.ReservationOf(request)
	body, _, complete, err := membudget.Read(http.MaxBytesReader(writer, request.Body, limit), request.ContentLength, memory)
	if err == nil && (!complete || !memory.Reserve(int64(decodedCopies*len(body)))) {
		writer.Header().Set("Connection", "close")
		return nil, noMemory()
	}
	if err == nil {
		_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLarge(limit)
	}
	writer.Header().Set("Connection", "close")
	return nil, port.NewError(port.NotRun, port.CodeInvalid, "incomplete body: %v", err)
}

// decodedCopies is how often the bytes of a body are in memory once it is decoded and sent on.
const decodedCopies = 2

// noMemory returns the refusal of a request for whose body no memory is free.
func noMemory() *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeQueueFull, "no memory is free for the body")
	refusal.RetryAfter = time.Second
	return refusal
}

func bodyTooLarge(limit int64) *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeTooLarge, "body is too large")
	refusal.Field, refusal.Allowed = "body", "at most "+formatInt(limit)+" bytes"
	return refusal
}

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
	s.http = &http.Server{
		Handler:           s.idle.Handler(s),
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
	s.mux.HandleFunc("/", s.notFound)
}

// Start serves a listener in the background until ctx ends, which cuts off requests
// in flight; Shutdown stops gracefully.
func (s *Server) Start(ctx context.Context, listener net.Listener) {
	s.http.BaseContext = func(net.Listener) context.Context { return ctx }
	bounded := httpserve.LimitListener(listener, s.limits.Connections)
	s.serving.Go(func() { _ = s.http.Serve(s.idle.Listener(bounded)) })
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
	return nil, port.NewError(port.NotRun, port.CodeInvalid, "incomplete body: %v", err)
}

// maxPreallocBytes limits the memory allocated by the announced length of a body.
const maxPreallocBytes = 16 << 10

// readAll reads source to its end; length is the announced length, or -1.
func readAll(source io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxPreallocBytes {
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

package httpserve

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
)

const (
	// maxHeaderBytes, maxHeaderTimeout and maxIdleTimeout are the limits of net/http itself. Those of
	// Limits are stricter and may change while the server runs.
	maxHeaderBytes   = 1 << 20
	maxHeaderTimeout = time.Minute
	maxIdleTimeout   = 10 * time.Minute
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Handler http.Handler
	Limits  Limits
	// Current, if set, returns the limits in force; zero fields take those of Limits. It may be called
	// for every request.
	Current func() Limits
	// Memory limits the memory for the headers of requests, and for what handlers reserve by
	// ReservationOf; nil means no limit.
	Memory *membudget.Budget
	// Idle, if set, tracks the connections for a planned stop.
	Idle *IdleConnections
	// BaseContext, if set, is the context of all requests.
	BaseContext context.Context
}

// Server is an HTTP server that limits what its clients can use. All servers of this module are
// made by NewServer.
type Server struct {
	*http.Server
	guard *guard
	idle  *IdleConnections
}

// NewServer returns a server. Call its Serve with each listener.
func NewServer(config ServerConfig) *Server {
	if config.Idle == nil {
		config.Idle = NewUnannouncedConnections(0)
	}
	s := &Server{guard: newGuard(config), idle: config.Idle}
	s.Server = &http.Server{
		Handler:                      resetAborted(limitBodies(config.Idle.handler(config.Handler))),
		MaxHeaderBytes:               maxHeaderBytes,
		ReadHeaderTimeout:            maxHeaderTimeout,
		IdleTimeout:                  maxIdleTimeout,
		ConnState:                    config.Idle.observe,
		ConnContext:                  withConnection,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     log.New(io.Discard, "", 0),
	}
	if config.BaseContext != nil {
		s.BaseContext = func(net.Listener) context.Context { return config.BaseContext }
	}
	return s
}

// Serve serves a listener until the server is closed.
func (s *Server) Serve(listener net.Listener) error {
	return s.Server.Serve(s.Listener(listener))
}

// Listener returns the listener to serve in place of the given one, for callers of http.Server.Serve.
func (s *Server) Listener(listener net.Listener) net.Listener {
	return s.idle.listen(listener, s.guard)
}

// connectionKey is the key of the connection in the context of its requests.
type connectionKey struct{}

func withConnection(ctx context.Context, accepted net.Conn) context.Context {
	if conn, ok := accepted.(*connection); ok {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	return ctx
}

// ReservationOf returns the reservation of a request, which the server releases after the response. A
// request of another server has none, which means no limit.
func ReservationOf(r *http.Request) *membudget.Reservation {
	if conn, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		return conn.memory
	}
	return nil
}

// resetAborted resets the connections of HTTP/1.0 clients whose responses are aborted: nothing but the close
// ends the body of such a response unless its length is known.
func resetAborted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		completed := false
		defer func() {
			if conn, ok := r.Context().Value(connectionKey{}).(*connection); ok && !completed && !r.ProtoAtLeast(1, 1) {
				conn.resetOnClose()
			}
		}()
		next.ServeHTTP(w, r)
		completed = true
	})
}

// limitBodies makes clients send the bodies of their requests within Limits.BodyTimeout.
func limitBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connectionKey{}).(*connection)
		if conn == nil || r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body := &receivedBody{ReadCloser: r.Body, connection: conn}
		r.Body = body
		conn.beginBody()
		next.ServeHTTP(w, r)
		if !body.complete {
			conn.abandonBody()
		}
	})
}

// receivedBody is the body of a request that its client is sending.
type receivedBody struct {
	io.ReadCloser
	connection *connection
	complete   bool
}

// Read implements io.Reader.
func (b *receivedBody) Read(buf []byte) (int, error) {
	if b.complete {
		return b.ReadCloser.Read(buf)
	}
	b.connection.awaitBody()
	n, err := b.ReadCloser.Read(buf)
	b.connection.bodyArrived(n)
	if err == io.EOF {
		b.complete = true
		b.connection.endBody()
	}
	return n, err
}

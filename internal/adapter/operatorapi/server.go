package operatorapi

import (
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Limits of the interface.
const (
	MaxBodyBytes   = 3 << 20
	MaxHeaderBytes = 16 << 10
	MaxConnections = 256
	// MaxHeaderMemory limits the memory for the headers of requests in flight.
	MaxHeaderMemory = 16 << 20

	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 30 * time.Second
	defaultWriteTimeout  = 60 * time.Second
	idleTimeout          = 60 * time.Second
	// linger is how long a stopping server keeps idle connections open.
	linger        = time.Second
	callTimeout   = 20 * time.Second
	maxTokenBytes = 4096
)

// Limits limits what clients can use. Zero fields take their defaults.
type Limits struct {
	// Connections limits open connections; for a further one the server closes one whose client makes no
	// progress, or the further one waits. Default MaxConnections.
	Connections int
	// MemoryBytes limits the memory for the headers of requests in flight; default MaxHeaderMemory.
	MemoryBytes int64
	// HeaderTimeout, BodyTimeout and WriteTimeout limit the time to receive a header,
	// to receive a complete request, and to write the response; defaults 5s, 30s and 60s.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
}

func (l Limits) withDefaults() Limits {
	l.Connections = cmp.Or(l.Connections, MaxConnections)
	l.MemoryBytes = cmp.Or(l.MemoryBytes, MaxHeaderMemory)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, defaultHeaderTimeout)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, defaultBodyTimeout)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, defaultWriteTimeout)
	return l
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Backend Backend
	// Token authenticates operators; if empty, every operator call is rejected.
	Token string
	// CheckConfiguration, if set, checks the configuration that results from a change,
	// such as its policy programs, before the change is proposed.
	CheckConfiguration func(port.Configuration) error
	// Metrics, if set, serves api.PathMetrics without a token.
	Metrics http.Handler
	Limits  Limits
	// Now returns the time for ages in responses; nil means the system clock.
	Now func() time.Time
}

// Server serves the operator API over HTTP.
type Server struct {
	config      ServerConfig
	http        *httpserve.Server
	connections *httpserve.IdleConnections
}

// LoadToken reads a token from a file and trims white space.
func LoadToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "read token file")
	}
	token := strings.TrimSpace(string(data))
	if token == "" || len(token) > maxTokenBytes {
		return "", eris.Errorf("token file %s: %d bytes, want 1 to %d", path, len(token), maxTokenBytes)
	}
	return token, nil
}

// NewServer returns a server.
func NewServer(config ServerConfig) *Server {
	if config.Now == nil {
		config.Now = time.Now
	}
	config.Limits = config.Limits.withDefaults()
	server := &Server{config: config, connections: httpserve.NewUnannouncedConnections(linger)}
	server.http = httpserve.NewServer(httpserve.ServerConfig{
		Handler: server.routes(), Idle: server.connections, Memory: membudget.NewBudget(config.Limits.MemoryBytes),
		Limits: httpserve.Limits{
			HeaderBytes: MaxHeaderBytes, HeaderTimeout: config.Limits.HeaderTimeout, IdleTimeout: idleTimeout,
			BodyTimeout: config.Limits.BodyTimeout, WriteTimeout: config.Limits.WriteTimeout, Connections: config.Limits.Connections,
		},
	})
	server.http.ReadTimeout, server.http.WriteTimeout = config.Limits.BodyTimeout, config.Limits.WriteTimeout
	return server
}

// Handler returns the routes, for tests and embedding.
func (s *Server) Handler() http.Handler { return s.http.Server.Handler }

// Serve serves until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if eris.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve operators")
}

// Close stops immediately and cuts off calls in flight.
func (s *Server) Close() error { return s.http.Close() }

// Shutdown finishes calls in flight and stops.
func (s *Server) Shutdown(ctx context.Context) error {
	s.connections.Stop(ctx)
	return s.http.Shutdown(ctx)
}

// handler serves a call; its error becomes the response.
type handler func(writer http.ResponseWriter, request *http.Request) error

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathHealth, func(writer http.ResponseWriter, _ *http.Request) {
		httpserve.WriteJSON(writer, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET "+api.PathReady, s.ready)
	if s.config.Metrics != nil {
		mux.Handle("GET "+api.PathMetrics, s.config.Metrics)
	}
	for pattern, call := range map[string]handler{
		"GET " + PathConfig:         s.getConfig,
		"PUT " + PathConfig:         s.putConfig,
		"GET " + PathConfigHistory:  s.getHistory,
		"GET " + PathConfigStatus:   s.getConfigStatus,
		"GET " + PathWeights:        s.getWeights,
		"POST " + PathWeights:       s.postWeights,
		"GET " + PathPools:          s.getPools,
		"GET " + PathPool:           s.getPool,
		"GET " + PathReplicas:       s.getReplicas,
		"POST " + PathReplicaDrain:  s.setReplica(port.ReplicaDrain),
		"POST " + PathReplicaReturn: s.setReplica(port.ReplicaActive),
		"GET " + PathMembers:        s.getMembers,
		"POST " + PathMembers:       s.postMember,
		"DELETE " + PathMember:      s.changeMember(MemberRemove),
		"POST " + PathMemberPromote: s.changeMember(MemberPromote),
		"GET " + PathStatus:         s.getStatus,
	} {
		mux.HandleFunc(pattern, s.authenticate(call))
	}
	return mux
}

// authenticate checks the token, limits the call's duration and writes its error.
func (s *Server) authenticate(call handler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if !s.authorized(request) {
			writeError(writer, port.NewError(port.NotRun, port.CodeUnauthorized, "the operator token is missing or wrong"))
			return
		}
		ctx, cancel := context.WithTimeout(request.Context(), callTimeout)
		defer cancel()
		if err := call(writer, request.WithContext(ctx)); err != nil {
			writeError(writer, err)
		}
	}
}

// authorized compares digests, so that the duration reveals nothing about the token.
func (s *Server) authorized(request *http.Request) bool {
	presented, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !found || s.config.Token == "" {
		return false
	}
	want, got := sha256.Sum256([]byte(s.config.Token)), sha256.Sum256([]byte(presented))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

// ready reports whether this member is in contact with a quorum.
func (s *Server) ready(writer http.ResponseWriter, request *http.Request) {
	status, err := s.config.Backend.Status(request.Context())
	switch {
	case err != nil:
		writeError(writer, err)
	case !status.QuorumActive:
		writeError(writer, port.NewError(port.NotRun, port.CodeUnavailable, "no contact with a quorum"))
	default:
		httpserve.WriteJSON(writer, http.StatusOK, struct{}{})
	}
}

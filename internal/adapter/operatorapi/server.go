package operatorapi

import (
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Bounds of the interface.
const (
	MaxBodyBytes   = 3 << 20
	MaxHeaderBytes = 16 << 10
	MaxConnections = 256

	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 30 * time.Second
	defaultWriteTimeout  = 60 * time.Second
	idleTimeout          = 60 * time.Second
	callTimeout          = 20 * time.Second
	maxTokenBytes        = 4096
)

// Limits bound what clients can use. The zero value of a field means its
// default.
type Limits struct {
	// Connections bounds open connections; further ones wait. Default
	// MaxConnections.
	Connections int
	// HeaderTimeout, BodyTimeout and WriteTimeout bound the time to send a
	// header, to send a whole request, and to take the answer; defaults 5s, 30s
	// and 60s.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
}

func (l Limits) withDefaults() Limits {
	l.Connections = cmp.Or(l.Connections, MaxConnections)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, defaultHeaderTimeout)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, defaultBodyTimeout)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, defaultWriteTimeout)
	return l
}

// ServerConfig sets a server up.
type ServerConfig struct {
	Backend Backend
	// Token is what operators present; with an empty one every operator call
	// is refused.
	Token string
	// CheckConfiguration, if set, looks at the configuration that a change
	// would lead to before it is proposed, such as at its policy programs.
	CheckConfiguration func(port.Configuration) error
	// Metrics, if set, serves api.PathMetrics without a token.
	Metrics http.Handler
	Limits  Limits
	// Now gives the time, for ages in answers; nil takes the system's clock.
	Now func() time.Time
}

// Server serves operators over HTTP.
type Server struct {
	config ServerConfig
	http   *http.Server
}

// LoadToken reads a token from a file and drops white space around it.
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
	server := &Server{config: config}
	server.http = &http.Server{
		Handler:           server.routes(),
		MaxHeaderBytes:    MaxHeaderBytes,
		ReadHeaderTimeout: config.Limits.HeaderTimeout,
		ReadTimeout:       config.Limits.BodyTimeout,
		WriteTimeout:      config.Limits.WriteTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	return server
}

// Handler gives the routes, for tests and for embedding.
func (s *Server) Handler() http.Handler { return s.http.Handler }

// Serve serves until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(httpserve.BoundListener(listener, s.config.Limits.Connections))
	if eris.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve operators")
}

// Close stops at once and cuts off the calls in flight.
func (s *Server) Close() error { return s.http.Close() }

// Shutdown finishes the calls in flight and stops.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// handler is a call whose error becomes the answer.
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
		mux.HandleFunc(pattern, s.protect(call))
	}
	return mux
}

// protect checks the token, bounds the call's time and writes its error.
func (s *Server) protect(call handler) http.HandlerFunc {
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

// authorized compares digests, so that neither the time nor the length of the
// comparison tells anything about the token.
func (s *Server) authorized(request *http.Request) bool {
	presented, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !found || s.config.Token == "" {
		return false
	}
	want, got := sha256.Sum256([]byte(s.config.Token)), sha256.Sum256([]byte(presented))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

// ready says whether this member is in touch with a quorum.
func (s *Server) ready(writer http.ResponseWriter, request *http.Request) {
	status, err := s.config.Backend.Status(request.Context())
	switch {
	case err != nil:
		writeError(writer, err)
	case !status.QuorumActive:
		writeError(writer, port.NewError(port.NotRun, port.CodeUnavailable, "out of touch with a quorum"))
	default:
		httpserve.WriteJSON(writer, http.StatusOK, struct{}{})
	}
}

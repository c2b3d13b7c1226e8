package httpapi

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Backend is the node that serves the requests. Errors carry a *port.Error.
type Backend interface {
	// ID returns the node's id.
	ID() port.NodeID
	// NewRequestID returns an id that names the node as the holder of the request's
	// records.
	NewRequestID() port.RequestID
	// Application runs an application call and returns the complete response.
	Application(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, error)
	// Generate runs a completion; an error may follow chunks.
	Generate(ctx context.Context, request port.GenerateRequest, receive func(port.GenerateChunk) error) error
	// RegisterConsumer makes a trainer the only consumer of a pool.
	RegisterConsumer(ctx context.Context, register port.RegisterConsumer) (port.Consumer, error)
	// Batch returns a batch to a trainer, waiting for it at most waitMillis.
	Batch(ctx context.Context, pool port.PoolName, number port.BatchNumber, consumer port.Epoch, waitMillis int64) (api.Batch, error)
	// PublishWeights makes a version of a pool's weights current.
	PublishWeights(ctx context.Context, changeID string, publish port.PublishWeights) (port.Result, error)
	// Explain describes the decisions about a subject, with their records.
	Explain(ctx context.Context, subject string) ([]string, []port.Decision, error)
	// Ready reports whether the node accepts requests.
	Ready() bool
	// Unconfirmed reports whether the configuration lease has expired.
	Unconfirmed() bool
	// View returns the current control view.
	View() *port.View
	// Serving counts the replicas of this home node by pool and version.
	Serving() []port.ServingCount
}

// Recorder records metrics of requests to configured pools.
type Recorder interface {
	RequestStarted(pool port.PoolName) (done func())
	RequestDone(pool port.PoolName, failure *port.Error, elapsed time.Duration)
	TrainerWaited(pool port.PoolName, waited time.Duration)
}

// TenantLookup returns the current tenants. If there are none, every caller is
// accepted, without a tenant.
type TenantLookup func() []port.Tenant

// Config configures a Server.
type Config struct {
	Backend Backend
	// Cluster is the id of the node's cluster; requests for another one are rejected.
	Cluster string
	// Tenants defaults to the tenants of the Backend's view.
	Tenants TenantLookup
	// OperatorToken authenticates operators; if empty, their requests are rejected.
	OperatorToken string
	// Metrics serves /metrics; nil means none.
	Metrics http.Handler
	// Recorder may be nil.
	Recorder Recorder
	// OnPanic receives panics of the Backend, which are answered with an internal
	// error; nil ignores them.
	OnPanic func(recovered any, stack []byte)
	Limits  Limits
}

// Limits limits what callers can use. Zero fields take their defaults.
type Limits struct {
	// BodyBytes limits the body of an application call or completion; default 1 MiB.
	BodyBytes int64
	// CommandBytes limits every other body; default 64 KiB.
	CommandBytes int64
	// HeaderBytes limits a request's header; default 32 KiB.
	HeaderBytes int
	// TextBytes limits the text of a completion that isn't streamed; default 16 MiB.
	TextBytes int
	// MemoryBytes limits the memory for headers and bodies of requests in flight; default 64 MiB.
	MemoryBytes int64
	// Connections limits open connections; for a further one the server closes one whose client
	// makes no progress, or the further one waits. Default 8192.
	Connections int
	// Calls and Streams limit application calls and completions in flight; further
	// ones are rejected. Defaults 4096 each.
	Calls   int
	Streams int
	// HeaderTimeout and BodyTimeout limit the time to receive a header and a body;
	// defaults 5s and 15s.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// WriteTimeout limits the time that a client may take to accept one write;
	// default 10s.
	WriteTimeout time.Duration
	// IdleTimeout closes unused connections; default 60s.
	IdleTimeout time.Duration
	// KeepAlive is the announced time for which callers may reuse an idle connection;
	// a stopping server waits as long. Default 2s, in whole seconds.
	KeepAlive time.Duration
	// CancelGrace is how long a request whose deadline has passed or whose caller has
	// disconnected waits for the Backend's own verdict; default 100ms.
	CancelGrace time.Duration
	// DrainDelay is how long a stopping server rejects requests with
	// "Connection: close" before it closes idle connections; default 250ms.
	DrainDelay time.Duration
}

// Defaults of Limits.
const (
	defaultBodyBytes     = 1 << 20
	defaultCommandBytes  = 64 << 10
	defaultHeaderBytes   = 32 << 10
	defaultTextBytes     = 16 << 20
	defaultMemoryBytes   = 64 << 20
	defaultConnections   = 8192
	defaultCalls         = 4096
	defaultStreams       = 4096
	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 15 * time.Second
	defaultWriteTimeout  = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultKeepAlive     = 2 * time.Second
	defaultCancelGrace   = 100 * time.Millisecond
	defaultDrainDelay    = 250 * time.Millisecond
)

func (l Limits) withDefaults() Limits {
	l.BodyBytes = cmp.Or(l.BodyBytes, defaultBodyBytes)
	l.CommandBytes = cmp.Or(l.CommandBytes, defaultCommandBytes)
	l.HeaderBytes = cmp.Or(l.HeaderBytes, defaultHeaderBytes)
	l.TextBytes = cmp.Or(l.TextBytes, defaultTextBytes)
	l.MemoryBytes = cmp.Or(l.MemoryBytes, defaultMemoryBytes)
	l.Connections = cmp.Or(l.Connections, defaultConnections)
	l.Calls = cmp.Or(l.Calls, defaultCalls)
	l.Streams = cmp.Or(l.Streams, defaultStreams)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, defaultHeaderTimeout)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, defaultBodyTimeout)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, defaultWriteTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaultIdleTimeout)
	l.KeepAlive = cmp.Or(l.KeepAlive, defaultKeepAlive)
	l.CancelGrace = cmp.Or(l.CancelGrace, defaultCancelGrace)
	l.DrainDelay = cmp.Or(l.DrainDelay, defaultDrainDelay)
	return l
}

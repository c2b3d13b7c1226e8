package httpapi

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Backend is the node behind the interface. Errors carry a *port.Error.
type Backend interface {
	// ID gives the node's id.
	ID() port.NodeID
	// NewRequestID gives an id that names the node as the holder of the
	// request's records.
	NewRequestID() port.RequestID
	// Application serves a call and gives the whole answer.
	Application(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, error)
	// Generate serves a completion; an error may come after chunks.
	Generate(ctx context.Context, request port.GenerateRequest, receive func(port.GenerateChunk) error) error
	// RegisterConsumer makes a trainer the only consumer of a pool.
	RegisterConsumer(ctx context.Context, register port.RegisterConsumer) (port.Consumer, error)
	// Batch answers a trainer's question, held for at most waitMillis.
	Batch(ctx context.Context, pool port.PoolName, number port.BatchNumber, consumer port.Epoch, waitMillis int64) (api.Batch, error)
	// PublishWeights makes a version of a pool's weights current.
	PublishWeights(ctx context.Context, changeID string, publish port.PublishWeights) (port.Result, error)
	// Explain tells the decisions about a subject in words, with the records.
	Explain(ctx context.Context, subject string) ([]string, []port.Decision, error)
	// Ready says whether the node takes requests.
	Ready() bool
	// Unconfirmed says whether the configuration lease has run out.
	Unconfirmed() bool
	// View gives the control view that is in force here.
	View() *port.View
	// Serving counts, by pool and version, the replicas of this home.
	Serving() []port.ServingCount
}

// Recorder takes the measures of requests to configured pools.
type Recorder interface {
	RequestBegun(pool port.PoolName) (done func())
	RequestDone(pool port.PoolName, failure *port.Error, elapsed time.Duration)
	TrainerWaited(pool port.PoolName, waited time.Duration)
}

// TenantLookup gives the tenants that may call now. An empty list lets every
// caller in, without a tenant.
type TenantLookup func() []port.Tenant

// Config says how a Server serves.
type Config struct {
	Backend Backend
	// Tenants defaults to the tenants of the Backend's view.
	Tenants TenantLookup
	// OperatorToken allows operators' requests; empty refuses them all.
	OperatorToken string
	// Metrics serves /metrics; nil means none.
	Metrics http.Handler
	// Recorder may be nil.
	Recorder Recorder
	// Panicked is told of a panic of the Backend, which is answered as an
	// internal error; nil ignores it.
	OnPanic func(recovered any, stack []byte)
	Limits  Limits
}

// Limits bound what callers can use. The zero value of a field means its
// default.
type Limits struct {
	// BodyBytes bounds the body of an application call or completion; default
	// 1 MiB.
	BodyBytes int64
	// CommandBytes bounds every other body; default 64 KiB.
	CommandBytes int64
	// HeaderBytes bounds a request's header; default 32 KiB.
	HeaderBytes int
	// TextBytes bounds the text of a completion that isn't streamed; default
	// 16 MiB.
	TextBytes int
	// Connections bounds open connections; further ones wait. Default 8192.
	Connections int
	// Calls and Streams bound application calls and completions under way;
	// further ones are refused. Defaults 4096 each.
	Calls   int
	Streams int
	// HeaderTimeout and BodyTimeout bound the time to send a header and a body;
	// defaults 5s and 15s.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// WriteTimeout bounds the time a client may take to accept one write;
	// default 10s.
	WriteTimeout time.Duration
	// IdleTimeout closes unused connections; default 60s.
	IdleTimeout time.Duration
	// KeepAlive is how long callers are told that they may leave a connection
	// unused before they send on it again; a stopping server waits as long.
	// Default 2s, in whole seconds.
	KeepAlive time.Duration
	// GiveUpGrace is how long a request whose deadline has passed or whose
	// caller is gone waits for the Backend's own verdict; default 100ms.
	GiveUpGrace time.Duration
	// DrainDelay is how long a stopping server goes on refusing requests, with
	// "Connection: close", before it closes unused connections; default 250ms.
	DrainDelay time.Duration
}

// The defaults of Limits.
const (
	defaultBodyBytes     = 1 << 20
	defaultCommandBytes  = 64 << 10
	defaultHeaderBytes   = 32 << 10
	defaultTextBytes     = 16 << 20
	defaultConnections   = 8192
	defaultCalls         = 4096
	defaultStreams       = 4096
	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 15 * time.Second
	defaultWriteTimeout  = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultKeepAlive     = 2 * time.Second
	defaultGiveUpGrace   = 100 * time.Millisecond
	defaultDrainDelay    = 250 * time.Millisecond
)

func (l Limits) withDefaults() Limits {
	l.BodyBytes = cmp.Or(l.BodyBytes, defaultBodyBytes)
	l.CommandBytes = cmp.Or(l.CommandBytes, defaultCommandBytes)
	l.HeaderBytes = cmp.Or(l.HeaderBytes, defaultHeaderBytes)
	l.TextBytes = cmp.Or(l.TextBytes, defaultTextBytes)
	l.Connections = cmp.Or(l.Connections, defaultConnections)
	l.Calls = cmp.Or(l.Calls, defaultCalls)
	l.Streams = cmp.Or(l.Streams, defaultStreams)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, defaultHeaderTimeout)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, defaultBodyTimeout)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, defaultWriteTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaultIdleTimeout)
	l.KeepAlive = cmp.Or(l.KeepAlive, defaultKeepAlive)
	l.GiveUpGrace = cmp.Or(l.GiveUpGrace, defaultGiveUpGrace)
	l.DrainDelay = cmp.Or(l.DrainDelay, defaultDrainDelay)
	return l
}

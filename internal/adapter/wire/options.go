package wire

import (
	"net"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/descriptors"
	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
)

// ProtocolVersion is the version that both sides of a connection must speak.
const ProtocolVersion = 2

// Defaults of Options.
const (
	DefaultMaxFrameSize = 8 << 20
	DefaultMaxStreams   = 1024
	// DefaultMaxConnections exceeds the number of nodes that one member or node serves.
	DefaultMaxConnections = 8192
	DefaultWindow         = 1 << 20
	DefaultSendQueue      = 1024
	DefaultDialTimeout    = 2 * time.Second
	DefaultWriteTimeout   = 10 * time.Second
	DefaultPingInterval   = 2 * time.Second
	DefaultIdleTimeout    = 8 * time.Second
	DefaultBackoffBase    = 50 * time.Millisecond
	DefaultBackoffMax     = 2 * time.Second
)

// Options are the settings of one side of a connection. A zero field means its default.
type Options struct {
	// ClusterID must be equal on both sides of a connection.
	ClusterID string
	// Token is an optional secret that both sides share; a server with a token
	// rejects clients without it.
	Token string
	// Name identifies this process to the peer.
	Name string
	// MaxFrameSize limits one frame, in bytes.
	MaxFrameSize int
	// MaxStreams limits the open calls of one connection.
	MaxStreams int
	// MaxConnections limits the open connections of a server, as does the share of peers of the process's
	// descriptors (package descriptors). For a further one it closes the oldest that
	// is in the handshake or, if there is none, the further one, so that no call runs over it.
	MaxConnections int
	// Memory limits the memory for large frames that a server receives, until they are handled; nil means
	// no limit.
	Memory *membudget.Budget
	// Window is the number of unread bytes of a stream beyond which the sender
	// waits; the last frame may exceed it.
	Window int
	// SendQueue limits the frames queued for writing to a connection.
	SendQueue int
	// DialTimeout limits dial and handshake.
	DialTimeout time.Duration
	// WriteTimeout limits one write; a connection whose peer reads nothing for
	// that long is closed.
	WriteTimeout time.Duration
	// PingInterval is the interval between the pings of a client.
	PingInterval time.Duration
	// IdleTimeout is how long a connection may receive nothing before it is closed.
	IdleTimeout time.Duration
	// BackoffBase and BackoffMax limit the delay between dials, which is drawn
	// uniformly between zero and the current limit (full jitter).
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// Dial opens connections; nil means the standard TCP dialer.
	Dial func(address string, timeout time.Duration) (net.Conn, error)

	// compressor is shared by the connections of a pool or a server.
	compressor *compressor
}

func withDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// normalized returns the options with defaults filled in.
func (o Options) normalized() Options {
	o.MaxFrameSize = withDefault(o.MaxFrameSize, DefaultMaxFrameSize)
	o.MaxStreams = withDefault(o.MaxStreams, DefaultMaxStreams)
	o.MaxConnections = min(withDefault(o.MaxConnections, DefaultMaxConnections), descriptors.ForPeers(descriptors.Limit()))
	o.Window = withDefault(o.Window, DefaultWindow)
	o.SendQueue = withDefault(o.SendQueue, DefaultSendQueue)
	o.DialTimeout = withDefault(o.DialTimeout, DefaultDialTimeout)
	o.WriteTimeout = withDefault(o.WriteTimeout, DefaultWriteTimeout)
	o.PingInterval = withDefault(o.PingInterval, DefaultPingInterval)
	o.IdleTimeout = withDefault(o.IdleTimeout, DefaultIdleTimeout)
	o.BackoffBase = withDefault(o.BackoffBase, DefaultBackoffBase)
	o.BackoffMax = withDefault(o.BackoffMax, DefaultBackoffMax)
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.compressor == nil {
		o.compressor = newCompressor()
	}
	return o
}

// hello is the first message of a client.
type hello struct {
	Version   int    `cbor:"1,keyasint"`
	ClusterID string `cbor:"2,keyasint"`
	Token     string `cbor:"3,keyasint,omitempty"`
	Name      string `cbor:"4,keyasint,omitempty"`
	Window    uint32 `cbor:"5,keyasint"`
}

// welcome is the server's answer to hello; its frame assigns the connection's epoch.
type welcome struct {
	Version int    `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint,omitempty"`
}

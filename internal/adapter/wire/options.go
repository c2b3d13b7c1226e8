package wire

import (
	"net"
	"time"
)

// ProtocolVersion is the version that both sides of a connection must speak.
const ProtocolVersion = 2

// Defaults of Options.
const (
	DefaultMaxFrameSize = 8 << 20
	DefaultMaxStreams   = 1024
	// DefaultMaxConnections is above the nodes that one member or node serves.
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

// Options are the settings of one side of the protocol. A zero field takes its
// default.
type Options struct {
	// ClusterID must be equal on both sides of a connection.
	ClusterID string
	// Token is an optional secret that both sides share; a server with a token
	// refuses clients without it.
	Token string
	// Name tells the peer who this process is.
	Name string
	// MaxFrameSize bounds one frame, in bytes.
	MaxFrameSize int
	// MaxStreams bounds the open calls of one connection.
	MaxStreams int
	// MaxConnections bounds the connections that a server has open; a further one
	// is closed at once, so that calls over it are not run.
	MaxConnections int
	// Window is the count of bytes a stream may hold unread, beyond which the
	// sender waits; the last frame may run over it.
	Window int
	// SendQueue bounds the frames that wait to be written to a connection.
	SendQueue int
	// DialTimeout bounds dial and handshake.
	DialTimeout time.Duration
	// WriteTimeout bounds one write; a peer that reads nothing for so long
	// loses the connection.
	WriteTimeout time.Duration
	// PingInterval is how often a client makes a connection show signs of life.
	PingInterval time.Duration
	// IdleTimeout is how long a connection may stay silent before it is closed.
	IdleTimeout time.Duration
	// BackoffBase and BackoffMax bound the delay between dials, which is drawn
	// evenly from zero to the current bound (full jitter).
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// Dial opens connections; nil takes the standard TCP dialer.
	Dial func(address string, timeout time.Duration) (net.Conn, error)

	// packer is shared by the connections of a pool or a server.
	packer *packer
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
	o.MaxConnections = withDefault(o.MaxConnections, DefaultMaxConnections)
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
	if o.packer == nil {
		o.packer = newPacker()
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

// welcome is the server's answer to hello; the frame that carries it gives out
// the connection's epoch.
type welcome struct {
	Version int    `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint,omitempty"`
}

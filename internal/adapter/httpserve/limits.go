package httpserve

import (
	"cmp"
	"time"
)

// Defaults of Limits.
const (
	DefaultHeaderBytes   = 64 << 10
	DefaultHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout   = 90 * time.Second
	DefaultBodyTimeout   = 30 * time.Second
	DefaultWriteTimeout  = 15 * time.Second
	DefaultConnections   = 1024
)

// Limits limit what the clients of a server can use. A zero field takes its default.
type Limits struct {
	// HeaderBytes limits a request line with its header. A larger one is refused with 431.
	HeaderBytes int
	// HeaderTimeout limits the time from the first byte of a request to the end of its header. That of
	// ServerConfig.Limits also limits how long a connection may stay open before its first request.
	HeaderTimeout time.Duration
	// IdleTimeout limits how long a connection may stay open without a request.
	IdleTimeout time.Duration
	// BodyTimeout limits the time in which a client sends the next bodyProgressBytes of a body, or all
	// of the rest. The body then fails with os.ErrDeadlineExceeded.
	BodyTimeout time.Duration
	// WriteTimeout limits the time in which a client accepts the next writeChunkBytes of a response, or
	// all of the rest. The connection is then closed.
	WriteTimeout time.Duration
	// Connections limits the open connections, as does the share of clients of the process's descriptors
	// (package descriptors). For a further one the server closes one whose client
	// makes no progress; without one, it leaves the further one in the kernel's accept queue.
	Connections int
}

// withDefaults returns the limits with those of fallback in place of zero fields.
func (l Limits) withDefaults(fallback Limits) Limits {
	return Limits{
		HeaderBytes:   cmp.Or(l.HeaderBytes, fallback.HeaderBytes),
		HeaderTimeout: cmp.Or(l.HeaderTimeout, fallback.HeaderTimeout),
		IdleTimeout:   cmp.Or(l.IdleTimeout, fallback.IdleTimeout),
		BodyTimeout:   cmp.Or(l.BodyTimeout, fallback.BodyTimeout),
		WriteTimeout:  cmp.Or(l.WriteTimeout, fallback.WriteTimeout),
		Connections:   cmp.Or(l.Connections, fallback.Connections),
	}
}

// defaultLimits returns the defaults of all limits.
func defaultLimits() Limits {
	return Limits{
		HeaderBytes: DefaultHeaderBytes, HeaderTimeout: DefaultHeaderTimeout, IdleTimeout: DefaultIdleTimeout,
		BodyTimeout: DefaultBodyTimeout, WriteTimeout: DefaultWriteTimeout,
		Connections: DefaultConnections,
	}
}

package wire

import "sync/atomic"

// Counters count the traffic of a connection, a client or a server.
type Counters struct {
	bytesIn, bytesOut   atomic.Uint64
	framesIn, framesOut atomic.Uint64
	lateFrames          atomic.Uint64
	droppedMessages     atomic.Uint64
	connections         atomic.Uint64
	parent              *Counters
}

// Totals is a snapshot of Counters.
type Totals struct {
	// BytesIn and BytesOut count the bytes of complete frames.
	BytesIn, BytesOut uint64
	// FramesIn and FramesOut count frames.
	FramesIn, FramesOut uint64
	// LateFrames counts frames for a stream that was already closed.
	LateFrames uint64
	// DroppedMessages counts dropped one-way messages.
	DroppedMessages uint64
	// Connections counts connections that completed the handshake.
	Connections uint64
}

// Totals returns the current values.
func (c *Counters) Totals() Totals {
	return Totals{
		BytesIn:         c.bytesIn.Load(),
		BytesOut:        c.bytesOut.Load(),
		FramesIn:        c.framesIn.Load(),
		FramesOut:       c.framesOut.Load(),
		LateFrames:      c.lateFrames.Load(),
		DroppedMessages: c.droppedMessages.Load(),
		Connections:     c.connections.Load(),
	}
}

func (c *Counters) read(bytes int) {
	for ; c != nil; c = c.parent {
		c.bytesIn.Add(uint64(bytes))
		c.framesIn.Add(1)
	}
}

func (c *Counters) wrote(bytes int) {
	for ; c != nil; c = c.parent {
		c.bytesOut.Add(uint64(bytes))
		c.framesOut.Add(1)
	}
}

func (c *Counters) late() {
	for ; c != nil; c = c.parent {
		c.lateFrames.Add(1)
	}
}

func (c *Counters) dropped() {
	for ; c != nil; c = c.parent {
		c.droppedMessages.Add(1)
	}
}

func (c *Counters) connected() {
	for ; c != nil; c = c.parent {
		c.connections.Add(1)
	}
}

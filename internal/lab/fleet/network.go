package fleet

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
)

// frameHead is the size of the head that goes before each encoded frame on the
// wire, in bytes: a CBOR byte string with a four-byte length.
const frameHead = 5

// connectionEpoch stands for the epochs of long-lived connections.
const connectionEpoch = 300

// endpoint is one process on the network.
type endpoint struct {
	place place
	// isMember tells control members from nodes, which number counts.
	isMember bool
	number   int
	up       bool
	// incarnation counts starts; what belongs to an earlier one is void.
	incarnation uint64
	tally       tally
	stream      uint64
}

// network carries messages between processes.
type network struct {
	fleet *Fleet
	// cut is the region that no other one reaches; -1 means none.
	cut int
	// clients are the processes that each node has opened connections to.
	clients [][]*endpoint
}

// connected notes that a node has a connection to a process.
func (n *network) connected(from, to *endpoint) {
	if from.isMember || slices.Contains(n.clients[from.number], to) {
		return
	}
	n.clients[from.number] = append(n.clients[from.number], to)
}

// countPing counts a ping and the pong that answers it.
func (f *Fleet) countPing(from, to *endpoint) {
	for range 2 {
		from.tally.countSent(f.Now(), workPings, f.pingFrame)
		to.tally.countReceived(f.Now(), workPings, f.pingFrame)
		from, to = to, from
	}
}

// reaches says whether two places hear each other.
func (n *network) reaches(from, to place) bool {
	if n.cut < 0 || from.region == to.region {
		return true
	}
	return from.region != n.cut && to.region != n.cut
}

// message is what one process sends another.
type message struct {
	kind   work
	frame  wire.Kind
	method string
	body   any
}

// encode gives the encoded body, and the size of its frame on the wire.
func (f *Fleet) encode(from *endpoint, sent message) (body []byte, size int) {
	body, err := wire.Marshal(sent.body)
	if err != nil {
		f.violate("encoding", "%s: %v", sent.method, err)
	}
	if sent.frame != wire.KindOneWay {
		from.stream++
	}
	frame := wire.Frame{Epoch: connectionEpoch, Stream: from.stream, Kind: sent.frame, Method: sent.method, Body: body}
	return body, f.frameSize(frame)
}

// send encodes a message and lets it arrive after the time between the places.
// Receive gets the encoded body, within the receiver's time.
func (f *Fleet) send(from, to *endpoint, sent message, receive func(body []byte)) {
	body, size := f.encode(from, sent)
	from.tally.countSent(f.Now(), sent.kind, size)
	if sent.frame == wire.KindOneWay || sent.frame == wire.KindCall {
		f.network.connected(from, to)
	}
	f.carry(from, to, sent.kind, size, func() { receive(body) })
}

// answer sends an answer to a call: a data frame and an end frame, or the end
// frame alone.
func (f *Fleet) answer(from, to *endpoint, kind work, body any, receive func(body []byte)) {
	if body != nil {
		f.send(from, to, message{kind: kind, frame: wire.KindData, body: body}, receive)
		receive = func([]byte) {}
	}
	from.tally.countSent(f.Now(), kind, f.endFrame)
	f.carry(from, to, kind, f.endFrame, func() { receive(nil) })
}

// measureFrames gives the sizes of frames without contents.
func (f *Fleet) measureFrames() {
	f.endFrame = f.frameSize(wire.Frame{Epoch: connectionEpoch, Stream: 1 << 16, Kind: wire.KindEnd, Sequence: 1})
	f.pingFrame = f.frameSize(wire.Frame{Epoch: connectionEpoch, Kind: wire.KindPing})
}

// frameSize is the size of a frame on the wire.
func (f *Fleet) frameSize(frame wire.Frame) int {
	encoded, err := wire.Marshal(&frame)
	if err != nil {
		f.violate("encoding", "frame of kind %d: %v", frame.Kind, err)
	}
	return frameHead + len(encoded)
}

// carry delivers a counted frame. What the network cuts off, or what arrives at
// a process that is down, is lost.
func (f *Fleet) carry(from, to *endpoint, kind work, size int, receive func()) {
	incarnation := to.incarnation
	f.After(latency(from.place, to.place), func() {
		if !to.up || to.incarnation != incarnation || !f.network.reaches(from.place, to.place) {
			return
		}
		to.tally.countReceived(f.Now(), kind, size)
		f.charge(to, kind, receive)
	})
}

// charge runs work in a process and counts the time that it takes.
func (f *Fleet) charge(process *endpoint, kind work, run func()) {
	began := time.Now()
	run()
	process.tally.busy[kind] += time.Since(began)
}

// every runs work in a process again and again while it is up in this
// incarnation; interval may change between runs.
func (f *Fleet) every(process *endpoint, kind work, first time.Duration, run func() time.Duration) {
	incarnation := process.incarnation
	var again func()
	again = func() {
		if !process.up || process.incarnation != incarnation {
			return
		}
		var next time.Duration
		f.charge(process, kind, func() { next = run() })
		f.After(next, again)
	}
	f.After(first, again)
}

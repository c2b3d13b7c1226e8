package clients

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
)

const (
	// siteCluster is the cluster id of a site's processes.
	siteCluster = "site"
	// byteStringHead and compressedTag begin an item of the protocol between processes.
	byteStringHead = 0x5a
	compressedTag  = 0xc6
	itemHeadBytes  = 5
	// frameMargin is what a frame has beside its body.
	frameMargin = 100
)

// item returns content as an item of the protocol between processes.
func item(content []byte) []byte {
	head := binary.BigEndian.AppendUint32([]byte{byteStringHead}, uint32(len(content)))
	return append(head, content...)
}

// compressedItem returns content as a compressed item.
func compressedItem(content []byte) []byte {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestCompression)
	if err != nil {
		panic(err) // the level is a constant
	}
	_, _ = writer.Write(content) // writes to a buffer do not fail
	_ = writer.Close()
	return append([]byte{compressedTag}, item(compressed.Bytes())...)
}

func marshal(value any) []byte {
	encoded, err := wire.Marshal(value)
	if err != nil {
		panic(err) // the values are constants
	}
	return encoded
}

// greet completes the handshake and returns the epoch of the connection; ok is false if the process
// refuses it.
func (c *client) greet() (epoch uint64, ok bool) {
	hello := marshal(map[int]any{1: wire.ProtocolVersion, 2: siteCluster, 4: c.id(), 5: wire.DefaultWindow})
	if !c.write(item(marshal(wire.Frame{Kind: wire.KindHello, Body: hello}))) {
		return 0, false
	}
	_ = c.SetReadDeadline(time.Now().Add(sendTimeout))
	var head [itemHeadBytes]byte
	if _, err := io.ReadFull(c, head[:]); err != nil || head[0] != byteStringHead {
		return 0, false
	}
	content := make([]byte, min(binary.BigEndian.Uint32(head[1:]), blockBytes))
	if _, err := io.ReadFull(c, content); err != nil {
		return 0, false
	}
	var welcome wire.Frame
	err := wire.Unmarshal(content, &welcome)
	return welcome.Epoch, err == nil && welcome.Kind == wire.KindWelcome
}

// strangerKinds is the number of peerKinds, the first ones, that need no handshake.
const strangerKinds = 4

// peerKinds are the kinds of clients of the listeners for other processes of the site.
func peerKinds() []kind {
	largest := make([]byte, wire.DefaultMaxFrameSize-frameMargin)
	names := make([]string, 1<<20)
	manyNames := marshal(sitecontrol.Request{Store: &sitecontrol.StoreHeartbeat{Members: names}})
	// call returns a kind whose clients send frames of one call each after the handshake.
	call := func(frames int, method string, body []byte, encode func([]byte) []byte) func(*client) {
		return func(c *client) {
			epoch, ok := c.greet()
			for stream := uint64(1); ok && stream <= uint64(frames); stream++ {
				ok = c.write(encode(marshal(wire.Frame{Epoch: epoch, Stream: stream, Kind: wire.KindCall, Method: method, Body: body})))
			}
		}
	}
	return []kind{
		{"silent", 1200, func(*client) {}},
		{"half a hello", 1200, func(c *client) { c.write([]byte{byteStringHead, 0, 0, 15, 0, 1}) }},
		{"a request of HTTP", 1200, func(c *client) { c.write([]byte(headOf("GET", "/", c.id()) + "\r\n")) }},
		{"a hello of 4 GB", 400, func(c *client) { c.write([]byte{byteStringHead, 255, 255, 255, 255, 1}) }},
		{"silent after the hello", 1200, func(c *client) { c.greet() }},
		{"a frame but its last byte", 60, func(c *client) {
			if epoch, ok := c.greet(); ok {
				whole := item(marshal(wire.Frame{Epoch: epoch, Stream: 1, Kind: wire.KindCall, Method: "x", Body: largest}))
				c.write(whole[:len(whole)-1])
			}
		}},
		{"only the head of a large frame", 200, func(c *client) {
			if _, ok := c.greet(); ok {
				c.write(item(largest)[:itemHeadBytes])
			}
		}},
		{"large frames", 60, call(3, "x", largest, item)},
		{"compressed frames", 60, call(20, "x", largest, compressedItem)},
		{"calls of many short names", 60, call(3, sitecontrol.MethodCall, manyNames, item)},
		{"calls whose answers are unread", 200, call(2000, "x", nil, item)},
	}
}

// peerDoors returns the listeners for other processes.
func (s *site) peerDoors() []door {
	return []door{
		{name: "peers of a front", process: frontName, address: s.address(frontName, s.ports.peer), check: s.checkRequest},
		{name: "peers of a control process", process: controlNames[0], address: s.address(controlNames[0], s.ports.peer), check: s.checkConfiguration},
		{name: "peers of a store", process: storeNames[0], address: s.address(storeNames[0], s.ports.peer), check: s.checkJob},
	}
}

// TestPeerCrowds plays every kind of client at every listener for other processes.
func TestPeerCrowds(t *testing.T) {
	build(t)
	kinds := peerKinds()
	playCrowds(t, startSite, (*site).peerDoors, func(door) []kind { return kinds })
}

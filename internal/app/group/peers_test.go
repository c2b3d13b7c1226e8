package group

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// heldConn is a connection that holds up large writes, as a lost packet of a long message does.
type heldConn struct {
	net.Conn
	released <-chan struct{}
}

func (c heldConn) Write(data []byte) (int, error) {
	const largeWrite = 8 << 10
	if len(data) > largeWrite {
		<-c.released
	}
	return c.Conn.Write(data)
}

// A leader lost its quorum while its heartbeats waited behind the log of a new member on one
// connection.
func TestHeartbeatDoesNotWaitForTheLog(t *testing.T) {
	var mutex sync.Mutex
	received := map[consensus.MessageKind]int{}
	server := wire.NewServer(wire.Options{ClusterID: "test", Name: "b"})
	server.HandleMessage("test", func(_ context.Context, call *wire.Call) {
		var message consensus.Message
		if call.Decode(&message) != nil {
			return
		}
		mutex.Lock()
		defer mutex.Unlock()
		received[message.Kind]++
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)

	released := make(chan struct{})
	members := newPeers(wire.Options{ClusterID: "test", Name: "a", Dial: func(address string, timeout time.Duration) (net.Conn, error) {
		conn, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			return nil, err
		}
		return heldConn{Conn: conn, released: released}, nil
	}}, "test")
	t.Cleanup(members.close)
	members.setAddresses([]groupmember.Record{{ID: 2, Address: listener.Addr().String()}}, false)

	count := func(kind consensus.MessageKind) int {
		mutex.Lock()
		defer mutex.Unlock()
		return received[kind]
	}
	await := func(what string, send func(), done func() bool) {
		t.Helper()
		for range 500 {
			if send(); done() {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("%s did not arrive", what)
	}
	small := consensus.Message{Kind: consensus.MessageAppend, From: 1, To: 2, Term: 1}
	heartbeat := consensus.Message{Kind: consensus.MessageHeartbeat, From: 1, To: 2, Term: 1}
	await("a heartbeat", func() { members.send(heartbeat) }, func() bool { return count(consensus.MessageHeartbeat) > 0 })
	for range 20 { // the connection for the log is made in the background
		members.send(small)
		time.Sleep(10 * time.Millisecond)
	}
	log := consensus.Message{Kind: consensus.MessageAppend, From: 1, To: 2, Term: 1, Entries: []consensus.Entry{{Index: 1, Term: 1, Data: incompressible(256 << 10)}}}
	members.send(log)
	before := count(consensus.MessageHeartbeat)
	await("a heartbeat after the log", func() { members.send(heartbeat) }, func() bool { return count(consensus.MessageHeartbeat) > before })
	close(released)
}

func incompressible(size int) []byte {
	data := make([]byte, size)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return data
}

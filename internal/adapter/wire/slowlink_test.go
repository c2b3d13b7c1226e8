package wire_test

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
)

// slowConn needs a while for each large write, as a link that loses packets does.
type slowConn struct{ net.Conn }

func (c slowConn) Write(data []byte) (int, error) {
	const largeWrite, pause = 16 << 10, 50 * time.Millisecond
	if len(data) > largeWrite {
		time.Sleep(pause)
	}
	return c.Conn.Write(data)
}

// A connection that delivers one frame after the other is not closed, however long all queued
// frames take: the limit for a write once held for all of them.
func TestWriteTimeoutHoldsForEachFrame(t *testing.T) {
	const frames, frameBytes, writeTimeout = 12, 64 << 10, 200 * time.Millisecond
	var received atomic.Int64
	server := wire.NewServer(wire.Options{ClusterID: "test", Name: "b"})
	server.HandleMessage("test", func(context.Context, *wire.Call) { received.Add(1) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	client := wire.NewClient(listener.Addr().String(), wire.Options{
		ClusterID: "test", Name: "a", WriteTimeout: writeTimeout,
		Dial: func(address string, timeout time.Duration) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, timeout)
			return slowConn{conn}, err
		},
	})
	t.Cleanup(client.Close)
	data := make([]byte, frameBytes)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	for client.Send(context.Background(), "test", "first") != nil {
		time.Sleep(10 * time.Millisecond)
	}
	for range frames {
		if err := client.Send(context.Background(), "test", data); err != nil {
			t.Fatal(err)
		}
	}
	for range 200 {
		if received.Load() == frames+1 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got, connections := received.Load(), client.Totals().Connections; got != frames+1 || connections != 1 {
		t.Errorf("%d of %d messages arrived over %d connections", got, frames+1, connections)
	}
}

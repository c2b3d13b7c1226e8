package fleet

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/engineclient"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// pollCost is the size of one HTTP exchange with an engine, in bytes.
type pollCost struct{ request, response int }

// countedListener counts the bytes of its connections.
type countedListener struct {
	net.Listener
	in, out atomic.Int64
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countedConn{Conn: conn, listener: l}, err
}

type countedConn struct {
	net.Conn
	listener *countedListener
}

// Read implements net.Conn.
func (c *countedConn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	c.listener.in.Add(int64(count))
	return count, err
}

// Write implements net.Conn. It counts first: the peer may have the bytes, and
// read the count, before the write returns.
func (c *countedConn) Write(data []byte) (int, error) {
	c.listener.out.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// measurePolls lets the real engine client ask a server on the loopback for the
// load and for cache events, of which there are none, and gives the bytes of
// both exchanges.
func measurePolls() ([]pollCost, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	listener := &countedListener{Listener: inner}
	server := &http.Server{Handler: pollHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	client := httpcall.New(httpcall.Limits{})
	engine := engineclient.New(client, client, inner.Addr().String(), engineclient.Limits{})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	// The first exchange opens the connection.
	if _, err := engine.Load(ctx); err != nil {
		return nil, err
	}
	load, err := listener.count(func() error { _, err := engine.Load(ctx); return err })
	if err != nil {
		return nil, err
	}
	events, err := listener.count(func() error { _, _, err := engine.CacheEvents(ctx, 1); return err })
	return []pollCost{load, events}, err
}

// count gives the bytes that an exchange takes.
func (l *countedListener) count(exchange func() error) (pollCost, error) {
	in, out := l.in.Load(), l.out.Load()
	if err := exchange(); err != nil {
		return pollCost{}, err
	}
	return pollCost{request: int(l.in.Load() - in), response: int(l.out.Load() - out)}, nil
}

func pollHandler() http.Handler {
	mux := http.NewServeMux()
	report := newEngine(nil, port.Replica{}).report
	report.Running, report.KVUsed, report.AgeMillis = 20, kvBlocks/2, 100
	answer := func(writer http.ResponseWriter, body any) {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(body)
	}
	mux.HandleFunc("GET "+api.PathEngineLoad, func(writer http.ResponseWriter, _ *http.Request) { answer(writer, report) })
	mux.HandleFunc("GET "+api.PathCacheEvents, func(writer http.ResponseWriter, _ *http.Request) {
		answer(writer, api.CacheEvents{First: 1, Events: []port.CacheEvent{}})
	})
	return mux
}

package httpapi_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpapi"
	"github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// A node is a Backend.
var _ httpapi.Backend = (*node.Node)(nil)

const (
	operatorToken = "operator secret"
	tenantToken   = "tenant secret"
	// tenantDigest is the SHA-256 of tenantToken.
	tenantDigest = "c4fc99450884048588eb16d93597290ea6c31b0fd4d2fcc9157f9ffb35e95f1a"
)

// fakeBackend answers with its functions.
type fakeBackend struct {
	ids         atomic.Int64
	application func(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, error)
	generate    func(ctx context.Context, request port.GenerateRequest, receive func(port.GenerateChunk) error) error
	register    func(register port.RegisterConsumer) (port.Consumer, error)
	batch       func(pool port.PoolName, number port.BatchNumber, consumer port.Epoch, waitMillis int64) (api.Batch, error)
	publish     func(changeID string, publish port.PublishWeights) (port.Result, error)
	decisions   []port.Decision
	notReady    bool
	unconfirmed bool
	view        port.View
}

func (b *fakeBackend) ID() port.NodeID { return "n1" }

func (b *fakeBackend) NewRequestID() port.RequestID {
	return port.RequestID("r-n1-" + strconv.FormatInt(b.ids.Add(1), 16))
}

func (b *fakeBackend) Application(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, error) {
	return b.application(ctx, request)
}

func (b *fakeBackend) Generate(ctx context.Context, request port.GenerateRequest, receive func(port.GenerateChunk) error) error {
	return b.generate(ctx, request, receive)
}

func (b *fakeBackend) RegisterConsumer(_ context.Context, register port.RegisterConsumer) (port.Consumer, error) {
	return b.register(register)
}

func (b *fakeBackend) Batch(_ context.Context, pool port.PoolName, number port.BatchNumber, consumer port.Epoch, waitMillis int64) (api.Batch, error) {
	return b.batch(pool, number, consumer, waitMillis)
}

func (b *fakeBackend) PublishWeights(_ context.Context, changeID string, publish port.PublishWeights) (port.Result, error) {
	return b.publish(changeID, publish)
}

func (b *fakeBackend) Explain(_ context.Context, subject string) ([]string, []port.Decision, error) {
	return []string{"about " + subject}, b.decisions, nil
}

func (b *fakeBackend) Ready() bool                  { return !b.notReady }
func (b *fakeBackend) Unconfirmed() bool            { return b.unconfirmed }
func (b *fakeBackend) View() *port.View             { return &b.view }
func (b *fakeBackend) Serving() []port.ServingCount { return nil }

// newServer serves a backend and returns the server and its address.
func newServer(t testing.TB, backend httpapi.Backend, limits httpapi.Limits) (*httpapi.Server, string) {
	t.Helper()
	return newServerWith(t, httpapi.Config{Backend: backend, OperatorToken: operatorToken, Limits: limits})
}

func newServerWith(t testing.TB, config httpapi.Config) (*httpapi.Server, string) {
	t.Helper()
	if config.Limits.DrainDelay == 0 {
		config.Limits.DrainDelay = time.Millisecond
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	server := httpapi.New(config)
	server.Start(context.Background(), listener)
	t.Cleanup(server.Close)
	return server, listener.Addr().String()
}

// echoApplication returns the method, path and body of the request.
func echoApplication(_ context.Context, request port.ApplicationRequest) (port.ApplicationResponse, error) {
	return port.ApplicationResponse{
		Status: http.StatusAccepted,
		Header: []port.HeaderField{{Name: "X-Back-End", Value: "b1"}},
		Body:   []byte(request.Method + " " + request.Path + " " + string(request.Body)),
	}, nil
}

// generateThreeChunks streams three chunks with two versions.
func generateThreeChunks(_ context.Context, request port.GenerateRequest, receive func(port.GenerateChunk) error) error {
	chunks := []port.GenerateChunk{
		{Text: "one ", Tokens: 2, Version: 4},
		{Text: "two ", Tokens: 1, Version: 5},
		{Text: "three", Tokens: 1, Version: 5, Finish: port.FinishStop},
	}
	for _, chunk := range chunks {
		if err := receive(chunk); err != nil {
			return err
		}
	}
	return nil
}

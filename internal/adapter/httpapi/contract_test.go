package httpapi_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/contracttest"
	"github.com/loomgrade/loomgrade/internal/adapter/httpapi"
	"github.com/loomgrade/loomgrade/internal/port"
)

// TestServerKeepsContract sends faulty requests to the endpoints of callers and
// trainers that take a body.
func TestServerKeepsContract(t *testing.T) {
	const bodyLimit = 4 << 10
	var ran atomic.Int64
	count := func() int { return int(ran.Load()) }
	backend := &fakeBackend{
		generate: func(ctx context.Context, request port.GenerateRequest, receive func(port.GenerateChunk) error) error {
			ran.Add(1)
			return generateThreeChunks(ctx, request, receive)
		},
		register: func(register port.RegisterConsumer) (port.Consumer, error) {
			ran.Add(1)
			return port.Consumer{Name: register.Consumer, Epoch: 1}, nil
		},
		publish: func(string, port.PublishWeights) (port.Result, error) {
			ran.Add(1)
			return port.Result{}, nil
		},
	}
	_, address := newServer(t, backend, httpapi.Limits{BodyBytes: bodyLimit, CommandBytes: bodyLimit})
	calls := map[string]struct{ path, body string }{
		"completion":       {"/v1/completions", `{"model":"lm","prompt":"p","max_tokens":8}`},
		"register":         {"/v1/pools/lm/consumers", `{"consumer":"trainer"}`},
		"publish weights":  {"/v1/pools/lm/weights", `{"version":4,"bytes":9,"consumer_epoch":1}`},
		"streamed request": {"/v1/completions", `{"model":"lm","prompt":"p","max_tokens":8,"stream":true}`},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			contracttest.RunServer(t, contracttest.Endpoint{
				Address: address, Method: http.MethodPost, Path: call.path, Body: call.body,
				BodyLimit: bodyLimit, Ran: count,
			})
		})
	}
}

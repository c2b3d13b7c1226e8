package appclient_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/contracttest"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
)

func TestCallWithStandIn(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			contracttest.RunPairing(t, contracttest.Pairing{
				Start: func(t *testing.T) contracttest.StandIn {
					started, err := standin.StartApplication(context.Background(), standin.ApplicationConfig{})
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(started.Close)
					return started
				},
				Dial: func(address string) func(context.Context, int) error {
					client := newClient(t, address)
					return func(ctx context.Context, number int) error {
						name := fmt.Sprint("call-", number)
						response, err := client.Call(ctx, port.ApplicationRequest{
							ID: port.RequestID(fmt.Sprint("r-n-", number)), Method: method,
							Path: "/read?" + standin.QueryCall + "=" + name, Body: []byte("body"),
						})
						if err != nil {
							return err
						}
						var answer standin.ApplicationAnswer
						if err := json.Unmarshal(response.Body, &answer); err != nil || !answer.CompleteFor(name) {
							return fmt.Errorf("answer %s: %w", response.Body, err)
						}
						return nil
					}
				},
			})
		})
	}
}

package engineclient_test

import (
	"context"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/engineclient"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// TestStreamWithoutEndIsCutOff guards against a completion that outlives its deadline, delivers
// what is no chunk, or reads without a limit, while an engine sends bytes without end.
func TestStreamWithoutEndIsCutOff(t *testing.T) {
	const deadline, margin = time.Second, 3 * time.Second
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + api.HeaderRequestID + ": {id}\r\n"
	rows := testkit.EndlessHeads()
	for name, answer := range testkit.EndlessBodies(head) {
		rows[name] = answer
	}
	for name, text := range map[string]string{
		"event of many lines": "data: a\n", "comments": ": alive\n\n", "empty lines": "\n", "events without data": "event: a\n\n",
		"empty chunks": "data: {\"id\":\"{id}\",\"choices\":[]}\n\n",
	} {
		rows["stream, "+name] = testkit.EndlessAnswer{Start: head + "\r\n", Repeat: text}
	}
	for name, answer := range testkit.Dripped(rows) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewEndlessServer(t, api.HeaderRequestID, func(int) testkit.EndlessAnswer { return answer })
			streams, control := httpcall.New(httpcall.Limits{}), httpcall.New(httpcall.Limits{})
			defer streams.Close()
			defer control.Close()
			client := engineclient.New(streams, control, server.Address(), engineclient.Limits{CancelTimeout: deadline})
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			started := time.Now()
			err := client.Generate(ctx, port.GenerateRequest{ID: "r"}, func(chunk port.GenerateChunk) error {
				t.Errorf("chunk %+v", chunk)
				return nil
			})
			if err == nil || port.AsError(err).Verdict != port.MayHaveRun {
				t.Errorf("ended with %v", err)
			}
			if took := time.Since(started); took > deadline+margin {
				t.Errorf("the call took %v", took)
			}
			client.Close()
			server.AwaitClosed(t, margin)
		})
	}
}

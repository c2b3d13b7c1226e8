package engineclient_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/contracttest"
	"github.com/loomgrade/loomgrade/internal/adapter/engineclient"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

const (
	eventBytes  = 4 << 10
	answerBytes = 4 << 10
)

func newClient(t *testing.T, address string) *engineclient.Client {
	streams, control := httpcall.New(httpcall.Limits{}), httpcall.New(httpcall.Limits{})
	client := engineclient.New(streams, control, address, engineclient.Limits{EventBytes: eventBytes, AnswerBytes: answerBytes})
	t.Cleanup(func() {
		client.Close()
		streams.Close()
		control.Close()
	})
	return client
}

// streamThreeChunks streams three chunks; the text begins with the request's id.
func streamThreeChunks(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "text/event-stream")
	id := request.Header.Get(api.HeaderRequestID)
	parts := []string{id, "-mid", "-end"}
	for index, part := range parts {
		chunk := api.CompletionChunk{
			ID:      id,
			Object:  "text_completion",
			Choices: []api.CompletionChoice{{Text: part}},
			Spans:   []port.Span{{Version: port.WeightVersion(7 + index), Tokens: 2}},
		}
		if index == len(parts)-1 {
			chunk.Choices[0].FinishReason = "stop"
			chunk.Usage = &api.Usage{CompletionTokens: 6}
		}
		encoded, _ := json.Marshal(chunk)
		fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", index+1, encoded)
	}
	fmt.Fprintf(writer, "id: %d\ndata: [DONE]\n\n", len(parts)+1)
}

func generateText(ctx context.Context, client *engineclient.Client, id port.RequestID) (string, error) {
	var text strings.Builder
	var spans []port.Span
	finished := false
	request := port.GenerateRequest{ID: id, Pool: "lm", Prompt: "p", MaxTokens: 16}
	err := client.Generate(ctx, request, func(chunk port.GenerateChunk) error {
		text.WriteString(chunk.Text)
		spans = port.AppendTokens(spans, chunk.Version, chunk.Tokens)
		finished = chunk.Finish != ""
		return nil
	})
	if err != nil && finished {
		return "finished and failed", err
	}
	return fmt.Sprintf("%s %v", text.String(), spans), err
}

func requestID(number int) port.RequestID { return port.RequestID(fmt.Sprintf("r-n-%d", number)) }

func TestGenerateKeepsContract(t *testing.T) {
	contracttest.Run(t, contracttest.Subject{
		Handler: http.HandlerFunc(streamThreeChunks),
		Dial: func(address string) func(context.Context, int) (string, error) {
			client := newClient(t, address)
			return func(ctx context.Context, number int) (string, error) {
				return generateText(ctx, client, requestID(number))
			}
		},
		Want: func(number int) string {
			return fmt.Sprintf("r-n-%d-mid-end [{7 2} {8 2} {9 2}]", number)
		},
		AnswerBytes: eventBytes,
		Streamed:    true,
		Cancels:     true,
	})
}

// controlCall is a call with a JSON response.
type controlCall struct {
	name   string
	answer any
	call   func(ctx context.Context, client *engineclient.Client, number int) (string, error)
	want   string
}

var controlCalls = []controlCall{
	{
		name:   "order",
		answer: port.LoadReport{Version: 3, Fence: 9},
		call: func(ctx context.Context, client *engineclient.Client, number int) (string, error) {
			report, err := client.Order(ctx, port.Order{Kind: port.OrderActivate, Version: 3, Fence: 9})
			return fmt.Sprint(report.Version, report.Fence), err
		},
		want: "3 9",
	},
	{
		name:   "load",
		answer: port.LoadReport{Running: 4, AgeMillis: 250},
		call: func(ctx context.Context, client *engineclient.Client, number int) (string, error) {
			report, err := client.Load(ctx)
			return fmt.Sprint(report.Running, report.AgeMillis), err
		},
		want: "4 250",
	},
	{
		name:   "cache events",
		answer: api.CacheEvents{First: 1, Events: []port.CacheEvent{{Sequence: 3, Block: 30}, {Sequence: 2, Block: 20}, {Sequence: 3, Block: 30}}},
		call: func(ctx context.Context, client *engineclient.Client, number int) (string, error) {
			events, gap, err := client.CacheEvents(ctx, 1)
			return fmt.Sprint(events, gap), err
		},
		want: "[{2 20 false} {3 30 false}] false",
	},
	{
		name:   "export",
		answer: api.KVHandle{Handle: "h1"},
		call: func(ctx context.Context, client *engineclient.Client, number int) (string, error) {
			handle, err := client.ExportKV(ctx, requestID(number))
			_, path, _ := strings.Cut(strings.TrimPrefix(handle, "http://"), "/")
			return path, err
		},
		want: "v1/kv/h1",
	},
}

func TestControlCallsKeepContract(t *testing.T) {
	for _, control := range controlCalls {
		t.Run(control.name, func(t *testing.T) {
			contracttest.Run(t, contracttest.Subject{
				Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
					writer.Header().Set("Content-Type", "application/json")
					_ = json.NewEncoder(writer).Encode(control.answer)
				}),
				Dial: func(address string) func(context.Context, int) (string, error) {
					client := newClient(t, address)
					return func(ctx context.Context, number int) (string, error) {
						return control.call(ctx, client, number)
					}
				},
				Want:        func(int) string { return control.want },
				AnswerBytes: answerBytes,
			})
		})
	}
}

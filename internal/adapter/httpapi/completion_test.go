package httpapi_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/engineclient"
	"github.com/loomgrade/loomgrade/internal/adapter/httpapi"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

func TestStreamedCompletion(t *testing.T) {
	var seen port.GenerateRequest
	backend := &fakeBackend{generate: func(ctx context.Context, request port.GenerateRequest, receive func(port.GenerateChunk) error) error {
		seen = request
		return generateThreeChunks(ctx, request, receive)
	}}
	_, address := newServer(t, backend, httpapi.Limits{})
	got := send(t, address, "POST", "/v1/completions",
		`{"model":"lm","prompt":"p","max_tokens":9,"stream":true,"priority":3,"seed":8,"min_version":4,"resume_text":"r","resume_tokens":1,"temperature":0.5}`)
	chunk := func(id int, text, finish, spans, usage string) string {
		return fmt.Sprintf(`id: %d`+"\n"+`data: {"id":"r-n1-1","object":"text_completion","model":"lm","choices":[{"index":0,"text":%q%s}],"spans":[%s]%s}`+"\n\n", id, text, finish, spans, usage)
	}
	want := chunk(1, "one ", "", `{"version":4,"tokens":2}`, "") +
		chunk(2, "two ", "", `{"version":5,"tokens":1}`, "") +
		chunk(3, "three", `,"finish_reason":"stop"`, `{"version":5,"tokens":1}`, `,"usage":{"prompt_tokens":0,"completion_tokens":4,"cached_tokens":0}`) +
		"id: 4\ndata: [DONE]\n\n"
	if got.status != 200 || got.body != want {
		t.Errorf("status %d\n got %s\nwant %s", got.status, got.body, want)
	}
	if got.header.Get("Content-Type") != "text/event-stream" {
		t.Errorf("content type %q", got.header.Get("Content-Type"))
	}
	wanted := port.GenerateRequest{ID: "r-n1-1", Pool: "lm", Prompt: "p", MaxTokens: 9, Priority: 3, Seed: 8, MinVersion: 4, Resume: "r", ResumeTokens: 1}
	if fmt.Sprint(seen) != fmt.Sprint(wanted) {
		t.Errorf("request %+v, want %+v", seen, wanted)
	}
}

func TestBufferedCompletion(t *testing.T) {
	_, address := newServer(t, &fakeBackend{generate: generateThreeChunks}, httpapi.Limits{})
	got := send(t, address, "POST", "/v1/completions", `{"model":"lm","prompt":"p"}`)
	want := `{"id":"r-n1-1","object":"text_completion","model":"lm","choices":[{"index":0,"text":"one two three","finish_reason":"stop"}],` +
		`"spans":[{"version":4,"tokens":2},{"version":5,"tokens":2}],"usage":{"prompt_tokens":0,"completion_tokens":4,"cached_tokens":0}}`
	if got.status != 200 || got.body != want {
		t.Errorf("status %d\n got %s\nwant %s", got.status, got.body, want)
	}
}

func TestBufferedCompletionIsBounded(t *testing.T) {
	_, address := newServer(t, &fakeBackend{generate: generateThreeChunks}, httpapi.Limits{TextBytes: 8})
	got := send(t, address, "POST", "/v1/completions", `{"model":"lm"}`)
	expectRefusal(t, got, 413, port.CodeTooLarge, port.MayHaveRun)
}

// TestIncompleteCompletionReportsError covers completions that end without their
// last chunk.
func TestIncompleteCompletionReportsError(t *testing.T) {
	backEndFailure := port.NewError(port.MayHaveRun, port.CodeBackEnd, "cut")
	cases := []struct {
		name   string
		chunks []port.GenerateChunk
		err    error
		code   port.Code
	}{
		{"error before the first chunk", nil, backEndFailure, port.CodeBackEnd},
		{"error after a chunk", []port.GenerateChunk{{Text: "a", Tokens: 1}}, backEndFailure, port.CodeBackEnd},
		{"no last chunk", []port.GenerateChunk{{Text: "a", Tokens: 1}}, nil, port.CodeInternal},
		{"no chunk and no error", nil, nil, port.CodeInternal},
	}
	for _, test := range cases {
		backend := &fakeBackend{generate: func(_ context.Context, _ port.GenerateRequest, receive func(port.GenerateChunk) error) error {
			for _, chunk := range test.chunks {
				if err := receive(chunk); err != nil {
					return err
				}
			}
			return test.err
		}}
		_, address := newServer(t, backend, httpapi.Limits{})
		t.Run(test.name+", buffered", func(t *testing.T) {
			got := send(t, address, "POST", "/v1/completions", `{"model":"lm"}`)
			expectRefusal(t, got, map[port.Code]int{port.CodeBackEnd: 502, port.CodeInternal: 500}[test.code], test.code, port.MayHaveRun)
		})
		t.Run(test.name+", streamed", func(t *testing.T) {
			response, err := http.Post("http://"+address+"/v1/completions", "application/json", strings.NewReader(`{"model":"lm","stream":true}`))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			if strings.Contains(string(body), "[DONE]") {
				t.Errorf("the stream has an end marker: %s", body)
			}
			if !strings.Contains(string(body), `"code":"`+string(test.code)+`"`) {
				t.Errorf("the stream does not report %s: %s", test.code, body)
			}
			if response.StatusCode == 200 && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("the stream was not aborted: %v", err)
			}
		})
	}
}

func TestCallerDisconnectCancelsCompletion(t *testing.T) {
	ended := make(chan error, 1)
	backend := &fakeBackend{generate: func(ctx context.Context, _ port.GenerateRequest, receive func(port.GenerateChunk) error) error {
		err := receive(port.GenerateChunk{Text: "a", Tokens: 1})
		<-ctx.Done()
		ended <- ctx.Err()
		return err
	}}
	_, address := newServer(t, backend, httpapi.Limits{})
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	body := `{"model":"lm","stream":true}`
	fmt.Fprintf(connection, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := bufio.NewReader(connection).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_ = connection.Close()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("the completion ended with %v", err)
	}
}

// TestNodeMeetsEngineContract reads a node's completions with engineclient, which
// checks the numbers, the counts and the end of the events.
func TestNodeMeetsEngineContract(t *testing.T) {
	_, address := newServer(t, &fakeBackend{generate: generateThreeChunks}, httpapi.Limits{})
	streams, control := httpcall.New(httpcall.Limits{}), httpcall.New(httpcall.Limits{})
	client := engineclient.New(streams, control, address, engineclient.Limits{})
	var text strings.Builder
	// The node assigns request ids; the client expects the first one.
	err := client.Generate(t.Context(), port.GenerateRequest{ID: "r-n1-1", Pool: "lm", Prompt: "p", MaxTokens: 8}, func(chunk port.GenerateChunk) error {
		text.WriteString(chunk.Text)
		return nil
	})
	if err != nil || text.String() != "one two three" {
		t.Errorf("got %q, %v", text.String(), err)
	}
	client.Close()
}

// TestErrorsRoundTripThroughClient checks that the client decodes the error
// that the backend returned.
func TestErrorsRoundTripThroughClient(t *testing.T) {
	refusal := &port.Error{Verdict: port.NotRun, Code: port.CodeNoBackEnd, Message: "none", Field: "f", Value: "v", Allowed: "a", RetryAfter: 1500e6}
	backend := &fakeBackend{generate: func(context.Context, port.GenerateRequest, func(port.GenerateChunk) error) error { return refusal }}
	_, address := newServer(t, backend, httpapi.Limits{})
	client := httpcall.New(httpcall.Limits{})
	defer client.Close()
	var answer api.CompletionChunk
	err := client.JSON(t.Context(), http.MethodPost, "http://"+address+api.PathCompletions, "r-n1-1", api.Completion{Model: "lm"}, &answer, 1<<20)
	if got := port.AsError(err); fmt.Sprint(*got) != fmt.Sprint(*refusal) {
		t.Errorf("got %+v, want %+v", got, refusal)
	}
}

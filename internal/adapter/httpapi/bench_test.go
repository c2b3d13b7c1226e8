package httpapi_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/appclient"
	"github.com/loomgrade/loomgrade/internal/adapter/engineclient"
	"github.com/loomgrade/loomgrade/internal/adapter/httpapi"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// benchChunks is the number of chunks in a benchmarked completion.
const benchChunks = 16

func serveBench(b *testing.B, handler http.HandlerFunc) (address string) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// engineAnswer streams benchChunks chunks.
func engineAnswer(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	writer.Header().Set("Content-Type", "text/event-stream")
	chunk := api.CompletionChunk{
		ID:      request.Header.Get(api.HeaderRequestID),
		Choices: []api.CompletionChoice{{Text: "some words "}},
		Spans:   []port.Span{{Version: 4, Tokens: 4}},
	}
	for index := range benchChunks {
		if index == benchChunks-1 {
			chunk.Choices[0].FinishReason = "stop"
		}
		encoded, _ := json.Marshal(chunk)
		fmt.Fprintf(writer, "data: %s\n\n", encoded)
		_ = http.NewResponseController(writer).Flush()
	}
	_, _ = io.WriteString(writer, "data: [DONE]\n\n")
}

func applicationAnswer(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	writer.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(writer, `{"height":1.25,"period":8.5}`)
}

func benchmarkPost(b *testing.B, url string, body []byte) {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		response, err := client.Post(url, "application/json", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		read, err := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil || read == 0 || response.StatusCode != http.StatusOK {
			b.Fatalf("status %d, %d bytes: %v", response.StatusCode, read, err)
		}
	}
}

// BenchmarkApplicationCall measures a call over loopback to a back end, directly and
// through httpapi and appclient.
func BenchmarkApplicationCall(b *testing.B) {
	address := serveBench(b, applicationAnswer)
	b.Run("direct", func(b *testing.B) { benchmarkPost(b, "http://"+address+"/read", []byte("{}")) })
	b.Run("through", func(b *testing.B) {
		client := httpcall.New(httpcall.Limits{})
		defer client.Close()
		backEnd := appclient.New(client, address, 0)
		_, node := newServer(b, &fakeBackend{application: backEnd.Call}, httpapi.Limits{})
		benchmarkPost(b, "http://"+node+"/app/buoy-api/read", []byte("{}"))
	})
}

// BenchmarkCompletion measures a streamed completion of 16 chunks, directly and
// through httpapi and engineclient.
func BenchmarkCompletion(b *testing.B) {
	address := serveBench(b, engineAnswer)
	body, err := json.Marshal(api.Completion{Model: "lm", Prompt: "a short prompt", MaxTokens: 1024, Stream: true})
	if err != nil {
		b.Fatal(err)
	}
	b.Run("direct", func(b *testing.B) { benchmarkPost(b, "http://"+address+api.PathCompletions, body) })
	b.Run("through", func(b *testing.B) {
		streams, control := httpcall.New(httpcall.Limits{}), httpcall.New(httpcall.Limits{})
		defer streams.Close()
		engine := engineclient.New(streams, control, address, engineclient.Limits{})
		defer engine.Close()
		_, node := newServer(b, &fakeBackend{generate: engine.Generate}, httpapi.Limits{})
		benchmarkPost(b, "http://"+node+api.PathCompletions, body)
	})
}

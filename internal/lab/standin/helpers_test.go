package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// closer is implemented by all stand-ins.
type closer interface{ Close() }

// mustStart unwraps the result of a Start function and closes the stand-in after the test.
func mustStart[T closer](t *testing.T) func(T, error) T {
	return func(standIn T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(standIn.Close)
		return standIn
	}
}

// testEngine starts a fast engine with outputs of 40 tokens.
func testEngine(t *testing.T, change func(*EngineConfig)) *Engine {
	t.Helper()
	config := EngineConfig{
		TimeScale: 10, ChunkInterval: 2 * time.Millisecond, Lengths: engine.Lengths{Median: 40},
		Model: engine.Config{BlockTokens: 4},
	}
	if change != nil {
		change(&config)
	}
	return mustStart[*Engine](t)(StartEngine(context.Background(), config))
}

// send makes one HTTP call and returns the status, the body and the error of reading it.
func send(t *testing.T, method, url, id string, body any) (int, []byte, error) {
	t.Helper()
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(t.Context(), method, url, content)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(api.HeaderRequestID, id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, read, err
}

// completionResult is the result of a completion as received by the caller.
type completionResult struct {
	status int
	id     string
	text   string
	spans  []port.Span
	finish string
	done   bool
	fault  api.ErrorDetail
}

// complete requests a streamed completion.
func complete(t *testing.T, e *Engine, id string, body api.Completion) completionResult {
	t.Helper()
	body.Stream = true
	status, data, _ := send(t, http.MethodPost, e.URL()+api.PathCompletions, id, body)
	result := completionResult{status: status}
	if status != http.StatusOK {
		var fault api.ErrorBody
		_ = json.Unmarshal(data, &fault)
		result.fault = fault.Error
		return result
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		event, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if event == "[DONE]" {
			result.done = true
			continue
		}
		var chunk api.CompletionChunk
		if err := json.Unmarshal([]byte(event), &chunk); err != nil {
			t.Fatal(err)
		}
		result.id = chunk.ID
		result.text += chunk.Choices[0].Text
		result.finish = chunk.Choices[0].FinishReason
		for _, span := range chunk.Spans {
			result.spans = port.AppendTokens(result.spans, span.Version, span.Tokens)
		}
	}
	return result
}

// sendOrder sends an order and returns the status and the load report.
func sendOrder(t *testing.T, e *Engine, body port.Order) (int, port.LoadReport) {
	t.Helper()
	status, data, err := send(t, http.MethodPost, e.URL()+api.PathEngineOrders, "", body)
	if err != nil {
		t.Fatal(err)
	}
	var report port.LoadReport
	_ = json.Unmarshal(data, &report)
	return status, report
}

// eventually waits until a condition holds or the test's context ends.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-t.Context().Done():
			t.Fatalf("timed out waiting for %s", what)
		case <-time.After(time.Millisecond):
		}
	}
}

// generationOf returns the recorded generation of a request.
func generationOf(t *testing.T, e *Engine, id string) audit.Generation {
	t.Helper()
	for _, g := range e.Observations().Generations {
		if g.RequestID == id {
			return g
		}
	}
	t.Fatalf("engine recorded no generation of %s", id)
	return audit.Generation{}
}

package standin

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Finish reasons in addition to those of port.
const (
	finishExported  = "exported"
	finishPrefilled = "prefilled"
)

const objectCompletion = "text_completion"

// stream passes the events of one request from the model's driver to the handler that
// writes the response. The engine's mutex guards all fields but notify.
type stream struct {
	id             string
	body           api.Completion
	promptTokens   int
	generation     *audit.Generation
	pending        []engine.Event
	aborted        bool
	awaitingExport bool // prefilled, and its KV cache not yet exported
	notify         chan struct{}
}

func newStream(id string, body api.Completion, generation *audit.Generation) *stream {
	return &stream{
		id: id, body: body, promptTokens: engine.CountTokens(body.Prompt), generation: generation,
		notify: make(chan struct{}, 1),
	}
}

func (s *stream) push(event engine.Event) {
	s.pending = append(s.pending, event)
	s.signal()
}

// abort makes the handler abort the connection.
func (s *stream) abort() {
	s.aborted = true
	s.signal()
}

func (s *stream) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// answerWriter writes a completion as a stream or as one response.
type answerWriter struct {
	http          http.ResponseWriter
	id            string
	body          api.Completion
	key           uint64
	position      int
	started       bool
	text          strings.Builder
	spans         []port.Span
	tokensWritten int
	cutAfter      int // tokens after which to abort the connection; 0 means never
}

func (a *answerWriter) chunk(text, finish string, spans []port.Span, usage *api.Usage) api.CompletionChunk {
	return api.CompletionChunk{
		ID: a.id, Object: objectCompletion, Model: a.body.Model, Spans: spans, Usage: usage,
		Choices: []api.CompletionChoice{{Text: text, FinishReason: finish}},
	}
}

// writeTokens writes the tokens of one event.
func (a *answerWriter) writeTokens(count int, version port.WeightVersion) error {
	text := engine.Text(a.key, a.position, count, version)
	a.position += count
	a.tokensWritten += count
	a.spans = port.AppendTokens(a.spans, version, count)
	if !a.body.Stream {
		a.text.WriteString(text)
		return nil
	}
	err := a.writeChunk(a.chunk(text, "", []port.Span{{Version: version, Tokens: count}}, nil))
	if a.cutAfter > 0 && a.tokensWritten >= a.cutAfter {
		abortConnection()
	}
	return err
}

// finish writes the end of the response.
func (a *answerWriter) finish(reason string, usage api.Usage) error {
	if !a.body.Stream {
		a.http.Header().Set("Content-Type", contentTypeJSON)
		a.http.Header().Set(api.HeaderRequestID, a.id)
		if a.cutAfter > 0 {
			a.http.Header().Set("Content-Length", "1000000")
			_, _ = a.http.Write([]byte("{"))
			abortConnection()
		}
		return json.NewEncoder(a.http).Encode(a.chunk(a.text.String(), reason, a.spans, &usage))
	}
	if a.cutAfter > 0 {
		abortConnection()
	}
	if err := a.writeChunk(a.chunk("", reason, nil, &usage)); err != nil {
		return err
	}
	return a.writeData("[DONE]")
}

func (a *answerWriter) writeChunk(chunk api.CompletionChunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return a.writeData(string(data))
}

func (a *answerWriter) writeData(data string) error {
	if !a.started {
		a.started = true
		a.http.Header().Set("Content-Type", "text/event-stream")
		a.http.Header().Set("Cache-Control", "no-store")
		a.http.Header().Set(api.HeaderRequestID, a.id)
	}
	if _, err := a.http.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(a.http).Flush()
}

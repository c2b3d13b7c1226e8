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

// Finish reasons that a chunk can carry besides those of port.
const (
	finishExported  = "exported"
	finishPrefilled = "prefilled"
)

const objectCompletion = "text_completion"

// stream carries the events of one request from the model's driver to the
// handler that writes the answer. Its fields but notify belong to the
// engine's mutex.
type stream struct {
	id      string
	body    api.Completion
	prompt  int // tokens
	seen    *audit.Generation
	pending []engine.Event
	aborted bool
	held    bool // prefilled, kept for export
	notify  chan struct{}
}

func newStream(id string, body api.Completion, seen *audit.Generation) *stream {
	return &stream{
		id: id, body: body, prompt: engine.CountTokens(body.Prompt), seen: seen,
		notify: make(chan struct{}, 1),
	}
}

func (s *stream) push(event engine.Event) {
	s.pending = append(s.pending, event)
	s.signal()
}

// abort makes the handler cut the connection.
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

// answerWriter writes a completion, streamed or whole.
type answerWriter struct {
	http     http.ResponseWriter
	id       string
	body     api.Completion
	key      uint64
	position int
	started  bool
	whole    strings.Builder
	spans    []port.Span
	written  int // tokens
	cutAfter int // cut the connection after so many tokens; 0 never
}

func (a *answerWriter) chunk(text, finish string, spans []port.Span, usage *api.Usage) api.CompletionChunk {
	return api.CompletionChunk{
		ID: a.id, Object: objectCompletion, Model: a.body.Model, Spans: spans, Usage: usage,
		Choices: []api.CompletionChoice{{Text: text, FinishReason: finish}},
	}
}

// tokens writes the tokens of one event.
func (a *answerWriter) tokens(count int, version port.WeightVersion) error {
	text := engine.Text(a.key, a.position, count, version)
	a.position += count
	a.written += count
	a.spans = port.AppendTokens(a.spans, version, count)
	if !a.body.Stream {
		a.whole.WriteString(text)
		return nil
	}
	err := a.event(a.chunk(text, "", []port.Span{{Version: version, Tokens: count}}, nil))
	if a.cutAfter > 0 && a.written >= a.cutAfter {
		cutConnection()
	}
	return err
}

// finish writes the end of the answer.
func (a *answerWriter) finish(reason string, usage api.Usage) error {
	if !a.body.Stream {
		a.http.Header().Set("Content-Type", contentTypeJSON)
		a.http.Header().Set(api.HeaderRequestID, a.id)
		if a.cutAfter > 0 {
			a.http.Header().Set("Content-Length", "1000000")
			_, _ = a.http.Write([]byte("{"))
			cutConnection()
		}
		return json.NewEncoder(a.http).Encode(a.chunk(a.whole.String(), reason, a.spans, &usage))
	}
	if a.cutAfter > 0 {
		cutConnection()
	}
	if err := a.event(a.chunk("", reason, nil, &usage)); err != nil {
		return err
	}
	return a.raw("[DONE]")
}

func (a *answerWriter) event(chunk api.CompletionChunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return a.raw(string(data))
}

func (a *answerWriter) raw(data string) error {
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

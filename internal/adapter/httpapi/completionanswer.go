package httpapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

const (
	objectCompletion = "text_completion"
	contentTypeSSE   = "text/event-stream"
	endMarker        = "[DONE]"
)

// errAnswerEnded rejects chunks after the end of the response.
var errAnswerEnded = errors.New("the request has had its final answer")

// completionAnswer writes a completion's chunks as they arrive, or collects them.
// Chunks arrive on the goroutine that runs the request and the handler ends the
// response; the mutex ensures that no chunk is written after the end.
type completionAnswer struct {
	mutex     sync.Mutex
	writer    http.ResponseWriter
	flusher   *http.ResponseController
	request   port.GenerateRequest
	streamed  bool
	textBytes int

	started  bool
	ended    bool
	failed   bool
	events   uint64
	tokens   int
	finish   port.FinishReason
	spans    []port.Span
	text     strings.Builder
	encoding []byte
}

func newCompletionAnswer(writer http.ResponseWriter, request port.GenerateRequest, streamed bool, textBytes int) *completionAnswer {
	return &completionAnswer{
		writer:    writer,
		flusher:   http.NewResponseController(writer),
		request:   request,
		streamed:  streamed,
		textBytes: textBytes,
	}
}

// receive writes or collects the next chunk.
func (a *completionAnswer) receive(chunk port.GenerateChunk) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return errAnswerEnded
	}
	a.tokens += chunk.Tokens
	a.finish = chunk.Finish
	if a.streamed {
		return a.writeChunk(chunk)
	}
	if a.text.Len()+len(chunk.Text) > a.textBytes {
		return port.NewError(port.MayHaveRun, port.CodeTooLarge, "completion is over %d bytes", a.textBytes)
	}
	a.text.WriteString(chunk.Text)
	a.spans = appendSpan(a.spans, chunk)
	return nil
}

func appendSpan(spans []port.Span, chunk port.GenerateChunk) []port.Span {
	if chunk.Tokens == 0 {
		return spans
	}
	return port.AppendTokens(spans, chunk.Version, chunk.Tokens)
}

// end completes the response. It returns the request's failure; a completion without
// its last chunk has failed.
func (a *completionAnswer) end(failure *port.Error) *port.Error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ended = true
	if failure == nil && a.finish == "" {
		failure = port.NewError(port.MayHaveRun, port.CodeInternal, "the completion ended without its last chunk")
	}
	switch {
	case failure != nil && a.started:
		a.writeFailure(failure)
	case failure != nil:
	case a.streamed:
		a.writeEnd()
	default:
		a.writeComplete()
	}
	return failure
}

// incomplete reports whether a started response could not be completed.
func (a *completionAnswer) incomplete() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.failed
}

func (a *completionAnswer) chunk(text string, finish port.FinishReason, spans []port.Span) api.CompletionChunk {
	chunk := api.CompletionChunk{
		ID:      string(a.request.ID),
		Object:  objectCompletion,
		Model:   string(a.request.Pool),
		Choices: []api.CompletionChoice{{Text: text, FinishReason: string(finish)}},
		Spans:   spans,
	}
	if finish != "" {
		chunk.Usage = &api.Usage{PromptTokens: a.request.PromptTokens, CompletionTokens: a.tokens}
	}
	return chunk
}

func (a *completionAnswer) writeChunk(chunk port.GenerateChunk) error {
	encoded, err := json.Marshal(a.chunk(chunk.Text, chunk.Finish, appendSpan(nil, chunk)))
	if err != nil {
		return err
	}
	return a.writeEvent("", encoded)
}

// writeEvent writes and flushes one numbered event.
func (a *completionAnswer) writeEvent(name string, data []byte) error {
	if !a.started {
		a.started = true
		a.writer.Header().Set("Content-Type", contentTypeSSE)
		a.writer.Header().Set("Cache-Control", "no-store")
	}
	a.events++
	event := append(a.encoding[:0], "id: "...)
	event = strconv.AppendUint(event, a.events, 10)
	if name != "" {
		event = append(append(event, "\nevent: "...), name...)
	}
	event = append(event, "\ndata: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	a.encoding = event
	if _, err := a.writer.Write(event); err != nil {
		a.failed = true
		return err
	}
	if err := a.flusher.Flush(); err != nil {
		a.failed = true
		return err
	}
	return nil
}

func (a *completionAnswer) writeEnd() { _ = a.writeEvent("", []byte(endMarker)) }

// writeFailure writes an error event; the stream then has no end marker.
func (a *completionAnswer) writeFailure(failure *port.Error) {
	encoded, err := json.Marshal(errorBody(failure))
	if err == nil && !a.failed {
		_ = a.writeEvent("error", encoded)
	}
	a.failed = true
}

func (a *completionAnswer) writeComplete() {
	httpserve.WriteJSON(a.writer, http.StatusOK, a.chunk(a.text.String(), a.finish, a.spans))
}

package engineclient

import (
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

const (
	endMarker = "[DONE]"
	// completionIDPrefix is the prefix that some engines add to the request's id.
	completionIDPrefix = "cmpl-"
	errorEvent         = "error"
)

// stream checks the events of one completion and delivers its chunks.
type stream struct {
	request port.GenerateRequest
	receive func(port.GenerateChunk) error
	limits  Limits
	// lastEvent is the number of the last event; 0 if events are not numbered.
	lastEvent uint64
	events    uint64
	tokens    int
	textBytes int
	// last is the chunk with the finish reason, withheld until the end marker.
	last *port.GenerateChunk
	// receiveErr is the error that receive returned.
	receiveErr error
}

// run reads events up to the end marker and calls onEvent for each.
func (s *stream) run(source io.Reader, onEvent func()) error {
	reader := newEventReader(source, s.limits.EventBytes)
	for {
		next, err := reader.next()
		if err != nil {
			return s.readFailure(err)
		}
		onEvent()
		done, err := s.handleEvent(next)
		if done || err != nil {
			return err
		}
	}
}

// readFailure adds a verdict to protocol errors; the caller, which has the context,
// handles read errors.
func (s *stream) readFailure(err error) error {
	switch {
	case errors.Is(err, errEventTooLarge):
		return s.tooLarge("event")
	case errors.Is(err, errMalformedEvent):
		return httpcall.Malformed("%v", err)
	default:
		return err
	}
}

func (s *stream) tooLarge(what string) error {
	return port.NewError(port.MayHaveRun, port.CodeTooLarge, "completion's %s is over its bound", what)
}

// handleEvent processes one event and reports whether the stream is done.
func (s *stream) handleEvent(next event) (done bool, err error) {
	if err := s.checkOrder(next.id); err != nil {
		return false, err
	}
	if next.name == errorEvent {
		return false, engineError(next.data)
	}
	if string(next.data) == endMarker {
		return true, s.finish()
	}
	var chunk api.CompletionChunk
	if err := json.Unmarshal(next.data, &chunk); err != nil {
		return false, httpcall.Malformed("malformed completion chunk: %v", err)
	}
	return false, s.handleChunk(&chunk)
}

// checkOrder rejects reordered, missing or repeated events of an engine that numbers them
// from 1.
func (s *stream) checkOrder(id uint64) error {
	s.events++
	numbered := s.lastEvent != 0
	if id == 0 && !numbered {
		return nil
	}
	if id != s.events {
		return httpcall.Malformed("event %d came as number %d", id, s.events)
	}
	s.lastEvent = id
	return nil
}

// engineError decodes an error event.
func engineError(data []byte) error {
	var body api.ErrorBody
	if json.Unmarshal(data, &body) != nil {
		return httpcall.Malformed("malformed error event")
	}
	failure := port.NewError(port.MayHaveRun, port.CodeBackEnd, "engine broke off: %s", body.Error.Message)
	if port.ParseVerdict(body.Error.Verdict) == port.Ran {
		failure.Verdict = port.Ran
	}
	return failure
}

// handleChunk checks a chunk and delivers it, unless it is the last.
func (s *stream) handleChunk(chunk *api.CompletionChunk) error {
	if strings.TrimPrefix(chunk.ID, completionIDPrefix) != string(s.request.ID) {
		return httpcall.Malformed("chunk belongs to request %q", chunk.ID)
	}
	if len(chunk.Choices) > 1 {
		return httpcall.Malformed("chunk has %d choices", len(chunk.Choices))
	}
	if len(chunk.Choices) == 1 {
		if err := s.handleChoice(chunk.Choices[0], chunk.Spans); err != nil {
			return err
		}
	}
	return s.checkUsage(chunk.Usage)
}

// handleChoice delivers the text of a chunk, one piece per span.
func (s *stream) handleChoice(choice api.CompletionChoice, spans []port.Span) error {
	if s.last != nil {
		return httpcall.Malformed("chunk after the last one")
	}
	if choice.Index != 0 {
		return httpcall.Malformed("chunk of choice %d", choice.Index)
	}
	if err := s.addTotals(choice.Text, spans); err != nil {
		return err
	}
	pieces := splitBySpan(choice.Text, spans)
	finish, err := finishReason(choice.FinishReason)
	if err != nil {
		return err
	}
	if finish != "" {
		last := pieces[len(pieces)-1]
		last.Finish = finish
		s.last = &last
		pieces = pieces[:len(pieces)-1]
	}
	return s.deliver(pieces)
}

// addTotals adds a chunk to the totals and checks the limits.
func (s *stream) addTotals(text string, spans []port.Span) error {
	s.textBytes += len(text)
	if s.textBytes > s.limits.TextBytes {
		return s.tooLarge("text")
	}
	for _, span := range spans {
		if span.Tokens < 0 {
			return httpcall.Malformed("span with %d tokens", span.Tokens)
		}
		s.tokens += span.Tokens
		if s.request.MaxTokens > 0 && s.tokens > s.request.MaxTokens {
			return s.tooLarge("token count")
		}
	}
	return nil
}

// splitBySpan returns one piece per span, with the text in the first. Without spans the
// version is unknown.
func splitBySpan(text string, spans []port.Span) []port.GenerateChunk {
	if len(spans) == 0 {
		return []port.GenerateChunk{{Text: text}}
	}
	pieces := make([]port.GenerateChunk, len(spans))
	for index, span := range spans {
		pieces[index] = port.GenerateChunk{Tokens: span.Tokens, Version: span.Version}
	}
	pieces[0].Text = text
	return pieces
}

func finishReason(text string) (port.FinishReason, error) {
	switch reason := port.FinishReason(text); reason {
	case "", port.FinishStop, port.FinishLength:
		return reason, nil
	default:
		return "", port.NewError(port.MayHaveRun, port.CodeBackEnd, "engine ended the completion early: %q", text)
	}
}

// checkUsage compares the engine's token count with the spans received.
func (s *stream) checkUsage(usage *api.Usage) error {
	if usage == nil || s.last == nil || s.tokens == 0 {
		return nil
	}
	if usage.CompletionTokens != s.tokens {
		return httpcall.Malformed("engine counts %d tokens, its spans %d", usage.CompletionTokens, s.tokens)
	}
	return nil
}

func (s *stream) deliver(pieces []port.GenerateChunk) error {
	for _, piece := range pieces {
		if err := s.receive(piece); err != nil {
			s.receiveErr = err
			return err
		}
	}
	return nil
}

// finish delivers the last chunk after the end marker.
func (s *stream) finish() error {
	if s.last == nil {
		return errStreamTruncated
	}
	return s.deliver([]port.GenerateChunk{*s.last})
}

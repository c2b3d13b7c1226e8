package attempt

import "github.com/loomgrade/loomgrade/internal/port"

// AddChunk records a chunk that was sent to the caller.
func (l *Loop) AddChunk(chunk port.GenerateChunk) {
	if !l.rules.CallerRetries {
		l.text = append(l.text, chunk.Text...)
	}
	l.tokens += chunk.Tokens
	if chunk.Tokens > 0 {
		l.spans = port.AppendTokens(l.spans, chunk.Version, chunk.Tokens)
	}
}

// RefuseChunk records that the caller refused a chunk, which rules out another attempt.
func (l *Loop) RefuseChunk() { l.chunkRefused = true }

// Spans returns the versions that produced the tokens sent so far.
func (l *Loop) Spans() []port.Span { return l.spans }

// Continue returns the request of the next attempt, derived from the accepted one: the text
// already sent becomes a prefix to resume from.
func (l *Loop) Continue(accepted port.GenerateRequest) port.GenerateRequest {
	if l.tokens == 0 {
		return accepted
	}
	accepted.Resume += string(l.text)
	accepted.ResumeTokens += l.tokens
	if accepted.MaxTokens > 0 {
		accepted.MaxTokens -= l.tokens
	}
	accepted.KVHandle = ""
	return accepted
}

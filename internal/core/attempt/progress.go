package attempt

import "github.com/loomgrade/loomgrade/internal/port"

// Took remembers a chunk that has left to the caller.
func (l *Loop) Took(chunk port.GenerateChunk) {
	if !l.rules.Single {
		l.text = append(l.text, chunk.Text...)
	}
	l.tokens += chunk.Tokens
	if chunk.Tokens > 0 {
		l.spans = port.AppendTokens(l.spans, chunk.Version, chunk.Tokens)
	}
}

// Refuse notes that the caller refused a chunk: no other attempt is made.
func (l *Loop) Refuse() { l.refused = true }

// Spans says which versions produced the tokens that have left.
func (l *Loop) Spans() []port.Span { return l.spans }

// Continue makes the request of the next attempt out of the one that was
// accepted: what has left already is carried as a resumed prefix.
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

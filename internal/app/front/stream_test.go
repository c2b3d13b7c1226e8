package front

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// endlessBody sends a start and then a text again and again. It fails after limit bytes, so that
// a reader without a limit ends too.
type endlessBody struct {
	start, text string
	read, limit int
}

var errLimit = errors.New("too much was read")

// Read implements io.Reader.
func (b *endlessBody) Read(into []byte) (int, error) {
	if b.read >= b.limit {
		return 0, errLimit
	}
	if b.start != "" {
		count := copy(into, b.start)
		b.start = b.start[count:]
		return count, nil
	}
	for i := range into {
		into[i] = b.text[(b.read+i)%len(b.text)]
	}
	b.read += len(into)
	return len(into), nil
}

// Close implements io.Closer.
func (b *endlessBody) Close() error { return nil }

// TestStreamEventWithoutEndIsBounded guards against a front that keeps in memory whatever a replica
// sends in place of the end of an event, and against a part of it that reaches the caller.
func TestStreamEventWithoutEndIsBounded(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	for name, text := range map[string]string{"line": "data: a", "lines": "data: a\n", "comments": ": alive\n", "junk": "\x00"} {
		body := &endlessBody{start: first, text: text, limit: 16 * maxStreamEventBytes}
		recorder := httptest.NewRecorder()
		events := eventCopier{out: recorder, control: http.NewResponseController(recorder)}
		err := events.copyEvents(&http.Response{Body: body})
		if !errors.Is(err, errEventTooLong) || !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%s: ended with %v", name, err)
		}
		if body.read > 2*maxStreamEventBytes {
			t.Errorf("%s: read %d bytes", name, body.read)
		}
		if got := recorder.Body.String(); got != first || events.lastEvent != "1" {
			t.Errorf("%s: copied %d bytes, last event %q", name, len(got), events.lastEvent)
		}
	}
}

// TestLongStreamIsCopiedWhole guards against a limit on an event that cuts a long stream of them,
// or an event that is just as long as allowed.
func TestLongStreamIsCopiedWhole(t *testing.T) {
	longest := "data: " + strings.Repeat("a", maxStreamEventBytes-len("data: \n\n")) + "\n\n"
	text := strings.Repeat("id: 1\ndata: a\n\n", maxStreamEventBytes/4) + longest
	recorder := httptest.NewRecorder()
	events := eventCopier{out: recorder, control: http.NewResponseController(recorder)}
	if err := events.copyEvents(&http.Response{Body: io.NopCloser(strings.NewReader(text))}); err != nil {
		t.Fatal(err)
	}
	if got := recorder.Body.Len(); got != len(text) {
		t.Errorf("copied %d bytes of %d", got, len(text))
	}
}

package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/eventstream"
)

func TestReaderReturnsCompleteEvents(t *testing.T) {
	for name, row := range map[string]struct {
		text string
		want []eventstream.Event
		end  error
	}{
		"plain":            {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []eventstream.Event{{ID: "1", Data: "a"}, {ID: "2", Data: "b"}}, io.EOF},
		"version":          {"x-version: 7\nid: 1\ndata: a\n\n", []eventstream.Event{{ID: "1", Data: "a", Version: 7}}, io.EOF},
		"carriage returns": {"id:1\r\ndata:a\r\n\r\n", []eventstream.Event{{ID: "1", Data: "a"}}, io.EOF},
		"lines of data":    {"data: a\ndata: b\n\n", []eventstream.Event{{Data: "a\nb"}}, io.EOF},
		"comment":          {": hello\n\nid: 1\ndata: a\n\n", []eventstream.Event{{ID: "1", Data: "a"}}, io.EOF},
		"truncated event":  {"id: 1\ndata: a\n\nid: 2\ndata: b\n", []eventstream.Event{{ID: "1", Data: "a"}}, io.ErrUnexpectedEOF},
		"truncated line":   {"id: 1\ndata: a\n\nid: 2\nda", []eventstream.Event{{ID: "1", Data: "a"}}, io.ErrUnexpectedEOF},
		"data not UTF-8":   {"id: 1\ndata: a\n\nid: 2\ndata: b\xff\n\n", []eventstream.Event{{ID: "1", Data: "a"}}, eventstream.ErrNotUTF8},
		"id not UTF-8":     {"id: 1\ndata: a\n\nid: \xff\ndata: b\n\n", []eventstream.Event{{ID: "1", Data: "a"}}, eventstream.ErrNotUTF8},
		"empty":            {"", nil, io.EOF},
		"empty data":       {"id: 1\ndata:\n\n", []eventstream.Event{{ID: "1"}}, io.EOF},
		"no data":          {"id: 1\ndata: a\n\nid: 2\n\n", []eventstream.Event{{ID: "1", Data: "a"}}, eventstream.ErrNoData},
		"no field":         {"id: 1\ndata: a\n\njunk\n\n", []eventstream.Event{{ID: "1", Data: "a"}}, eventstream.ErrNoData},
		"data with colon":  {"id: 1\ndata: a: b\n\n", []eventstream.Event{{ID: "1", Data: "a: b"}}, io.EOF},
	} {
		reader := eventstream.NewReader(strings.NewReader(row.text), "X-Version")
		for i := 0; ; i++ {
			event, err := reader.Next()
			if err != nil {
				if !errors.Is(err, row.end) || i != len(row.want) {
					t.Errorf("%s: ended after %d with %v", name, i, err)
				}
				break
			}
			if i >= len(row.want) || event != row.want[i] {
				t.Errorf("%s: event %d is %+v", name, i, event)
			}
		}
	}
}

// repeated is a source that repeats a text without end and counts what was read of it.
type repeated struct {
	text string
	read int
}

// Read implements io.Reader.
func (r *repeated) Read(into []byte) (int, error) {
	for i := range into {
		into[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(into)
	return len(into), nil
}

// TestEventWithoutEndIsTooLong guards against an event that takes ever more memory because the
// source never ends it.
func TestEventWithoutEndIsTooLong(t *testing.T) {
	for name, text := range map[string]string{"one line": "data", "lines of data": "data: a\n", "lines of a field": "id: 1\n"} {
		source := &repeated{text: text}
		if _, err := eventstream.NewReader(source, "X-Version").Next(); !errors.Is(err, eventstream.ErrTooLong) {
			t.Errorf("%s: ended with %v", name, err)
		}
		if limit := 3 * eventstream.MaxEventBytes; source.read > limit {
			t.Errorf("%s: read %d bytes", name, source.read)
		}
	}
}

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

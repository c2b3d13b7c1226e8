package engineclient

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/iotest"
)

const testEventBytes = 64

func readAll(reader *eventReader) (events []string, err error) {
	for {
		next, err := reader.next()
		if err != nil {
			return events, err
		}
		events = append(events, fmt.Sprintf("%s|%s|%d", next.name, next.data, next.id))
	}
}

func TestEventReader(t *testing.T) {
	cases := []struct {
		name, source string
		want         []string
		err          error
	}{
		{"one", "data: a\n\n", []string{"|a|0"}, errStreamCut},
		{"carriage returns", "data: a\r\n\r\ndata: b\r\n\r\n", []string{"|a|0", "|b|0"}, errStreamCut},
		{"lines are joined", "data: a\ndata: b\n\n", []string{"|a\nb|0"}, errStreamCut},
		{"names and numbers", "event: error\nid: 7\ndata:x\n\n", []string{"error|x|7"}, errStreamCut},
		{"comments and empty events", ": ping\n\n\nid: 3\n\ndata: a\n\n", []string{"|a|0"}, errStreamCut},
		{"cut in an event", "data: a\n\ndata: b\n", []string{"|a|0"}, errStreamCut},
		{"cut in a line", "data: a\n\ndata: b", []string{"|a|0"}, errStreamCut},
		{"number that is none", "id: x\ndata: a\n\n", nil, errMalformedEvent},
		{"line over the bound", "data: " + strings.Repeat("x", testEventBytes+1) + "\n\n", nil, errEventTooLarge},
		{"event over the bound", strings.Repeat("data: xxxxxxxxxxxxxxx\n", 5) + "\n", nil, errEventTooLarge},
		{"line over the buffer", "data: " + strings.Repeat("x", 9000) + "\n\n", nil, errEventTooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for name, source := range map[string]*eventReader{
				"whole":        newEventReader(strings.NewReader(test.source), testEventBytes),
				"byte by byte": newEventReader(iotest.OneByteReader(strings.NewReader(test.source)), testEventBytes),
			} {
				got, err := readAll(source)
				if fmt.Sprint(got) != fmt.Sprint(test.want) || !errors.Is(err, test.err) {
					t.Errorf("%s: %q, %v; want %q, %v", name, got, err, test.want, test.err)
				}
			}
		})
	}
}

// FuzzEventReader checks that no input makes an event over its bound, and that
// the way the input is split makes no difference.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"id\":\"r\"}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("event: error\r\ndata\r\n\r\n:\n\n"))
	f.Fuzz(func(t *testing.T, source []byte) {
		whole, errWhole := readAll(newEventReader(bytes.NewReader(source), testEventBytes))
		split, errSplit := readAll(newEventReader(iotest.OneByteReader(bytes.NewReader(source)), testEventBytes))
		if fmt.Sprint(whole) != fmt.Sprint(split) || !errors.Is(errWhole, errSplit) {
			t.Fatalf("whole: %q, %v; split: %q, %v", whole, errWhole, split, errSplit)
		}
		reader := newEventReader(bytes.NewReader(source), testEventBytes)
		for {
			next, err := reader.next()
			if err != nil {
				return
			}
			if len(next.data) > testEventBytes {
				t.Fatalf("event of %d bytes", len(next.data))
			}
		}
	})
}

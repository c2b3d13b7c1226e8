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

func readAllEvents(reader *eventReader) (events []string, err error) {
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
		{"one", "data: a\n\n", []string{"|a|0"}, errStreamTruncated},
		{"carriage returns", "data: a\r\n\r\ndata: b\r\n\r\n", []string{"|a|0", "|b|0"}, errStreamTruncated},
		{"lines are joined", "data: a\ndata: b\n\n", []string{"|a\nb|0"}, errStreamTruncated},
		{"names and numbers", "event: error\nid: 7\ndata:x\n\n", []string{"error|x|7"}, errStreamTruncated},
		{"comments and empty events", ": ping\n\n\nid: 3\n\ndata: a\n\n", []string{"|a|0"}, errStreamTruncated},
		{"truncated in an event", "data: a\n\ndata: b\n", []string{"|a|0"}, errStreamTruncated},
		{"truncated in a line", "data: a\n\ndata: b", []string{"|a|0"}, errStreamTruncated},
		{"invalid number", "id: x\ndata: a\n\n", nil, errMalformedEvent},
		{"line over the limit", "data: " + strings.Repeat("x", testEventBytes+1) + "\n\n", nil, errEventTooLarge},
		{"event over the limit", strings.Repeat("data: xxxxxxxxxxxxxxx\n", 5) + "\n", nil, errEventTooLarge},
		{"line over the buffer", "data: " + strings.Repeat("x", 9000) + "\n\n", nil, errEventTooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for name, source := range map[string]*eventReader{
				"at once":      newEventReader(strings.NewReader(test.source), testEventBytes),
				"byte by byte": newEventReader(iotest.OneByteReader(strings.NewReader(test.source)), testEventBytes),
			} {
				got, err := readAllEvents(source)
				if fmt.Sprint(got) != fmt.Sprint(test.want) || !errors.Is(err, test.err) {
					t.Errorf("%s: %q, %v; want %q, %v", name, got, err, test.want, test.err)
				}
			}
		})
	}
}

// FuzzEventReader checks that no event exceeds the limit, however the input is split.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"id\":\"r\"}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("event: error\r\ndata\r\n\r\n:\n\n"))
	f.Fuzz(func(t *testing.T, source []byte) {
		unsplit, errUnsplit := readAllEvents(newEventReader(bytes.NewReader(source), testEventBytes))
		split, errSplit := readAllEvents(newEventReader(iotest.OneByteReader(bytes.NewReader(source)), testEventBytes))
		if fmt.Sprint(unsplit) != fmt.Sprint(split) || !errors.Is(errUnsplit, errSplit) {
			t.Fatalf("unsplit: %q, %v; split: %q, %v", unsplit, errUnsplit, split, errSplit)
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

// Package eventstream reads a text/event-stream (WHATWG HTML, section 9.2) of
// events with an id and data. An event that no empty line terminates is
// discarded.
package eventstream

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Errors of Reader.Next.
var (
	// ErrTooLong reports a line or an event above MaxEventBytes.
	ErrTooLong = errors.New("eventstream: event too long")
	// ErrNoData reports an event without data.
	ErrNoData = errors.New("eventstream: event without data")
	// ErrNotUTF8 reports an event that is not valid UTF-8.
	ErrNotUTF8 = errors.New("eventstream: event is not valid UTF-8")
)

// MaxEventBytes limits the lines of one event, without its comments.
const MaxEventBytes = 1 << 20

// Event is one event of the stream.
type Event struct {
	ID   string
	Data string
	// Version is the number in the version field, 0 if the event has none.
	Version uint64
}

// Reader reads events from a stream.
type Reader struct {
	scanner *bufio.Scanner
	// versionField is the name of the field that carries a version.
	versionField string
}

// NewReader returns a reader of source; versionField names the field of a version.
func NewReader(source io.Reader, versionField string) *Reader {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, 4096), MaxEventBytes)
	return &Reader{scanner: scanner, versionField: strings.ToLower(versionField)}
}

// Next returns the next event. It returns io.EOF if the source ended between events,
// and io.ErrUnexpectedEOF if it ended within one.
func (r *Reader) Next() (Event, error) {
	var event Event
	var data []string
	started, size := false, 0
	for r.scanner.Scan() {
		line := strings.TrimSuffix(r.scanner.Text(), "\r")
		if line == "" {
			if !started {
				continue
			}
			if data == nil {
				return Event{}, ErrNoData
			}
			event.Data = strings.Join(data, "\n")
			if !utf8.ValidString(event.Data) || !utf8.ValidString(event.ID) {
				return Event{}, ErrNotUTF8
			}
			return event, nil
		}
		if strings.HasPrefix(line, ":") {
			continue
		}
		started = true
		if size += len(line); size > MaxEventBytes {
			return Event{}, ErrTooLong
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "data":
			data = append(data, value)
		case "id":
			event.ID = value
		case r.versionField:
			event.Version, _ = strconv.ParseUint(value, 10, 64)
		}
	}
	if err := r.scanner.Err(); err != nil {
		if errors.Is(err, bufio.ErrTooLong) {
			return Event{}, ErrTooLong
		}
		return Event{}, err
	}
	if started {
		return Event{}, io.ErrUnexpectedEOF
	}
	return Event{}, io.EOF
}

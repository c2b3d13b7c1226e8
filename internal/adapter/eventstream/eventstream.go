// Package eventstream reads a text/event-stream (WHATWG HTML, section 9.2) of
// events with an id and data. An event that was begun and not ended by an empty
// line is not given.
package eventstream

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// ErrTooLong reports a line beyond the bound.
var ErrTooLong = errors.New("eventstream: line too long")

// maxLineBytes bounds one line.
const maxLineBytes = 1 << 20

// Event is one event.
type Event struct {
	ID   string
	Data string
	// Version is the number in the version field, 0 if the event has none.
	Version uint64
}

// Reader reads events.
type Reader struct {
	scanner *bufio.Scanner
	// versionField is the name of the field that carries a version.
	versionField string
}

// NewReader reads from source; versionField names the field of a version.
func NewReader(source io.Reader, versionField string) *Reader {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &Reader{scanner: scanner, versionField: strings.ToLower(versionField)}
}

// Next gives the next event. It gives io.EOF at a proper end, and
// io.ErrUnexpectedEOF if the source ended within an event.
func (r *Reader) Next() (Event, error) {
	var event Event
	var data []string
	begun := false
	for r.scanner.Scan() {
		line := strings.TrimSuffix(r.scanner.Text(), "\r")
		if line == "" {
			if !begun {
				continue
			}
			event.Data = strings.Join(data, "\n")
			return event, nil
		}
		if strings.HasPrefix(line, ":") {
			continue
		}
		begun = true
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
	if begun {
		return Event{}, io.ErrUnexpectedEOF
	}
	return Event{}, io.EOF
}

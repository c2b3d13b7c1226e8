package engineclient

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Errors of eventReader.
var (
	errEventTooLarge   = errors.New("server-sent event over its bound")
	errMalformedEvent  = errors.New("malformed server-sent event")
	errStreamTruncated = errors.New("stream ended without its end marker")
)

// event is one server-sent event. Its data is valid until the next read.
type event struct {
	name string
	data []byte
	// id is the event's number, or 0.
	id uint64
}

// eventReader reads server-sent events of limited size.
type eventReader struct {
	lines *bufio.Reader
	limit int
	data  []byte
}

// newEventReader returns a reader that limits the data and lines of an event to limit bytes.
func newEventReader(source io.Reader, limit int) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(source, 4<<10), limit: limit}
}

// next returns the next event with data. At the end of the source, also within an event,
// it returns errStreamTruncated.
func (r *eventReader) next() (event, error) {
	var current event
	r.data = r.data[:0]
	hasData := false
	for {
		line, err := r.readLine()
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 {
			if !hasData {
				current = event{}
				continue
			}
			current.data = r.data
			return current, nil
		}
		isData, err := r.parseField(&current, line, hasData)
		if err != nil {
			return event{}, err
		}
		hasData = hasData || isData
	}
}

// parseField parses a "name: value" line and reports whether it is a data line.
func (r *eventReader) parseField(current *event, line []byte, hasData bool) (isData bool, err error) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "data":
		if len(r.data)+len(value)+1 > r.limit {
			return false, errEventTooLarge
		}
		if hasData {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		return true, nil
	case "event":
		current.name = string(value)
	case "id":
		current.id, err = strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return false, errMalformedEvent
		}
	}
	return false, nil
}

// readLine returns the next line without its line end, valid until the next call.
func (r *eventReader) readLine() ([]byte, error) {
	line, err := r.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.readLongLine(line)
	}
	switch {
	case errors.Is(err, io.EOF):
		return nil, errStreamTruncated
	case err != nil:
		return nil, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte{'\r'}), nil
}

// readLongLine reads the rest of a line that is longer than the read buffer.
func (r *eventReader) readLongLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for {
		part, err := r.lines.ReadSlice('\n')
		if len(line)+len(part) > r.limit+len("data: \r\n") {
			return nil, errEventTooLarge
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

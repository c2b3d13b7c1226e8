package ringlog

import (
	"fmt"
	"io"
	"os"
	"sync"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
)

// maxLineBytes limits one stored line; a longer one is truncated.
const maxLineBytes = 4096

// Ring holds the last lines. It is a log.Writer and safe for concurrent use.
type Ring struct {
	mutex sync.Mutex
	lines [][]byte
	// next is the position of the next line; unwritten counts lines not written out.
	next, unwritten int
	// overwritten counts unwritten lines that newer ones replaced since the last write-out.
	overwritten uint64
	out         io.Writer
}

// New returns a ring of a number of lines that writes out to out.
func New(lines int, out io.Writer) *Ring {
	return &Ring{lines: make([][]byte, max(lines, 1)), out: out}
}

// Open returns a ring that writes out to a file, which is appended to and created as
// needed, or to standard error if the path is empty.
func Open(lines int, path string) (*Ring, error) {
	if path == "" {
		return New(lines, os.Stderr), nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "log file %s", path)
	}
	return New(lines, file), nil
}

// Logger returns a logger that writes structured lines to the ring.
func (r *Ring) Logger() *log.Logger {
	return &log.Logger{Level: log.DebugLevel, Writer: r}
}

// WriteEntry stores one line. A line of level error or above writes the ring out.
func (r *Ring) WriteEntry(entry *log.Entry) (int, error) {
	formatted := entry.Value()
	r.add(formatted)
	if entry.Level < log.ErrorLevel {
		return len(formatted), nil
	}
	return len(formatted), r.WriteOut("an error was logged")
}

func (r *Ring) add(formatted []byte) {
	line := formatted[:min(len(formatted), maxLineBytes)]
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines[r.next] = append(r.lines[r.next][:0], line...)
	r.next = (r.next + 1) % len(r.lines)
	if r.unwritten < len(r.lines) {
		r.unwritten++
		return
	}
	r.overwritten++
}

// WriteOut writes the lines stored since the last write-out, oldest first, after a
// heading with the reason and the number of overwritten lines.
func (r *Ring) WriteOut(reason string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	heading := fmt.Sprintf("--- log written out: %s; %d lines, %d overwritten before them\n", reason, r.unwritten, r.overwritten)
	if _, err := io.WriteString(r.out, heading); err != nil {
		return eris.Wrap(err, "write log")
	}
	first := (r.next - r.unwritten + len(r.lines)) % len(r.lines)
	for offset := range r.unwritten {
		line := r.lines[(first+offset)%len(r.lines)]
		if _, err := r.out.Write(line); err != nil {
			return eris.Wrap(err, "write log")
		}
	}
	r.unwritten, r.overwritten = 0, 0
	return nil
}

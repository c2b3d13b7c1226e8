package ringlog

import (
	"fmt"
	"io"
	"os"
	"sync"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
)

// maxLineBytes bounds one kept line; a longer one is cut.
const maxLineBytes = 4096

// Ring holds the last lines. It is a log.Writer and safe for several
// goroutines.
type Ring struct {
	mutex sync.Mutex
	lines [][]byte
	// next is the position of the next line; kept counts lines not written out.
	next, kept int
	// overwritten counts lines lost to newer ones since the last write-out.
	overwritten uint64
	out         io.Writer
}

// New makes a ring of a number of lines that is written out to out.
func New(lines int, out io.Writer) *Ring {
	return &Ring{lines: make([][]byte, max(lines, 1)), out: out}
}

// Open makes a ring that is written out to a file, appended and created as
// needed, or to standard error where the path is empty.
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

// Logger makes a logger that writes structured lines to the ring.
func (r *Ring) Logger() *log.Logger {
	return &log.Logger{Level: log.DebugLevel, Writer: r}
}

// WriteEntry keeps one line; one of level error or above writes the ring out.
func (r *Ring) WriteEntry(entry *log.Entry) (int, error) {
	formatted := entry.Value()
	r.keep(formatted)
	if entry.Level < log.ErrorLevel {
		return len(formatted), nil
	}
	return len(formatted), r.WriteOut("an error was logged")
}

func (r *Ring) keep(formatted []byte) {
	line := formatted[:min(len(formatted), maxLineBytes)]
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines[r.next] = append(r.lines[r.next][:0], line...)
	r.next = (r.next + 1) % len(r.lines)
	if r.kept < len(r.lines) {
		r.kept++
		return
	}
	r.overwritten++
}

// WriteOut writes the lines kept since the last write-out, oldest first, after
// a heading with the reason and the number of lines that were overwritten.
func (r *Ring) WriteOut(reason string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	heading := fmt.Sprintf("--- log written out: %s; %d lines, %d overwritten before them\n", reason, r.kept, r.overwritten)
	if _, err := io.WriteString(r.out, heading); err != nil {
		return eris.Wrap(err, "write log")
	}
	first := (r.next - r.kept + len(r.lines)) % len(r.lines)
	for offset := range r.kept {
		line := r.lines[(first+offset)%len(r.lines)]
		if _, err := r.out.Write(line); err != nil {
			return eris.Wrap(err, "write log")
		}
	}
	r.kept, r.overwritten = 0, 0
	return nil
}

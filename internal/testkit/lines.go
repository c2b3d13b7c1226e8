package testkit

import (
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"
)

// maxLines limits the log lines that a LineBuffer keeps; the oldest are dropped.
const maxLines = 4000

// LineBuffer keeps the latest log lines of the processes of a test. It is safe for
// concurrent use.
type LineBuffer struct {
	mutex sync.Mutex
	lines []string
}

// NewLineBuffer returns a LineBuffer whose lines are printed if the test fails.
func NewLineBuffer(t testing.TB) *LineBuffer {
	buffer := &LineBuffer{}
	t.Cleanup(func() { buffer.printIfFailed(t) })
	return buffer
}

// Logger returns a logger of a process that writes to the buffer.
func (b *LineBuffer) Logger(process string) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Context: log.NewContext(nil).Str("process", process).Value(), Writer: log.IOWriter{Writer: b}}
}

// Write implements io.Writer; data is one line.
func (b *LineBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.lines) >= maxLines {
		b.lines = b.lines[1:]
	}
	b.lines = append(b.lines, string(data))
	return len(data), nil
}

func (b *LineBuffer) printIfFailed(t testing.TB) {
	if !t.Failed() {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	t.Logf("lines of the processes:\n%s", strings.Join(b.lines, ""))
}

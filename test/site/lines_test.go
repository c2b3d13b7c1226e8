package site_test

import (
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"
)

// maxKeptLines limits the log lines that are kept of one site, the oldest are dropped.
const maxKeptLines = 4000

// lineBuffer keeps the latest log lines of a site's processes. It is safe for concurrent use.
type lineBuffer struct {
	mutex sync.Mutex
	lines []string
}

// logger returns a logger of a process that writes to the buffer.
func (b *lineBuffer) logger(process string) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Context: log.NewContext(nil).Str("process", process).Value(), Writer: log.IOWriter{Writer: b}}
}

// Write implements io.Writer; data is one line.
func (b *lineBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.lines) >= maxKeptLines {
		b.lines = b.lines[1:]
	}
	b.lines = append(b.lines, string(data))
	return len(data), nil
}

// printIfFailed prints the lines if the test has failed.
func (b *lineBuffer) printIfFailed(t testing.TB) {
	if !t.Failed() {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	t.Logf("lines of the processes:\n%s", strings.Join(b.lines, ""))
}

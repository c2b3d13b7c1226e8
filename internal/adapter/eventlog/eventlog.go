// Package eventlog writes structured log lines, one JSON object per line, without
// blocking the caller: lines pass through a bounded queue to one writer. Lines that
// overflow the queue, or exceed the rate of ordinary lines, are dropped and counted,
// and a log line reports the count. Warnings and errors have a queue of their own
// with priority over ordinary lines.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	queueCapacity = 1024
	// maxOrdinaryPerSecond limits lines below level warning.
	maxOrdinaryPerSecond = 250
	// maxLineBytes limits one line; a longer one is truncated.
	maxLineBytes   = 4096
	reportInterval = 5 * time.Second
)

// Writer is a log.Writer. It is safe for concurrent use.
type Writer struct {
	urgent   chan []byte
	ordinary chan []byte
	dropped  atomic.Uint64
	// second, counted from startedAt, and count limit the rate of ordinary lines.
	startedAt time.Time
	second    atomic.Int64
	count     atomic.Int64
}

// New returns a writer to out and starts its goroutine.
func New(out io.Writer) *Writer {
	writer := &Writer{startedAt: time.Now(), urgent: make(chan []byte, queueCapacity), ordinary: make(chan []byte, queueCapacity)}
	go writer.run(out)
	return writer
}

// Logger returns a logger that adds the name of the process to every line.
func (w *Writer) Logger(process string) *log.Logger {
	return &log.Logger{
		Level: log.InfoLevel, Writer: w, TimeField: "time", TimeFormat: log.TimeFormatUnixMs,
		Context: log.NewContext(nil).Str("process", process).Value(),
	}
}

// Important returns a logger whose lines, whatever their level, have the priority of
// warnings, for rare lines that must not be dropped under load.
func Important(logger *log.Logger) *log.Logger {
	writer, ours := logger.Writer.(*Writer)
	if !ours {
		return logger
	}
	important := *logger
	important.Writer = importantWriter{writer}
	return &important
}

type importantWriter struct{ writer *Writer }

// WriteEntry implements log.Writer.
func (i importantWriter) WriteEntry(entry *log.Entry) (int, error) {
	return i.writer.enqueue(i.writer.urgent, entry.Value())
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// WriteEntry implements log.Writer.
func (w *Writer) WriteEntry(entry *log.Entry) (int, error) {
	formatted := entry.Value()
	queue := w.urgent
	if entry.Level < log.WarnLevel {
		queue = w.ordinary
		if !w.withinRate() {
			w.dropped.Add(1)
			return len(formatted), nil
		}
	}
	return w.enqueue(queue, formatted)
}

// enqueue passes a line to the writer's goroutine, or drops it if the queue is full.
func (w *Writer) enqueue(queue chan []byte, formatted []byte) (int, error) {
	line := append([]byte(nil), formatted[:min(len(formatted), maxLineBytes)]...)
	select {
	case queue <- line:
	default:
		w.dropped.Add(1)
	}
	return len(formatted), nil
}

func (w *Writer) withinRate() bool {
	now := int64(time.Since(w.startedAt) / time.Second)
	if w.second.Swap(now) != now {
		w.count.Store(0)
	}
	return w.count.Add(1) <= maxOrdinaryPerSecond
}

func (w *Writer) run(out io.Writer) {
	var reported uint64
	reportedAt := time.Now()
	for {
		_, _ = out.Write(w.next())
		if dropped := w.dropped.Load(); dropped != reported && time.Since(reportedAt) > reportInterval {
			entry := log.Logger{Writer: log.IOWriter{Writer: out}}
			entry.Warn().Str(Field, LogDropped).Uint64("lines", dropped-reported).Msg("log lines were dropped")
			reported, reportedAt = dropped, time.Now()
		}
	}
}

// next returns the next line, an urgent one first.
func (w *Writer) next() []byte {
	select {
	case line := <-w.urgent:
		return line
	default:
	}
	select {
	case line := <-w.urgent:
		return line
	case line := <-w.ordinary:
		return line
	}
}

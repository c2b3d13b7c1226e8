// Package eventlog writes structured log lines, one JSON object a line, without
// ever holding up who logs: lines pass through a bounded queue to one writer.
// What finds no room, or exceeds the rate of ordinary lines, is left out and
// counted, and a line says how many were. Warnings and errors have a queue of
// their own, so that refusals and failures go before the ordinary.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	queueLines = 1024
	// ordinaryPerSecond bounds lines below the level of a warning.
	ordinaryPerSecond = 250
	// maxLineBytes bounds one line; a longer one is cut.
	maxLineBytes = 4096
	reportEvery  = 5 * time.Second
)

// Writer is a log.Writer. It is safe for several goroutines.
type Writer struct {
	urgent   chan []byte
	ordinary chan []byte
	dropped  atomic.Uint64
	// second, counted from began, and count bound the rate of ordinary lines.
	began  time.Time
	second atomic.Int64
	count  atomic.Int64
}

// New makes a writer to out and starts its goroutine.
func New(out io.Writer) *Writer {
	writer := &Writer{began: time.Now(), urgent: make(chan []byte, queueLines), ordinary: make(chan []byte, queueLines)}
	go writer.run(out)
	return writer
}

// Logger makes a logger of a process, by its name in every line.
func (w *Writer) Logger(process string) *log.Logger {
	return &log.Logger{
		Level: log.InfoLevel, Writer: w, TimeField: "time", TimeFormat: log.TimeFormatUnixMs,
		Context: log.NewContext(nil).Str("process", process).Value(),
	}
}

// Important gives a logger whose lines are not left out under load, whatever their
// level: for what there is little of and nobody can do without.
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

// Dropped gives the number of lines that were left out.
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

// enqueue hands a line to the writer's goroutine, if the queue has room.
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
	now := int64(time.Since(w.began) / time.Second)
	if w.second.Swap(now) != now {
		w.count.Store(0)
	}
	return w.count.Add(1) <= ordinaryPerSecond
}

func (w *Writer) run(out io.Writer) {
	var reported uint64
	reportedAt := time.Now()
	for {
		_, _ = out.Write(w.next())
		if dropped := w.dropped.Load(); dropped != reported && time.Since(reportedAt) > reportEvery {
			entry := log.Logger{Writer: log.IOWriter{Writer: out}}
			entry.Warn().Str(Field, LogDropped).Uint64("lines", dropped-reported).Msg("log lines were left out")
			reported, reportedAt = dropped, time.Now()
		}
	}
}

// next gives an urgent line if there is one.
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

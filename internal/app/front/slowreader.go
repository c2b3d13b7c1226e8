package front

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
)

// unbufferedWriteTimeout is how long a caller may accept no data of an answer that is not buffered: until
// it has all, it holds a connection to a replica that others need.
const unbufferedWriteTimeout = 2 * time.Second

// write writes a body. It aborts the connection if the caller does not accept the body in the time that
// the server allows.
func (f *Front) write(w http.ResponseWriter, body []byte) {
	if _, err := w.Write(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// forwardUnbuffered streams an answer that exceeds the memory budget to the caller. If the
// replica's connection breaks, it aborts the caller's, so that the response does not look
// complete.
func (f *Front) forwardUnbuffered(w http.ResponseWriter, answer *proxy.Answer) {
	if size := answer.Stream.ContentLength; size >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	}
	f.config.Logger.Warn().Str(eventlog.Field, eventlog.AnswerUnbuffered).Str("replica", answer.Replica.ID).
		Int64("held", f.config.MemoryBudget.Used()).Msg("memory budget exhausted: forwarding an answer without buffering it")
	w.WriteHeader(answer.Status)
	control := http.NewResponseController(w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // fails only on a closed connection
	if err := copyStream(&impatientWriter{w, control}, answer.Stream); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// impatientWriter writes each part of a response within unbufferedWriteTimeout.
type impatientWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

var _ io.Writer = (*impatientWriter)(nil)

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *impatientWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes within the timeout.
func (w *impatientWriter) Write(data []byte) (int, error) {
	if err := w.control.SetWriteDeadline(time.Now().Add(unbufferedWriteTimeout)); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(data)
}

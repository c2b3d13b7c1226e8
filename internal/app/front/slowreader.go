package front

import (
	"net/http"
	"strconv"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
)

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
	if err := copyStream(w, answer.Stream); err != nil {
		panic(http.ErrAbortHandler)
	}
}

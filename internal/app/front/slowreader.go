package front

import (
	"net/http"
	"strconv"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
)

const (
	// writeTimeout is how long a caller may accept no data. It exceeds callers' longest
	// deadlines (12 s seen), so that late responses are delivered too.
	writeTimeout = 15 * time.Second
	// writeChunkBytes is written under one writeTimeout. A body of that size fits the buffers of
	// a connection and is written without a timeout.
	writeChunkBytes = 16 << 10
)

// write writes a body. It cuts off a caller that stops reading, since the body uses memory
// of this process meanwhile.
func (f *Front) write(w http.ResponseWriter, body []byte) {
	if len(body) <= writeChunkBytes {
		_, _ = w.Write(body)
		return
	}
	control := http.NewResponseController(w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	for len(body) > 0 {
		chunk := min(len(body), writeChunkBytes)
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(body[:chunk]); err != nil {
			panic(http.ErrAbortHandler)
		}
		body = body[chunk:]
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

// Respond writes a response made by the front itself, or rejects the request if the response
// exceeds the memory budget.
func (f *Front) Respond(w http.ResponseWriter, r *http.Request, contentType string, body []byte) {
	reservation := f.config.MemoryBudget.NewReservation()
	defer reservation.Close()
	if !reservation.Reserve(int64(len(body))) {
		f.reject(w, r, "", "the memory budget has no space for the answer")
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	f.write(w, body)
}

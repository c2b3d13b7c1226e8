package front

import (
	"net/http"
	"strconv"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
)

const (
	// unreadTimeout is how long a caller may take nothing of what is written to it. It is
	// beyond the longest deadline of callers seen, 12 s: what is ready is delivered late too.
	unreadTimeout = 15 * time.Second
	// writeStep is how much is written under one such time, in bytes. What is no longer fits
	// the buffers of a connection, and is written without one.
	writeStep = 16 << 10
)

// write writes an answer. A caller that takes nothing of it for long is cut off: what is held
// for it counts as this process's memory.
func (f *Front) write(w http.ResponseWriter, body []byte) {
	if len(body) <= writeStep {
		_, _ = w.Write(body)
		return
	}
	control := http.NewResponseController(w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	for len(body) > 0 {
		step := min(len(body), writeStep)
		_ = control.SetWriteDeadline(time.Now().Add(unreadTimeout))
		if _, err := w.Write(body[:step]); err != nil {
			panic(http.ErrAbortHandler)
		}
		body = body[step:]
	}
}

// passUnread hands on an answer that there was no room to hold, as its caller takes it. One
// that breaks off breaks the caller's connection, so that it does not look whole.
func (f *Front) passUnread(w http.ResponseWriter, answer *proxy.Answer) {
	if size := answer.Stream.ContentLength; size >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	}
	f.config.Logger.Warn().Str(eventlog.Field, eventlog.AnswerNotHeld).Str("replica", answer.Replica.ID).
		Int64("held", f.config.MemoryBudget.Used()).Msg("an answer is passed on as its caller reads it: there is no room to hold it")
	w.WriteHeader(answer.Status)
	if err := passBytes(w, answer.Stream); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// Answer writes an answer of the front's own, or refuses if there is no room to hold it until
// its caller has read it.
func (f *Front) Respond(w http.ResponseWriter, r *http.Request, contentType string, body []byte) {
	holding := f.config.MemoryBudget.Open()
	defer holding.Close()
	if !holding.Take(int64(len(body))) {
		f.refuse(w, r, "", "there is no room to hold the answer")
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	f.write(w, body)
}

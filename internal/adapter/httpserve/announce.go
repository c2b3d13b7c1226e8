package httpserve

import "net/http"

// handler returns a handler whose responses announce how long the connection may stay idle
// or, once Drain was called, that it closes. The announcement is made when a response's
// header is written: a request may begin long before a stop and end during it.
func (i *IdleConnections) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		announcing := &announcingWriter{ResponseWriter: w, connections: i}
		next.ServeHTTP(announcing, r)
		announcing.announce() // net/http writes the header of a handler that wrote nothing
	})
}

// announcingWriter announces the use of the connection in the response's header.
type announcingWriter struct {
	http.ResponseWriter
	connections *IdleConnections
	announced   bool
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *announcingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the header with the announcement.
func (w *announcingWriter) WriteHeader(status int) {
	if status >= http.StatusOK { // a 1xx header precedes the response's own
		w.announce()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes the header with the announcement before the first data.
func (w *announcingWriter) Write(data []byte) (int, error) {
	w.announce()
	return w.ResponseWriter.Write(data)
}

// FlushError writes the header with the announcement before it flushes.
func (w *announcingWriter) FlushError() error {
	w.announce()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *announcingWriter) announce() {
	if w.announced {
		return
	}
	w.announced = true
	switch {
	case w.connections.draining.Load():
		w.Header().Set("Connection", "close")
	case w.connections.announcement != "":
		w.Header().Set("Keep-Alive", w.connections.announcement)
	}
}

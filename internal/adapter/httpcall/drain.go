package httpcall

import (
	"io"
	"net/http"
	"time"
)

const (
	// drainBytes and drainTimeout limit what is read of a body that nobody needs, so that its
	// connection can be used again.
	drainBytes   = 16 << 10
	drainTimeout = 50 * time.Millisecond
	// errorBodyTimeout limits the wait for the body of an error response.
	errorBodyTimeout = 500 * time.Millisecond
)

// Drain reads the rest of a short body, so that the connection can be reused, and closes it. A
// body that does not end at once costs the connection instead.
func Drain(response *http.Response) {
	defer closeAfter(response, drainTimeout).Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, drainBytes))
	_ = response.Body.Close()
}

// closeAfter closes a body after a time, which ends a Read that waits, unless the timer is stopped.
func closeAfter(response *http.Response, timeout time.Duration) *time.Timer {
	return time.AfterFunc(timeout, func() { _ = response.Body.Close() })
}

package appclient_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// startRecordingServer returns a channel of the requests that its server received.
func startRecordingServer(t *testing.T, prepare func(http.ResponseWriter)) (address string, requests <-chan *http.Request) {
	seen := make(chan *http.Request, 1)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		seen <- request
		prepare(writer)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), seen
}

package appclient_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// recordingServer hands over each request that it answers with prepare.
func recordingServer(t *testing.T, prepare func(http.ResponseWriter)) (address string, requests <-chan *http.Request) {
	seen := make(chan *http.Request, 1)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		seen <- request
		prepare(writer)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), seen
}

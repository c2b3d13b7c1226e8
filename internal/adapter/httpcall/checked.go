package httpcall

import (
	"net/http"
	"time"
)

// CheckedClient returns an http.Client for callers that need no verdict. Like Client.Send it fails for a
// malformed response, and its bodies fail in place of an end that is not known to be one. It takes over the
// transport, without compression: the length of a decompressed body is unknown. A timeout of 0 is none.
func CheckedClient(transport *http.Transport, timeout time.Duration) *http.Client {
	transport.DisableCompression = true
	return &http.Client{Transport: checkedTransport{transport}, Timeout: timeout}
}

// checkedTransport checks the responses of its transport.
type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := (Names{}).checkHead(request, response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &checkedBody{ReadCloser: response.Body, response: response, discard: func() {}}
	return response, nil
}

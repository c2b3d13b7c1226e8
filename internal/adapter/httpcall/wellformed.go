package httpcall

import (
	"errors"
	"io"
	"net/http"
	"slices"

	"golang.org/x/net/http/httpguts"
)

// The statuses of a final response. RFC 9110, section 15, has no others.
const (
	minStatus = 200
	maxStatus = 599
)

// ErrNoExplicitEnd is the error for a body that only the end of its connection ends. After a reset, the
// transport may see the same end as after an orderly close, so that the body may be a part.
var ErrNoExplicitEnd = errors.New("answer has neither Content-Length nor chunked encoding")

// checkHead rejects a response to a request whose head is malformed: net/http accepts any status of three
// characters, any version and blanks in the names of fields, and ignores Content-Length and
// Transfer-Encoding under such names.
func (n Names) checkHead(request *http.Request, response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return Malformed("answer has version %q of the protocol", response.Proto)
	case response.StatusCode == http.StatusSwitchingProtocols:
		return Malformed("answer switches protocols")
	case response.StatusCode < minStatus || response.StatusCode > maxStatus:
		return Malformed("answer has status %03d", response.StatusCode)
	}
	if err := checkNames(response.Header); err != nil {
		return err
	}
	return n.checkID(request, response)
}

// checkNames rejects fields whose names are no tokens.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return Malformed("answer has a field with the name %q", name)
		}
	}
	return nil
}

// checkID rejects a response that names another request, also besides this one.
func (n Names) checkID(request *http.Request, response *http.Response) error {
	want := request.Header.Get(n.ID)
	ids := response.Header.Values(n.ID)
	for _, got := range ids {
		if got != want && (got != "" || len(ids) > 1) {
			return Malformed("answer is to another request: %s %q", n.ID, got)
		}
	}
	return nil
}

// CheckEnd rejects a response whose body can't be known to be whole, from its head alone.
func CheckEnd(response *http.Response) error {
	if !hasExplicitEnd(response) {
		return Malformed("%v", ErrNoExplicitEnd)
	}
	return nil
}

// hasExplicitEnd reports whether the end of a response's body differs from the end of its connection.
func hasExplicitEnd(response *http.Response) bool {
	if response.ContentLength >= 0 || response.Request.Method == http.MethodHead {
		return true
	}
	return slices.Contains(response.TransferEncoding, "chunked")
}

// checkedBody is the body of a response. It fails in place of an end that is not known to be one.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
	// discard closes the connection.
	discard func()
}

// Read implements io.Reader.
func (b *checkedBody) Read(buf []byte) (int, error) {
	count, err := b.ReadCloser.Read(buf)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if !hasExplicitEnd(b.response) {
		return count, ErrNoExplicitEnd
	}
	if err := checkNames(b.response.Trailer); err != nil {
		b.discard()
		return count, err
	}
	return count, err
}

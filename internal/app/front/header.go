package front

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// passedHeader copies a header without what concerns one connection.
func passedHeader(header http.Header) http.Header {
	passed := header.Clone()
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			passed.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		delete(passed, name)
	}
	return passed
}

// copyHeader adds an answer's header to that of the caller's answer.
func copyHeader(to, from http.Header) {
	for name, values := range passedHeader(from) {
		to[name] = values
	}
	if _, typed := from["Content-Type"]; !typed {
		to["Content-Type"] = nil // net/http would guess one
	}
}

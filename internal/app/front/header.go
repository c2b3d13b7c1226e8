package front

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEndHeader returns a copy of a header without its hop-by-hop fields.
func endToEndHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			forwarded.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(forwarded, name)
	}
	return forwarded
}

// copyHeader adds the end-to-end fields of a replica's response to the caller's response.
func copyHeader(to, from http.Header) {
	for name, values := range endToEndHeader(from) {
		to[name] = values
	}
	if _, typed := from["Content-Type"]; !typed {
		to["Content-Type"] = nil // keeps net/http from guessing one
	}
}

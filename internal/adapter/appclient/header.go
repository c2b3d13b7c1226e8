package appclient

import (
	"net/http"
	"slices"
	"strings"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// connectionFields apply to one connection and are not forwarded (RFC 9110, section
// 7.6.1), nor is any field that Connection names.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Host", "Content-Length",
}

// reservedRequestFields are replaced in every request.
var reservedRequestFields = []string{api.HeaderRequestID, api.HeaderRequestKey, api.HeaderSafe, api.HeaderDeadline, api.HeaderPriority, api.HeaderCluster}

// reservedResponseFields may only be set by loomgrade and are removed from responses.
var reservedResponseFields = []string{api.HeaderRequestID, api.HeaderVerdict, api.HeaderUnconfirmed, api.HeaderCluster}

func dropConnectionFields(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionFields {
		header.Del(name)
	}
}

// incomingHeader returns the fields to forward to the caller, sorted by name.
func incomingHeader(header http.Header) []port.HeaderField {
	dropConnectionFields(header)
	for _, name := range reservedResponseFields {
		header.Del(name)
	}
	fields := make([]port.HeaderField, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, port.HeaderField{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(fields, func(a, b port.HeaderField) int { return strings.Compare(a.Name, b.Name) })
	return fields
}

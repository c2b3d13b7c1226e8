package replicacall

import (
	"net/http"
	"net/url"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Validate returns an error if the request can be sent to no replica, whatever it runs: net/http would
// reject a header, or the replica the request line. Errors are *port.Error with the verdict NotRun.
func (r *Request) Validate() error {
	switch {
	case !isTarget(r.Target):
		return port.InvalidField("path", r.Target, "an absolute path without spaces and control characters")
	case r.ID == "" || !httpguts.ValidHeaderFieldValue(r.ID):
		return port.InvalidField("id", r.ID, "a value of an HTTP header")
	case r.Host != "" && !httpguts.ValidHostHeader(r.Host):
		return port.InvalidField("host", r.Host, "a host name")
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return port.InvalidField("header", name, "a name of an HTTP header")
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return port.InvalidField("header "+name, value, "a value of an HTTP header")
			}
		}
	}
	return nil
}

// ValidateItem returns an error if the request or the reward call of a job's item can be sent to no
// replica. Errors are those of Request.Validate.
func ValidateItem(host string, item *jobstate.Item) error {
	request := Request{Target: item.Path, Host: host, ID: item.ID, Header: make(http.Header, len(item.Headers))}
	for _, field := range item.Headers {
		request.Header[field.Name] = append(request.Header[field.Name], field.Value)
	}
	if err := request.Validate(); err != nil {
		return err
	}
	if item.Scorer == nil {
		return nil
	}
	rewardCall := Request{Target: item.Scorer.Path, Host: item.Scorer.Host, ID: item.Scorer.ID}
	return rewardCall.Validate()
}

// isTarget reports whether a request line may have the target.
func isTarget(target string) bool {
	if !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return false
	}
	_, err := url.ParseRequestURI(target)
	return err == nil
}

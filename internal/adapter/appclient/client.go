package appclient

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// DefaultAnswerBytes is the default limit on a response body.
const DefaultAnswerBytes = 8 << 20

// Client calls one back end. It is safe for concurrent use.
type Client struct {
	http        *httpcall.Client
	address     string
	answerBytes int64
}

var _ port.Application = (*Client)(nil)

// New returns a client of the back end at address (IP:port). The HTTP client may be shared
// between back ends. A response longer than answerBytes is an error; 0 means
// DefaultAnswerBytes.
func New(client *httpcall.Client, address string, answerBytes int64) *Client {
	if answerBytes <= 0 {
		answerBytes = DefaultAnswerBytes
	}
	return &Client{http: client, address: address, answerBytes: answerBytes}
}

// Call sends the request once; see port.Application. It returns a response of any status,
// except a credible refusal as not run, which is an error with that verdict.
func (c *Client) Call(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, error) {
	ctx, cancel := c.withDeadline(ctx, request)
	defer cancel()
	outgoing, err := c.newRequest(ctx, request)
	if err != nil {
		return port.ApplicationResponse{}, err
	}
	response, err := c.http.Send(outgoing)
	if err != nil {
		return port.ApplicationResponse{}, err
	}
	if httpcall.RefusedAsNotRun(response) {
		return port.ApplicationResponse{}, httpcall.ParseError(response)
	}
	body, err := httpcall.ReadBody(response, c.answerBytes)
	if err != nil {
		return port.ApplicationResponse{}, err
	}
	return port.ApplicationResponse{Status: response.StatusCode, Header: incomingHeader(response.Header), Body: body}, nil
}

// withDeadline applies the request's deadline, or else the client's timeout, to ctx.
func (c *Client) withDeadline(ctx context.Context, request port.ApplicationRequest) (context.Context, context.CancelFunc) {
	if request.Deadline.IsZero() {
		return c.http.WithTimeout(ctx)
	}
	return context.WithDeadline(ctx, request.Deadline)
}

func (c *Client) newRequest(ctx context.Context, request port.ApplicationRequest) (*http.Request, error) {
	target, err := url.ParseRequestURI(request.Path)
	if err != nil || !strings.HasPrefix(request.Path, "/") || target.Host != "" {
		return nil, eris.Wrap(port.InvalidField("path", request.Path, "an absolute path with an optional query"), "make request")
	}
	header := outgoingHeader(request)
	outgoing, err := httpcall.NewRequest(ctx, request.Method, "http://"+c.address, string(request.ID), header, request.Body)
	if err != nil {
		return nil, err
	}
	target.Scheme = outgoing.URL.Scheme
	target.Host = outgoing.URL.Host
	outgoing.URL = target
	return outgoing, nil
}

func outgoingHeader(request port.ApplicationRequest) http.Header {
	header := make(http.Header, len(request.Header)+4)
	for _, field := range request.Header {
		header.Add(field.Name, field.Value)
	}
	dropConnectionFields(header)
	for _, name := range reservedRequestFields {
		header.Del(name)
	}
	header.Set(api.HeaderPriority, strconv.Itoa(int(request.Priority)))
	header.Set(api.HeaderSafe, strconv.FormatBool(request.Safe))
	if request.Key != "" {
		header.Set(api.HeaderRequestKey, request.Key)
	}
	return header
}

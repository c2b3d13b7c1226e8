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

// DefaultAnswerBytes bounds an answer's body unless New is told otherwise.
const DefaultAnswerBytes = 8 << 20

// Client talks to one back end. It is safe for concurrent use.
type Client struct {
	http        *httpcall.Client
	address     string
	answerBytes int64
}

var _ port.Application = (*Client)(nil)

// New makes the client of the back end at address (IP:port). The HTTP client
// may be shared between back ends. Answers longer than answerBytes are
// errors; 0 means DefaultAnswerBytes.
func New(client *httpcall.Client, address string, answerBytes int64) *Client {
	if answerBytes <= 0 {
		answerBytes = DefaultAnswerBytes
	}
	return &Client{http: client, address: address, answerBytes: answerBytes}
}

// Call sends the request once; see port.Application. Any status is an answer,
// except a credible refusal as not run, which is an error with that verdict.
func (c *Client) Call(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, error) {
	ctx, cancel := c.limit(ctx, request)
	defer cancel()
	outgoing, err := c.outgoing(ctx, request)
	if err != nil {
		return port.ApplicationResponse{}, err
	}
	response, err := c.http.Send(outgoing)
	if err != nil {
		return port.ApplicationResponse{}, err
	}
	if httpcall.RefusedAsNotRun(response) {
		return port.ApplicationResponse{}, httpcall.ErrorOf(response)
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		_ = response.Body.Close()
		return port.ApplicationResponse{}, httpcall.Malformed("answer switches protocols")
	}
	body, err := httpcall.ReadWhole(response, c.answerBytes)
	if err != nil {
		return port.ApplicationResponse{}, err
	}
	return port.ApplicationResponse{Status: response.StatusCode, Header: incomingHeader(response.Header), Body: body}, nil
}

// limit applies the request's deadline, or else the client's timeout.
func (c *Client) limit(ctx context.Context, request port.ApplicationRequest) (context.Context, context.CancelFunc) {
	if request.Deadline.IsZero() {
		return c.http.WithTimeout(ctx)
	}
	return context.WithDeadline(ctx, request.Deadline)
}

func (c *Client) outgoing(ctx context.Context, request port.ApplicationRequest) (*http.Request, error) {
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
	for _, name := range ownRequestFields {
		header.Del(name)
	}
	header.Set(api.HeaderPriority, strconv.Itoa(int(request.Priority)))
	header.Set(api.HeaderSafe, strconv.FormatBool(request.Safe))
	if request.Key != "" {
		header.Set(api.HeaderRequestKey, request.Key)
	}
	return header
}

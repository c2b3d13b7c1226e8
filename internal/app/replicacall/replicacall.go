// Package replicacall sends HTTP requests to exact replica instances. A replica that has
// restarted, or another one at the same address, refuses them as not run.
package replicacall

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/dialect"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	dialTimeout    = 400 * time.Millisecond
	silenceTimeout = 1500 * time.Millisecond
	idleTimeout    = 20 * time.Second
	// maxReportBytes limits the size of a replica's report.
	maxReportBytes = 256 << 10
)

// Client sends requests to replicas. It is safe for concurrent use.
type Client struct {
	http    *httpcall.Client
	names   httpcall.Names
	dialect dialect.Dialect
}

// New returns a client with at most the given number of connections per replica.
func New(d dialect.Dialect, connections int) *Client {
	headers := d.Headers()
	names := httpcall.Names{ID: headers.RequestID, Deadline: headers.Deadline}
	return &Client{dialect: d, names: names, http: httpcall.New(httpcall.Limits{
		DialTimeout: dialTimeout, Connections: connections, IdleConnections: connections,
		IdleTimeout: idleTimeout, AckTimeout: silenceTimeout, Names: names,
	})}
}

// Request is a request to a replica.
type Request struct {
	Method string
	// Target is the path and query, sent unchanged in the request line.
	Target string
	Host   string
	ID     string
	Header http.Header
	Body   []byte
	// NoDeadline omits the deadline header even if the context has a deadline.
	NoDeadline bool
}

// Send sends a request once and returns the response; the caller closes the body.
// Errors carry a verdict.
func (c *Client) Send(ctx context.Context, replica sitestate.Replica, request Request) (*http.Response, error) {
	names := c.names
	if request.NoDeadline {
		names.Deadline = ""
	}
	header := request.Header
	if header == nil {
		header = http.Header{}
	}
	httpRequest, err := names.NewRequest(ctx, request.Method, "http://"+replica.Address+"/", request.ID, header, request.Body)
	if err != nil {
		return nil, err
	}
	if err := setTarget(httpRequest, replica.Address, request.Target); err != nil {
		return nil, err
	}
	if request.Host != "" {
		httpRequest.Host = request.Host
	}
	if _, set := httpRequest.Header["User-Agent"]; !set {
		httpRequest.Header.Set("User-Agent", "") // prevents net/http's default value
	}
	httpRequest.Header.Set(c.dialect.Headers().ExpectedInstance, replica.InstanceName())
	return c.http.Send(httpRequest)
}

// setTarget sets the target of the request line without normalizing it.
func setTarget(request *http.Request, address, target string) error {
	if strings.HasPrefix(target, "/") && !strings.HasPrefix(target, "//") {
		request.URL = &url.URL{Scheme: "http", Host: address, Opaque: target}
		return nil
	}
	parsed, err := url.ParseRequestURI(target)
	if err != nil {
		return eris.Wrap(port.NewError(port.NotRun, port.CodeInvalid, "%v", err), "request target")
	}
	parsed.Scheme, parsed.Host = "http", address
	request.URL = parsed
	return nil
}

// RefusedAsNotRun reports whether the response declares that the replica did not run the
// request.
func (c *Client) RefusedAsNotRun(response *http.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(c.dialect.Headers().NotRun) != ""
}

// Order sends an order and returns the status of the response.
func (c *Client) Order(ctx context.Context, replica sitestate.Replica, order dialect.Order) (int, error) {
	call, err := c.dialect.OrderCall(order)
	if err != nil {
		return 0, err
	}
	response, err := c.call(ctx, replica, call)
	if err != nil {
		return 0, err
	}
	defer httpcall.Drain(response)
	return response.StatusCode, nil
}

// Report requests a replica's report.
func (c *Client) Report(ctx context.Context, replica sitestate.Replica) (dialect.Report, error) {
	response, err := c.call(ctx, replica, c.dialect.ReportCall())
	if err != nil {
		return dialect.Report{}, err
	}
	defer httpcall.Drain(response)
	if response.StatusCode != http.StatusOK {
		return dialect.Report{}, httpcall.Malformed("report with status %d", response.StatusCode)
	}
	body, err := httpcall.ReadBody(response, maxReportBytes)
	if err != nil {
		return dialect.Report{}, eris.Wrap(err, "read report")
	}
	return c.dialect.DecodeReport(body)
}

func (c *Client) call(ctx context.Context, replica sitestate.Replica, call dialect.Call) (*http.Response, error) {
	header := http.Header{}
	if call.Body != nil {
		header.Set("Content-Type", "application/json")
	}
	return c.Send(ctx, replica, Request{Method: call.Method, Target: call.Path, Header: header, Body: call.Body, NoDeadline: true})
}

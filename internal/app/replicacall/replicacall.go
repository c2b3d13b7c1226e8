// Package replicacall sends HTTP requests to replicas under their exact
// instance: a replica that was started anew, or another one at the same
// address, refuses them as not run.
package replicacall

import (
	"context"
	"io"
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
	dialTimeout = 400 * time.Millisecond
	silence     = 1500 * time.Millisecond
	idleTimeout = 20 * time.Second
	// reportLimit bounds a replica's report, in bytes.
	reportLimit = 256 << 10
)

// Client sends requests to replicas. It is safe for concurrent use.
type Client struct {
	http    *httpcall.Client
	names   httpcall.Names
	dialect dialect.Dialect
}

// New makes a client that opens so many connections to one replica at most.
func New(terms dialect.Dialect, connections int) *Client {
	headers := terms.Headers()
	names := httpcall.Names{ID: headers.RequestID, Deadline: headers.Deadline}
	return &Client{dialect: terms, names: names, http: httpcall.New(httpcall.Limits{
		DialTimeout: dialTimeout, Connections: connections, IdleConnections: connections,
		IdleTimeout: idleTimeout, SilenceTimeout: silence, Names: names,
	})}
}

// Request is what is sent to a replica.
type Request struct {
	Method string
	// Target is the request's path and query, exactly as they are to stand in
	// the request line.
	Target string
	Host   string
	ID     string
	Header http.Header
	Body   []byte
	// NoDeadline leaves the deadline header out although the context has one.
	NoDeadline bool
}

// Send sends a request once and gives the answer's head; the caller closes the
// body. Errors carry a verdict.
func (c *Client) Send(ctx context.Context, replica sitestate.Replica, request Request) (*http.Response, error) {
	names := c.names
	if request.NoDeadline {
		names.Deadline = ""
	}
	header := request.Header
	if header == nil {
		header = http.Header{}
	}
	made, err := names.NewRequest(ctx, request.Method, "http://"+replica.Address+"/", request.ID, header, request.Body)
	if err != nil {
		return nil, err
	}
	if err := setTarget(made, replica.Address, request.Target); err != nil {
		return nil, err
	}
	if request.Host != "" {
		made.Host = request.Host
	}
	if _, set := made.Header["User-Agent"]; !set {
		made.Header.Set("User-Agent", "") // net/http would add its own
	}
	made.Header.Set(c.dialect.Headers().ExpectInstance, replica.InstanceName())
	return c.http.Send(made)
}

// setTarget puts the target into the request line as it is.
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

// RefusedAsNotRun reports whether an answer says that the replica did not run
// the request.
func (c *Client) RefusedAsNotRun(response *http.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(c.dialect.Headers().NotRun) != ""
}

// Order sends an order and gives the answer's status.
func (c *Client) Order(ctx context.Context, replica sitestate.Replica, order dialect.Order) (int, error) {
	call, err := c.dialect.OrderCall(order)
	if err != nil {
		return 0, err
	}
	response, err := c.call(ctx, replica, call)
	if err != nil {
		return 0, err
	}
	defer drain(response)
	return response.StatusCode, nil
}

// Report asks a replica how it stands.
func (c *Client) Report(ctx context.Context, replica sitestate.Replica) (dialect.Report, error) {
	response, err := c.call(ctx, replica, c.dialect.ReportCall())
	if err != nil {
		return dialect.Report{}, err
	}
	defer drain(response)
	if response.StatusCode != http.StatusOK {
		return dialect.Report{}, httpcall.Malformed("report with status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, reportLimit))
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

// drain lets the connection be used again.
func drain(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, reportLimit))
	_ = response.Body.Close()
}

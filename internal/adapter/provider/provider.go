// Package provider calls the provider of the site's machines, with the name and the fencing
// token of the lease holder.
package provider

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/core/usage"
	"github.com/loomgrade/loomgrade/internal/dialect"
)

const (
	dialTimeout = time.Second
	// ackTimeout closes a connection with unacknowledged data, so that a partition cannot
	// deliver a call long after it was sent.
	ackTimeout = 1500 * time.Millisecond
	// idleTimeout closes idle connections between two reporting windows.
	idleTimeout = 2 * time.Second
)

// Client calls the provider. It is safe for concurrent use.
type Client struct {
	address string
	dialect dialect.Dialect
	http    *httpcall.Client
}

// New returns a client of the provider at host:port.
func New(address string, providerDialect dialect.Dialect) *Client {
	return &Client{address: address, dialect: providerDialect, http: httpcall.New(httpcall.Limits{
		DialTimeout: dialTimeout, Connections: 1, IdleConnections: 1, IdleTimeout: idleTimeout, AckTimeout: ackTimeout,
		Names: httpcall.Names{ID: providerDialect.Headers().RequestID},
	})}
}

// ReportUsage implements sitecontrol.Provider.
func (c *Client) ReportUsage(ctx context.Context, authority sitecontrol.Authority, total usage.Total) (status int, err error) {
	call, err := c.dialect.UsageCall(total)
	if err != nil {
		return 0, err
	}
	return c.call(ctx, authority, call)
}

func (c *Client) call(ctx context.Context, authority sitecontrol.Authority, call dialect.Call) (status int, err error) {
	headers := c.dialect.Headers()
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(headers.LeaseHolder, authority.Machine)
	header.Set(headers.FencingToken, strconv.FormatUint(authority.Fence, 10))
	names := httpcall.Names{ID: headers.RequestID}
	request, err := names.NewRequest(ctx, call.Method, "http://"+c.address+call.Path, "", header, call.Body)
	if err != nil {
		return 0, err
	}
	response, err := c.http.Send(request)
	if err != nil {
		return 0, err
	}
	httpcall.Drain(response)
	return response.StatusCode, nil
}

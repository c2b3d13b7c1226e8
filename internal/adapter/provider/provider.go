// Package provider calls the provider of the site's machines, under the name of the
// machine that holds the lease and its fencing token.
package provider

import (
	"context"
	"io"
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
	// silence ends a connection whose bytes are not acknowledged: a call that a cut
	// holds up must not arrive long after.
	silence = 1500 * time.Millisecond
	// idleTimeout closes connections between two windows; windows last seconds.
	idleTimeout = 2 * time.Second
	// answerLimit bounds what is read of an answer, in bytes.
	answerLimit = 64 << 10
)

// Client calls the provider. It is safe for concurrent use.
type Client struct {
	address string
	dialect dialect.Dialect
	http    *httpcall.Client
}

// New makes a client of the provider at host:port.
func New(address string, terms dialect.Dialect) *Client {
	return &Client{address: address, dialect: terms, http: httpcall.New(httpcall.Limits{
		DialTimeout: dialTimeout, Connections: 1, IdleConnections: 1, IdleTimeout: idleTimeout, AckTimeout: silence,
		Names: httpcall.Names{ID: terms.Headers().RequestID},
	})}
}

// ReportUsage implements sitecontrol.Provider.
func (c *Client) ReportUsage(ctx context.Context, by sitecontrol.Authority, total usage.Total) (status int, err error) {
	call, err := c.dialect.UsageCall(total)
	if err != nil {
		return 0, err
	}
	return c.call(ctx, by, call)
}

func (c *Client) call(ctx context.Context, by sitecontrol.Authority, call dialect.Call) (status int, err error) {
	headers := c.dialect.Headers()
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(headers.LeaseHolder, by.Machine)
	header.Set(headers.FencingToken, strconv.FormatUint(by.Fence, 10))
	names := httpcall.Names{ID: headers.RequestID}
	request, err := names.NewRequest(ctx, call.Method, "http://"+c.address+call.Path, "", header, call.Body)
	if err != nil {
		return 0, err
	}
	response, err := c.http.Send(request)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, answerLimit))
	return response.StatusCode, response.Body.Close()
}

package httpcall

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/tcpsocket"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Limits limits what a Client uses. Zero fields take their defaults.
type Limits struct {
	// DialTimeout limits connection setup; default 2s.
	DialTimeout time.Duration
	// Connections limits open connections per address; default 1024.
	Connections int
	// IdleConnections limits idle connections per address; default 64.
	IdleConnections int
	// IdleTimeout closes unused connections; default 30s.
	IdleTimeout time.Duration
	// HeaderBytes limits a response's header; default 32 KiB.
	HeaderBytes int64
	// Timeout limits a call whose context has no deadline; default 30s.
	Timeout time.Duration
	// WatchTimeout closes a connection whose sent data remains unacknowledged for this
	// long (TCP_USER_TIMEOUT); default 10s.
	AckTimeout time.Duration
	// Names are the headers for a call's id and deadline; default HeaderRequestID and
	// HeaderDeadline of package api.
	Names Names
	// Clock includes suspended time; nil means the machine's clock.
	Clock boottime.Clock
}

// Names are the names of headers sent with every call.
type Names struct {
	// ID carries the call's id; a response with another id is rejected.
	ID string
	// Deadline carries the call's remaining time in milliseconds.
	Deadline string
}

var defaultNames = Names{ID: api.HeaderRequestID, Deadline: api.HeaderDeadline}

// Defaults of Limits.
const (
	defaultDialTimeout     = 2 * time.Second
	defaultConnections     = 1024
	defaultIdleConnections = 64
	defaultIdleTimeout     = 30 * time.Second
	defaultHeaderBytes     = 32 << 10
	defaultTimeout         = 30 * time.Second
	defaultAckTimeout      = 10 * time.Second
)

func (l Limits) withDefaults() Limits {
	l.DialTimeout = cmp.Or(l.DialTimeout, defaultDialTimeout)
	l.Connections = cmp.Or(l.Connections, defaultConnections)
	l.IdleConnections = cmp.Or(l.IdleConnections, defaultIdleConnections)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaultIdleTimeout)
	l.HeaderBytes = cmp.Or(l.HeaderBytes, defaultHeaderBytes)
	l.Timeout = cmp.Or(l.Timeout, defaultTimeout)
	l.AckTimeout = cmp.Or(l.AckTimeout, defaultAckTimeout)
	l.Names = cmp.Or(l.Names, defaultNames)
	l.Clock = l.Clock.OrSystem()
	return l
}

// Client sends requests over pooled connections. It is safe for concurrent use and may be
// shared by clients of many addresses.
type Client struct {
	transport *http.Transport
	limits    Limits
	// calls numbers the calls without an id.
	calls atomic.Uint64
}

// New returns a Client.
func New(limits Limits) *Client {
	limits = limits.withDefaults()
	dialer := &net.Dialer{Timeout: limits.DialTimeout, Control: tcpsocket.UserTimeout(limits.AckTimeout)}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConnection{Conn: connection, suspended: boottime.NewWatch(limits.Clock)}, nil
	}
	return &Client{limits: limits, transport: &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxConnsPerHost:        limits.Connections,
		MaxIdleConnsPerHost:    limits.IdleConnections,
		IdleConnTimeout:        limits.IdleTimeout,
		MaxResponseHeaderBytes: limits.HeaderBytes,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// WithTimeout applies the client's timeout to ctx unless ctx has a deadline.
func (c *Client) WithTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, limited := ctx.Deadline(); limited {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.limits.Timeout)
}

// nextID returns an id for a call without one, so that a response to another call is
// detected.
func (c *Client) nextID() string { return "c-" + strconv.FormatUint(c.calls.Add(1), 10) }

// NewRequest returns a request that net/http cannot retry by itself. HeaderDeadline carries
// the remaining time of ctx, and HeaderRequestID the id, if not empty. A malformed
// method or URL returns NotRun.
func NewRequest(ctx context.Context, method, url, id string, header http.Header, body []byte) (*http.Request, error) {
	return defaultNames.NewRequest(ctx, method, url, id, header, body)
}

// NewRequest is like the function NewRequest, with other header names.
func (n Names) NewRequest(ctx context.Context, method, url, id string, header http.Header, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, eris.Wrap(port.NewError(port.NotRun, port.CodeInvalid, "%v", err), "make request")
	}
	if header != nil {
		request.Header = header
	}
	if id != "" {
		request.Header.Set(n.ID, id)
	}
	if deadline, limited := ctx.Deadline(); limited && n.Deadline != "" {
		remaining := max(1, time.Until(deadline).Milliseconds())
		request.Header.Set(n.Deadline, strconv.FormatInt(remaining, 10))
	}
	setSingleUseBody(request, body)
	return request, nil
}

// singleUseBody is a body without GetBody, which net/http cannot rewind.
type singleUseBody struct {
	*bytes.Reader
	content []byte
}

func newSingleUseBody(content []byte) singleUseBody {
	return singleUseBody{bytes.NewReader(content), content}
}

// Close does nothing.
func (singleUseBody) Close() error { return nil }

// setSingleUseBody sets the body so that net/http never retries the request. For a request
// without a body that net/http considers replayable, because of an idempotent method or a header
// such as Idempotency-Key, it sets an empty body of its own type.
func setSingleUseBody(request *http.Request, body []byte) {
	request.GetBody = nil
	if len(body) == 0 && !isReplayable(request) {
		request.Body = http.NoBody
		return
	}
	request.Body = newSingleUseBody(body)
	request.ContentLength = int64(len(body))
}

// isReplayable mirrors net/http's rule for requests without a body.
func isReplayable(request *http.Request) bool {
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return len(request.Header["Idempotency-Key"]) > 0 || len(request.Header["X-Idempotency-Key"]) > 0
}

// Send sends a request of NewRequest once and returns the response, whose body the caller
// closes. Errors carry an exact verdict: NotRun if no byte of the request was sent,
// MayHaveRun otherwise. A connection carries an id once; the same id goes on another one.
func (c *Client) Send(request *http.Request) (*http.Response, error) {
	// Every idle connection may be one on which the request must not be sent; a new one is not.
	for unusable := 0; ; unusable++ {
		response, err := c.sendOnce(request)
		if unusable == c.limits.IdleConnections || !errors.Is(err, errSealed) || port.AsError(err).Verdict != port.NotRun {
			return response, err
		}
	}
}

// sendOnce sends a request on the connection that the transport picks. It fails with errSealed
// if the request must not be sent on that one.
func (c *Client) sendOnce(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	attempt := attempt{id: request.Header.Get(c.limits.Names.ID)}
	traced := request.WithContext(httptrace.WithClientTrace(ctx, attempt.trace()))
	if body, sized := request.Body.(singleUseBody); sized {
		traced.Body = newSingleUseBody(body.content)
	}
	response, err := c.transport.RoundTrip(traced)
	if err != nil {
		return nil, attempt.failure(ctx, err)
	}
	if err := c.limits.Names.checkHead(request, response); err != nil {
		_ = response.Body.Close()
		attempt.closeConnections() // further data on them belongs to no request
		return nil, err
	}
	attempt.recordKeepAlive(response)
	response.Body = &checkedBody{ReadCloser: response.Body, response: response, discard: attempt.closeConnections}
	return response, nil
}

func (a *attempt) failure(ctx context.Context, err error) error {
	verdict := port.NotRun
	if a.mayHaveRun() {
		verdict = port.MayHaveRun
	}
	return Failure(ctx, verdict, err, "send request")
}

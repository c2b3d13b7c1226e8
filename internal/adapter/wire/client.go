package wire

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Client calls one peer. It dials on first use, maintains one connection, and redials
// after a failure with full-jitter backoff. It never retries a call by itself. It is
// safe for concurrent use.
type Client struct {
	address  string
	options  Options
	counters Counters

	mutex    sync.Mutex
	closed   bool
	current  *clientLink
	dialing  chan struct{}
	dialErr  error
	failures int
	nextDial time.Time
}

// NewClient returns a client for the peer at address (host:port).
func NewClient(address string, options Options) *Client {
	return &Client{address: address, options: options.normalized()}
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.address }

// Totals returns the traffic of all connections of this client.
func (c *Client) Totals() Totals { return c.counters.Totals() }

// Close closes the connection; calls in flight fail with their verdicts.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	if c.current != nil {
		c.current.link.close(ErrClosed)
	}
}

// Call sends a request, waits for the one complete answer and decodes it into response
// unless that is nil. Errors are *port.Error.
func (c *Client) Call(ctx context.Context, method string, request, response any) error {
	stream, err := c.Stream(ctx, method, request)
	if err != nil {
		return err
	}
	defer stream.Close()
	body, err := stream.receive()
	if errors.Is(err, io.EOF) {
		return emptyAnswer(response)
	}
	if err != nil {
		return err
	}
	if _, err = stream.receive(); err == nil {
		return port.NewError(port.MayHaveRun, CodeProtocol, "more than one answer to %s", method)
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	if response == nil {
		return nil
	}
	return decodeAnswer(body, response)
}

func emptyAnswer(response any) error {
	if response == nil {
		return nil
	}
	return port.NewError(port.MayHaveRun, CodeProtocol, "an end without an answer")
}

func decodeAnswer(body []byte, response any) error {
	if err := Unmarshal(body, response); err != nil {
		return port.NewError(port.MayHaveRun, CodeProtocol, "undecodable answer: %s", err.Error())
	}
	return nil
}

// Stream sends a request and returns the stream of its answers. The context applies
// until the stream ends. Close must be called. Errors are *port.Error.
func (c *Client) Stream(ctx context.Context, method string, request any) (*ClientStream, error) {
	body, err := Marshal(request)
	if err != nil {
		return nil, port.NewError(port.NotRun, port.CodeInvalid, "unencodable request: %s", err.Error())
	}
	deadline, err := remainingMillis(ctx)
	if err != nil {
		return nil, err
	}
	connection, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	return connection.open(ctx, &Frame{Kind: KindCall, Method: method, DeadlineMillis: deadline, Body: body})
}

// Connect starts a dial in the background if there is no connection, so that a later
// Send finds one.
func (c *Client) Connect() {
	_, _, _ = c.ready() // an error means that it is too early to redial
}

// Send sends a one-way message without blocking. It fails if the queue is full, or if
// there is no connection, for which it then starts a dial in the background. An error
// means that the message was not sent; success does not imply delivery.
func (c *Client) Send(_ context.Context, method string, message any) error {
	body, err := Marshal(message)
	if err != nil {
		return port.NewError(port.NotRun, port.CodeInvalid, "unencodable message: %s", err.Error())
	}
	connection, _, err := c.ready()
	if err != nil {
		return err
	}
	if connection == nil {
		c.counters.dropped()
		return port.NewError(port.NotRun, port.CodeUnavailable, "%s: not connected", c.address)
	}
	if err := connection.link.tryEnqueue(&Frame{Kind: KindOneWay, Method: method, Body: body}); err != nil {
		c.counters.dropped()
		return sendError(err)
	}
	return nil
}

// remainingMillis returns the time until the context's deadline; 0 means no deadline.
func remainingMillis(ctx context.Context) (uint32, error) {
	if ctx.Err() != nil {
		return 0, contextError(ctx, port.NotRun)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0, nil
	}
	remaining := time.Until(deadline).Milliseconds()
	if remaining <= 0 {
		return 0, port.NewError(port.NotRun, port.CodeDeadline, "the deadline passed before sending")
	}
	return uint32(min(remaining, math.MaxUint32)), nil
}

// connect returns the live connection and waits for a dial if there is none.
func (c *Client) connect(ctx context.Context) (*clientLink, error) {
	for {
		connection, dialing, err := c.ready()
		if err != nil || connection != nil {
			return connection, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, contextError(ctx, port.NotRun)
		}
		if err := c.lastDialError(); err != nil {
			return nil, err
		}
	}
}

func (c *Client) lastDialError() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current != nil || c.dialErr == nil {
		return nil
	}
	refusal := sendError(c.dialErr)
	refusal.Message = c.address + ": " + c.dialErr.Error()
	return refusal
}

// ready returns the live connection, or the channel that closes when the dial in
// progress ends. It starts a dial if there is none.
func (c *Client) ready() (*clientLink, chan struct{}, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, nil, port.NewError(port.NotRun, port.CodeUnavailable, "%s: client closed", c.address)
	}
	if c.current != nil {
		select {
		case <-c.current.link.done:
			c.current = nil
		default:
			return c.current, nil, nil
		}
	}
	if c.dialing != nil {
		return nil, c.dialing, nil
	}
	if wait := time.Until(c.nextDial); wait > 0 {
		refusal := port.NewError(port.NotRun, port.CodeUnavailable, "%s: waiting to dial again: %v", c.address, c.dialErr)
		refusal.RetryAfter = wait
		return nil, nil, refusal
	}
	c.dialing = make(chan struct{})
	go c.dial()
	return nil, c.dialing, nil
}

func (c *Client) dial() {
	connection, err := dialLink(c.address, c.options, &c.counters)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.dialing)
	c.dialing = nil
	c.dialErr = err
	if err != nil {
		c.failures++
		c.nextDial = time.Now().Add(backoff(c.options, c.failures))
		return
	}
	c.failures = 0
	if c.closed {
		connection.link.close(ErrClosed)
		return
	}
	c.current = connection
}

// backoff returns a random delay after a number of consecutive failed dials.
func backoff(options Options, failures int) time.Duration {
	const maxShift = 16
	limit := options.BackoffBase << min(failures-1, maxShift)
	if limit <= 0 || limit > options.BackoffMax {
		limit = options.BackoffMax
	}
	return rand.N(limit) + 1
}

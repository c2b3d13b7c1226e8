package engineclient

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Limits limits the responses of one engine. Zero fields take their defaults.
type Limits struct {
	// EventBytes limits one server-sent event; default 256 KiB.
	EventBytes int
	// TextBytes limits a completion's text; default 16 MiB.
	TextBytes int
	// AnswerBytes limits every other response; default 8 MiB.
	AnswerBytes int64
	// StallTimeout limits the wait for each event; default 2m.
	StallTimeout time.Duration
	// CancelTimeout limits a call that cancels a request; default 2s.
	CancelTimeout time.Duration
	// MaxCancels limits concurrent cancel calls; requests beyond it are cancelled only
	// by closing their connection. Default 64.
	MaxCancels int
}

// Defaults of Limits.
const (
	defaultEventBytes    = 256 << 10
	defaultTextBytes     = 16 << 20
	defaultAnswerBytes   = 8 << 20
	defaultStallTimeout  = 2 * time.Minute
	defaultCancelTimeout = 2 * time.Second
	defaultMaxCancels    = 64
)

const (
	cancelAnswerBytes = 4 << 10
	// drainBytes and drainTimeout limit what is read after the end marker.
	drainBytes        = 4 << 10
	drainTimeout      = 50 * time.Millisecond
	contentTypeEvents = "text/event-stream"
	contentTypeJSON   = "application/json"
)

// errStalled ends a completion without events for Limits.StallTimeout.
var errStalled = errors.New("engine was silent for too long")

func (l Limits) withDefaults() Limits {
	l.EventBytes = cmp.Or(l.EventBytes, defaultEventBytes)
	l.TextBytes = cmp.Or(l.TextBytes, defaultTextBytes)
	l.AnswerBytes = cmp.Or(l.AnswerBytes, defaultAnswerBytes)
	l.StallTimeout = cmp.Or(l.StallTimeout, defaultStallTimeout)
	l.CancelTimeout = cmp.Or(l.CancelTimeout, defaultCancelTimeout)
	l.MaxCancels = cmp.Or(l.MaxCancels, defaultMaxCancels)
	return l
}

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	// streams carries completions and control everything else, so that orders and
	// cancellations don't wait for a connection behind completions.
	streams *httpcall.Client
	control *httpcall.Client
	base    string
	limits  Limits
	cancels chan struct{}
	pending sync.WaitGroup
}

var _ port.Engine = (*Client)(nil)

// New returns a client of the engine at address (IP:port). The HTTP clients may be shared
// between engines; Close does not close them.
func New(streams, control *httpcall.Client, address string, limits Limits) *Client {
	limits = limits.withDefaults()
	return &Client{
		streams: streams,
		control: control,
		base:    "http://" + address,
		limits:  limits,
		cancels: make(chan struct{}, limits.MaxCancels),
	}
}

// Close waits for pending cancellations.
func (c *Client) Close() { c.pending.Wait() }

// Generate streams a completion; see port.Engine. The chunk with Finish set is delivered
// only once the stream is complete. Errors from receive are returned unchanged.
func (c *Client) Generate(ctx context.Context, request port.GenerateRequest, receive func(port.GenerateChunk) error) error {
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	stallTimer := time.AfterFunc(c.limits.StallTimeout, func() { abort(errStalled) })
	defer stallTimer.Stop()

	response, err := c.startCompletion(ctx, request)
	if err != nil {
		if port.AsError(err).Verdict != port.NotRun {
			c.cancelAsync(request.ID)
		}
		return err
	}
	defer func() { _ = response.Body.Close() }()
	stream := &stream{request: request, receive: receive, limits: c.limits}
	err = stream.run(response.Body, func() { stallTimer.Reset(c.limits.StallTimeout) })
	if err == nil {
		stallTimer.Reset(drainTimeout)
		drain(response.Body)
		return nil
	}
	c.cancelAsync(request.ID)
	return streamFailure(ctx, stream, err)
}

// startCompletion sends the request and checks the response header.
func (c *Client) startCompletion(ctx context.Context, request port.GenerateRequest) (*http.Response, error) {
	body, err := encodeCompletion(request)
	if err != nil {
		return nil, err
	}
	header := http.Header{"Accept": {contentTypeEvents}, "Content-Type": {contentTypeJSON}}
	outgoing, err := httpcall.NewRequest(ctx, http.MethodPost, c.base+api.PathCompletions, string(request.ID), header, body)
	if err != nil {
		return nil, err
	}
	response, err := c.streams.Send(outgoing)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, httpcall.ParseError(response)
	}
	if err := httpcall.CheckContentType(response, contentTypeEvents); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// drain reads a stream past its end marker, so that the connection can be reused.
func drain(body io.Reader) { _, _ = io.Copy(io.Discard, io.LimitReader(body, drainBytes)) }

// streamFailure adds a verdict to an error of a started stream: the request may have run.
func streamFailure(ctx context.Context, stream *stream, err error) error {
	if stream.receiveErr != nil {
		return stream.receiveErr
	}
	var callErr *port.Error
	if errors.As(err, &callErr) {
		return err
	}
	return httpcall.Failure(ctx, port.MayHaveRun, err, "read completion")
}

// cancelAsync cancels a request at the engine in the background, so that the caller
// doesn't wait for it.
func (c *Client) cancelAsync(id port.RequestID) {
	select {
	case c.cancels <- struct{}{}:
	default:
		return
	}
	c.pending.Go(func() {
		defer func() { <-c.cancels }()
		ctx, cancel := context.WithTimeout(context.Background(), c.limits.CancelTimeout)
		defer cancel()
		c.cancel(ctx, id)
	})
}

// cancel cancels a request at the engine. It ignores failures: closing the connection
// also ends the request.
func (c *Client) cancel(ctx context.Context, id port.RequestID) {
	path := strings.Replace(api.PathEngineRequest, "{id}", url.PathEscape(string(id)), 1)
	request, err := httpcall.NewRequest(ctx, http.MethodDelete, c.base+path, string(id), nil, nil)
	if err != nil {
		return
	}
	response, err := c.control.Send(request)
	if err != nil {
		return
	}
	_, _ = httpcall.ReadBody(response, cancelAnswerBytes)
}

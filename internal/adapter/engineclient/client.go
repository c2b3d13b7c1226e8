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

// Limits bound one engine's answers. The zero value of a field means its
// default.
type Limits struct {
	// EventBytes bounds one server-sent event; default 256 KiB.
	EventBytes int
	// TextBytes bounds a completion's text; default 16 MiB.
	TextBytes int
	// AnswerBytes bounds every other answer; default 8 MiB.
	AnswerBytes int64
	// Silence bounds the wait for the first and for each further event;
	// default 2m.
	Silence time.Duration
	// CancelTimeout bounds telling the engine of a cancelled request; default 2s.
	CancelTimeout time.Duration
	// Cancels bounds such calls at a time; further ones are left to the closed
	// connection. Default 64.
	Cancels int
}

// The defaults of Limits.
const (
	defaultEventBytes    = 256 << 10
	defaultTextBytes     = 16 << 20
	defaultAnswerBytes   = 8 << 20
	defaultSilence       = 2 * time.Minute
	defaultCancelTimeout = 2 * time.Second
	defaultCancels       = 64
)

const (
	cancelAnswerBytes = 4 << 10
	// drainBytes and drainTimeout bound what is read after the end marker.
	drainBytes        = 4 << 10
	drainTimeout      = 50 * time.Millisecond
	contentTypeEvents = "text/event-stream"
	contentTypeJSON   = "application/json"
)

// errSilence ends a completion whose engine sent nothing for Limits.Silence.
var errSilence = errors.New("engine was silent for too long")

func (l Limits) withDefaults() Limits {
	l.EventBytes = cmp.Or(l.EventBytes, defaultEventBytes)
	l.TextBytes = cmp.Or(l.TextBytes, defaultTextBytes)
	l.AnswerBytes = cmp.Or(l.AnswerBytes, defaultAnswerBytes)
	l.Silence = cmp.Or(l.Silence, defaultSilence)
	l.CancelTimeout = cmp.Or(l.CancelTimeout, defaultCancelTimeout)
	l.Cancels = cmp.Or(l.Cancels, defaultCancels)
	return l
}

// Client talks to one engine. It is safe for concurrent use.
type Client struct {
	// streams carries completions, control everything else, so that orders and
	// cancellations never wait behind completions for a connection.
	streams *httpcall.Client
	control *httpcall.Client
	base    string
	limits  Limits
	cancels chan struct{}
	pending sync.WaitGroup
}

var _ port.Engine = (*Client)(nil)

// New makes the client of the engine at address (IP:port). The HTTP clients
// may be shared between engines; they are not closed by Close.
func New(streams, control *httpcall.Client, address string, limits Limits) *Client {
	limits = limits.withDefaults()
	return &Client{
		streams: streams,
		control: control,
		base:    "http://" + address,
		limits:  limits,
		cancels: make(chan struct{}, limits.Cancels),
	}
}

// Close waits for cancellations that are under way.
func (c *Client) Close() { c.pending.Wait() }

// Generate streams a completion; see port.Engine. The chunk with Finish set
// comes only once the whole stream has come. Errors from receive are returned
// as they are.
func (c *Client) Generate(ctx context.Context, request port.GenerateRequest, receive func(port.GenerateChunk) error) error {
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	silence := time.AfterFunc(c.limits.Silence, func() { abort(errSilence) })
	defer silence.Stop()

	response, err := c.start(ctx, request)
	if err != nil {
		if port.AsError(err).Verdict != port.NotRun {
			c.cancelLater(request.ID)
		}
		return err
	}
	defer func() { _ = response.Body.Close() }()
	stream := &stream{request: request, receive: receive, limits: c.limits}
	err = stream.run(response.Body, func() { silence.Reset(c.limits.Silence) })
	if err == nil {
		silence.Reset(drainTimeout)
		drain(response.Body)
		return nil
	}
	c.cancelLater(request.ID)
	return streamFailure(ctx, stream, err)
}

// start sends the request and checks the answer's head.
func (c *Client) start(ctx context.Context, request port.GenerateRequest) (*http.Response, error) {
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
		return nil, httpcall.ErrorOf(response)
	}
	if err := httpcall.CheckContentType(response, contentTypeEvents); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// drain reads the end of a stream whose end marker has come, so that the
// connection can be used again.
func drain(body io.Reader) { _, _ = io.Copy(io.Discard, io.LimitReader(body, drainBytes)) }

// streamFailure gives err a verdict. Whatever broke a stream that had begun,
// the request may have run.
func streamFailure(ctx context.Context, stream *stream, err error) error {
	if stream.refused != nil {
		return stream.refused
	}
	var known *port.Error
	if errors.As(err, &known) {
		return err
	}
	return httpcall.Failure(ctx, port.MayHaveRun, err, "read completion")
}

// cancelLater tells the engine in the background to give a request up, so
// that the caller gets its final answer at once.
func (c *Client) cancelLater(id port.RequestID) {
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

// cancel ignores the outcome: a request that the engine no longer knows has
// ended, and the closed connection ends it too.
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
	_, _ = httpcall.ReadWhole(response, cancelAnswerBytes)
}

package wire

import (
	"context"
	"errors"
	"sync"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Call is a request on the server side.
type Call struct {
	// Method is the name the caller used.
	Method string
	// Peer is the client's name from the handshake.
	Peer string

	body       []byte
	connection *serverLink
	id         uint64
	context    context.Context
	cancel     context.CancelFunc
	sent       uint32

	mutex   sync.Mutex
	credit  int
	granted chan struct{}
}

// Decode decodes the request. Its error has the verdict NotRun, so a handler without
// side effects so far can return it unchanged.
func (c *Call) Decode(request any) error {
	if err := Unmarshal(c.body, request); err != nil {
		return port.NewError(port.NotRun, port.CodeInvalid, "undecodable request of %s: %s", c.Method, err.Error())
	}
	return nil
}

// Send sends one answer. It blocks while the caller's window is full; other calls of
// the connection continue.
func (c *Call) Send(message any) error {
	body, err := Marshal(message)
	if err != nil {
		return port.NewError(port.MayHaveRun, port.CodeInternal, "unencodable answer of %s: %s", c.Method, err.Error())
	}
	if err := c.acquireCredit(len(body)); err != nil {
		return err
	}
	frame := &Frame{Kind: KindData, Stream: c.id, Sequence: c.sent, Body: body}
	if _, err := c.connection.link.enqueue(c.context, frame); err != nil {
		return answerError(err)
	}
	c.sent++
	return nil
}

func answerError(err error) error {
	if errors.Is(err, ErrFrameTooLarge) {
		return port.NewError(port.Ran, port.CodeTooLarge, "%s", err.Error())
	}
	return err
}

// acquireCredit blocks until the window has credit and subtracts the bytes; the last frame
// may exceed the window.
func (c *Call) acquireCredit(bytes int) error {
	for {
		c.mutex.Lock()
		if c.credit > 0 {
			c.credit -= bytes
			c.mutex.Unlock()
			return nil
		}
		c.mutex.Unlock()
		select {
		case <-c.granted:
		case <-c.context.Done():
			return c.context.Err()
		}
	}
}

func (c *Call) grant(bytes int) {
	c.mutex.Lock()
	c.credit += bytes
	c.mutex.Unlock()
	select {
	case c.granted <- struct{}{}:
	default:
	}
}

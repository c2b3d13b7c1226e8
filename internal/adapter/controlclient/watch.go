package controlclient

import (
	"context"
	"errors"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/port"
)

// errMisfit reports a delta that starts at another position than the
// observer's; the watch asks again from its own.
var errMisfit = errors.New("update does not follow the observer's position")

// observer is the state of one watch: a position that never goes back.
type observer struct {
	client   *Client
	position uint64
	term     uint64
	receive  func(port.ViewUpdate)
}

// Watch hands over updates after a position until ctx ends, whose error it
// returns. An update that would go back in (position, term), or that does not
// follow the observer's position, is dropped and counted. Updates without news
// come too: they carry Confirmed.
func (c *Client) Watch(ctx context.Context, after uint64, receive func(port.ViewUpdate)) error {
	watch := &observer{client: c, position: after, receive: receive}
	failures := 0
	for ctx.Err() == nil {
		member, number := c.member()
		started := watch.position
		err := watch.follow(ctx, member)
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, errMisfit) && watch.position != started {
			continue
		}
		c.moveOn(number)
		if watch.position != started {
			failures = 0
		}
		c.pause(ctx, failures)
		failures++
	}
	return ctx.Err()
}

// follow reads one member's updates until they fail, fall silent, or stay
// without confirmation for too long.
func (o *observer) follow(ctx context.Context, member *wire.Client) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(o.client.config.WatchTimeout, func() { cancel(context.DeadlineExceeded) })
	defer silence.Stop()
	stream, err := member.Stream(ctx, MethodWatch, WatchRequest{After: o.position, Node: o.client.config.Node})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		var update port.ViewUpdate
		if err := stream.Recv(&update); err != nil {
			return err
		}
		if err := o.take(update); err != nil {
			return err
		}
		if update.Confirmed {
			silence.Reset(o.client.config.WatchTimeout)
		}
	}
}

// take hands an update over if it moves forward or confirms the position.
func (o *observer) take(update port.ViewUpdate) error {
	switch {
	case update.Position < o.position || update.Term < o.term:
		o.client.ignore()
		return nil
	case update.Full == nil && update.After != o.position:
		o.client.ignore()
		return errMisfit
	}
	o.position, o.term = update.Position, update.Term
	o.receive(update)
	return nil
}

func (c *Client) ignore() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ignored++
}

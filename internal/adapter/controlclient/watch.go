package controlclient

import (
	"context"
	"errors"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/port"
)

// errPositionMismatch means that a delta does not start at the observer's position; the
// watch restarts from the observer's.
var errPositionMismatch = errors.New("update does not follow the observer's position")

// observer is the state of one watch; its position never decreases.
type observer struct {
	client   *Client
	position uint64
	term     uint64
	receive  func(port.ViewUpdate)
}

// Watch passes the updates after a position to receive until ctx ends, and returns ctx's
// error. It drops and counts updates with a lower position or term and those that do not
// follow the observer's position. Updates without changes carry Confirmed.
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
		if errors.Is(err, errPositionMismatch) && watch.position != started {
			continue
		}
		c.failOver(number)
		if watch.position != started {
			failures = 0
		}
		c.pause(ctx, failures)
		failures++
	}
	return ctx.Err()
}

// follow reads one member's updates until the stream fails or sends no confirmed update
// for WatchTimeout.
func (o *observer) follow(ctx context.Context, member *wire.Client) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	unconfirmedTimer := time.AfterFunc(o.client.config.WatchTimeout, func() { cancel(context.DeadlineExceeded) })
	defer unconfirmedTimer.Stop()
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
		if err := o.apply(update); err != nil {
			return err
		}
		if update.Confirmed {
			unconfirmedTimer.Reset(o.client.config.WatchTimeout)
		}
	}
}

// apply passes an update to receive if it advances or confirms the position.
func (o *observer) apply(update port.ViewUpdate) error {
	switch {
	case update.Position < o.position || update.Term < o.term:
		o.client.countIgnored()
		return nil
	case update.Full == nil && update.After != o.position:
		o.client.countIgnored()
		return errPositionMismatch
	}
	o.position, o.term = update.Position, update.Term
	o.receive(update)
	return nil
}

func (c *Client) countIgnored() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ignored++
}

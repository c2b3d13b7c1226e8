package wire

import (
	"context"
	"testing"
	"time"
)

// countingContext counts the child contexts registered with it.
type countingContext struct {
	context.Context
	done     chan struct{}
	children int
}

func (c *countingContext) Done() <-chan struct{} { return c.done }

// AfterFunc is called by the context package when a child is created.
func (c *countingContext) AfterFunc(func()) func() bool {
	c.children++
	return func() bool {
		c.children--
		return true
	}
}

// A finished call, with or without a deadline, must leave no child at the connection's
// context, which lives until the connection closes.
func TestFinishedCallReleasesContext(t *testing.T) {
	for _, deadline := range []time.Duration{0, time.Hour} {
		connection := &countingContext{Context: context.Background(), done: make(chan struct{})}
		ctx, cancel := callContext(connection, deadline)
		if connection.children != 1 {
			t.Fatalf("deadline %s: %d child contexts, want 1", deadline, connection.children)
		}
		if _, has := ctx.Deadline(); has != (deadline > 0) {
			t.Errorf("deadline %s: deadline set %v", deadline, has)
		}
		cancel()
		if connection.children != 0 || ctx.Err() == nil {
			t.Errorf("deadline %s: %d child contexts left, error %v", deadline, connection.children, ctx.Err())
		}
	}
}

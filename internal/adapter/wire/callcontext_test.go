package wire

import (
	"context"
	"testing"
	"time"
)

// countingContext counts the contexts that hang on it.
type countingContext struct {
	context.Context
	done     chan struct{}
	children int
}

func (c *countingContext) Done() <-chan struct{} { return c.done }

// AfterFunc is what the context package asks for when a child is made.
func (c *countingContext) AfterFunc(func()) func() bool {
	c.children++
	return func() bool {
		c.children--
		return true
	}
}

// TestEndedCallLeavesNothingAtTheConnection ends calls with and without a
// deadline. What a call leaves behind stays until the connection closes.
func TestFinishedCallReleasesContext(t *testing.T) {
	for _, deadline := range []time.Duration{0, time.Hour} {
		connection := &countingContext{Context: context.Background(), done: make(chan struct{})}
		ctx, cancel := callContext(connection, deadline)
		if connection.children != 1 {
			t.Fatalf("deadline %s: %d contexts hang on the connection's", deadline, connection.children)
		}
		if _, has := ctx.Deadline(); has != (deadline > 0) {
			t.Errorf("deadline %s: deadline set %v", deadline, has)
		}
		cancel()
		if connection.children != 0 || ctx.Err() == nil {
			t.Errorf("deadline %s: %d contexts are left, error %v", deadline, connection.children, ctx.Err())
		}
	}
}

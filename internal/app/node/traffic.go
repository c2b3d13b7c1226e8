package node

import (
	"context"
	"sync"
)

// traffic counts requests in flight and refuses new ones once the node drains.
type traffic struct {
	mutex    sync.Mutex
	inflight int
	draining bool
	idle     chan struct{}
}

func newTraffic() *traffic { return &traffic{idle: make(chan struct{})} }

// begin counts a request in; false means that the node drains.
func (t *traffic) begin() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.draining {
		return false
	}
	t.inflight++
	return true
}

// enter counts a request in and gives it a context that also ends with the node.
// The returned function must be called at its end. False means that the node
// drains.
func (n *Node) enter(ctx context.Context) (context.Context, func(), bool) {
	if !n.traffic.begin() {
		return nil, nil, false
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(n.background, cancel)
	return ctx, func() {
		stop()
		cancel()
		n.traffic.end()
	}, true
}

func (t *traffic) end() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.inflight--
	t.wake()
}

// drain refuses new requests from now on.
func (t *traffic) drain() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.draining {
		t.draining = true
		t.wake()
	}
}

func (t *traffic) wake() {
	if !t.draining || t.inflight > 0 {
		return
	}
	select {
	case <-t.idle:
	default:
		close(t.idle)
	}
}

// isDraining says whether new requests are refused.
func (t *traffic) isDraining() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.draining
}

// wait waits until nothing is in flight after drain.
func (t *traffic) wait(ctx context.Context) error {
	select {
	case <-t.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

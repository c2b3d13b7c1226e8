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

// count gives the number of requests in flight.
func (t *traffic) count() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.inflight
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

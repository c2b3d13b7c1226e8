package node

import (
	"context"
	"sync"
)

// traffic counts requests in flight and rejects new ones while the node drains.
type traffic struct {
	mutex    sync.Mutex
	inflight int
	draining bool
	idle     chan struct{}
}

func newTraffic() *traffic { return &traffic{idle: make(chan struct{})} }

// begin counts a new request. It returns false while the node drains.
func (t *traffic) begin() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.draining {
		return false
	}
	t.inflight++
	return true
}

// enter counts a new request and returns a context that also ends with the node. The
// caller must call the returned function at the end of the request. It returns false
// while the node drains.
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
	t.signalIdle()
}

// drain rejects all further requests.
func (t *traffic) drain() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.draining {
		t.draining = true
		t.signalIdle()
	}
}

func (t *traffic) signalIdle() {
	if !t.draining || t.inflight > 0 {
		return
	}
	select {
	case <-t.idle:
	default:
		close(t.idle)
	}
}

// isDraining reports whether new requests are rejected.
func (t *traffic) isDraining() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.draining
}

// wait blocks until no request is in flight after drain.
func (t *traffic) wait(ctx context.Context) error {
	select {
	case <-t.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

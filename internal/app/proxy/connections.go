package proxy

import (
	"slices"
	"time"
)

// connectionRecheck is how often a request that waits for a connection looks for a replica
// again: a replica that was avoided after a failure may be used again later.
const connectionRecheck = 100 * time.Millisecond

// connections counts the connections of this process to each address, in place of the HTTP
// transport: a request that waits in the transport is bound to a replica, and is sent to it even
// if the replica has left meanwhile. Its methods require Proxy.mutex.
type connections struct {
	// limit is the number of connections to one address; 0 means no limit.
	limit int
	// inUse is the number of tries by address.
	inUse map[string]int
	// waiting are the requests that wait, in the order in which they began.
	waiting []*connectionWaiter
	started uint64
}

// connectionWaiter is a request that waits for a connection.
type connectionWaiter struct {
	order   uint64
	since   time.Time
	service string
	// addresses are those of the replicas to which the request may be sent.
	addresses []string
	// ready is closed once one of them may have a free connection, which freed names.
	ready chan struct{}
	freed string
}

func newConnections(limit int) connections {
	return connections{limit: limit, inUse: map[string]int{}}
}

// full reports whether all connections to an address are in use.
func (c *connections) full(address string) bool {
	return c.limit > 0 && c.inUse[address] >= c.limit
}

func (c *connections) acquire(address string) { c.inUse[address]++ }

// release frees a connection and wakes the first request that may use it.
func (c *connections) release(address string) {
	c.inUse[address]--
	if c.inUse[address] <= 0 {
		delete(c.inUse, address)
	}
	c.wake(address)
}

// wake wakes the first request that may use a connection to an address.
func (c *connections) wake(address string) {
	for i, w := range c.waiting {
		if slices.Contains(w.addresses, address) {
			c.waiting = slices.Delete(c.waiting, i, i+1)
			w.freed = address
			close(w.ready)
			return
		}
	}
}

// wakeAll wakes all requests, since the replicas have changed.
func (c *connections) wakeAll() {
	for _, w := range c.waiting {
		close(w.ready)
	}
	c.waiting = nil
}

// expectedWait returns how long a request will wait for a connection behind those of its
// service that wait already, if tries take as long as latency.
func (c *connections) expectedWait(service string, addresses int, latency time.Duration) time.Duration {
	ahead := 0
	for _, w := range c.waiting {
		if w.service == service {
			ahead++
		}
	}
	return time.Duration(ahead+1) * latency / time.Duration(max(1, c.limit*addresses))
}

// wait adds a request. A request that waited before and found no connection keeps its place.
func (c *connections) wait(service string, addresses []string, before *connectionWaiter) *connectionWaiter {
	w := &connectionWaiter{service: service, addresses: addresses, ready: make(chan struct{})}
	if before != nil {
		w.order, w.since = before.order, before.since
	} else {
		c.started++
		w.order, w.since = c.started, time.Now()
	}
	place, _ := slices.BinarySearchFunc(c.waiting, w.order, func(other *connectionWaiter, order uint64) int {
		return int(other.order) - int(order)
	})
	c.waiting = slices.Insert(c.waiting, place, w)
	return w
}

// remove removes a request and reports whether it waited.
func (c *connections) remove(w *connectionWaiter) bool {
	i := slices.Index(c.waiting, w)
	if i < 0 {
		return false
	}
	c.waiting = slices.Delete(c.waiting, i, i+1)
	return true
}

// pass wakes the next request for the connection for which a request was woken, if any, and that
// it does not use.
func (c *connections) pass(w *connectionWaiter) {
	if w != nil && w.freed != "" {
		c.wake(w.freed)
	}
}

package testkit

import (
	"net"
	"testing"
	"time"
)

// closedRecheck is the time between two looks at the connections that are open.
const closedRecheck = 10 * time.Millisecond

// listen accepts connections on a loopback port until the test ends, and passes each of them to accept.
func listen(t testing.TB, accept func(connection net.Conn)) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			accept(connection)
		}
	}()
	return listener
}

// awaitClosed fails the test unless open returns 0 within the limit.
func awaitClosed(t testing.TB, limit time.Duration, open func() int) {
	t.Helper()
	for deadline := time.Now().Add(limit); ; time.Sleep(closedRecheck) {
		count := open()
		if count == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Errorf("%d connections are open after %v", count, limit)
			return
		}
	}
}

package fleet

import (
	"net"
	"testing"
)

// writeWatcher tells when bytes leave.
type writeWatcher struct {
	net.Conn
	leave func()
}

// Write implements net.Conn.
func (w writeWatcher) Write(data []byte) (int, error) {
	w.leave()
	return len(data), nil
}

// TestBytesAreCountedBeforeTheyLeave: whoever has got them reads a count that
// holds them. (Two runs of one seed differed: an answer was counted with the next
// exchange.)
func TestBytesAreCountedBeforeTheyLeave(t *testing.T) {
	listener := &countedListener{}
	const size = 7
	seen := int64(-1)
	conn := &countedConn{Conn: writeWatcher{leave: func() { seen = listener.out.Load() }}, listener: listener}
	if _, err := conn.Write(make([]byte, size)); err != nil || seen != size {
		t.Errorf("%d of %d bytes counted as they left, %v", seen, size, err)
	}
}

package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is what happens to bytes from one machine to another.
type link struct {
	delay time.Duration
	// cut holds bytes back: nothing arrives and nothing says so.
	cut bool
}

// network is the loopback network between machines: every machine is reached
// through a proxy at its public address, which knows who connects by the source
// address.
type network struct {
	mutex sync.Mutex
	links map[[2]string]link // from, to by IP
	conns map[*proxied]struct{}
	done  chan struct{}
}

// proxied is a proxied connection.
type proxied struct {
	from, to         string
	inbound, onwards net.Conn
}

func newNetwork() *network {
	return &network{links: map[[2]string]link{}, conns: map[*proxied]struct{}{}, done: make(chan struct{})}
}

// open serves a machine's public address; private is where it listens.
func (n *network) open(public, private string) error {
	listener, err := net.Listen("tcp", public)
	if err != nil {
		return err
	}
	go func() { <-n.done; _ = listener.Close() }()
	go func() {
		for {
			inbound, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(inbound, public, private)
		}
	}()
	return nil
}

func (n *network) close() {
	close(n.done)
	n.reset(func(*proxied) bool { return true })
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func (n *network) serve(inbound net.Conn, public, private string) {
	from, to := hostOf(inbound.RemoteAddr().String()), hostOf(public)
	n.await(from, to) // the opening packets of a cut link are held back too
	onwards, err := net.DialTimeout("tcp", private, time.Second)
	if err != nil {
		hardClose(inbound)
		return
	}
	connection := &proxied{from: from, to: to, inbound: inbound, onwards: onwards}
	n.mutex.Lock()
	n.conns[connection] = struct{}{}
	n.mutex.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); n.copy(onwards, inbound, from, to) }()
	go func() { defer both.Done(); n.copy(inbound, onwards, to, from) }()
	both.Wait()
	n.mutex.Lock()
	delete(n.conns, connection)
	n.mutex.Unlock()
}

// await holds on while a link is cut, and for its delay.
func (n *network) await(from, to string) {
	for {
		n.mutex.Lock()
		state := n.links[[2]string{from, to}]
		n.mutex.Unlock()
		if !state.cut {
			time.Sleep(state.delay)
			return
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-n.done:
			return
		}
	}
}

func (n *network) copy(to, from net.Conn, source, target string) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			n.await(source, target)
			if _, failed := to.Write(buffer[:count]); failed != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				hardClose(to)
			}
			return
		}
	}
}

func hardClose(connection net.Conn) {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// set changes a link in one direction.
func (n *network) set(from, to string, state link) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.links[[2]string{from, to}] = state
}

// heal makes all links sound.
func (n *network) heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.links)
}

// reset resets the connections that match.
func (n *network) reset(match func(*proxied) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for connection := range n.conns {
		if match(connection) {
			hardClose(connection.inbound)
			hardClose(connection.onwards)
		}
	}
}

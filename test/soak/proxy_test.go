package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// link is the state of the connections from one machine to another.
type link struct {
	delay time.Duration
	// cut blocks all bytes without an error.
	cut bool
	// loss is the share of lost packets. A lost one holds up its connection until it is
	// repeated, as TCP does.
	loss float64
}

const (
	packetBytes = 1460
	// repeatTime is the time until a lost packet is repeated; it doubles with each further loss.
	repeatTime = 200 * time.Millisecond
)

// holdUp returns how long the lost packets of a number of bytes hold up a connection.
func (l link) holdUp(bytes int) time.Duration {
	var held time.Duration
	for ; bytes > 0; bytes -= packetBytes {
		for repeat := repeatTime; rand.Float64() < l.loss; repeat *= 2 {
			held += repeat
		}
	}
	return held
}

// network is the loopback network between machines. A proxy at the public address of every
// machine identifies the peer by its source address.
type network struct {
	mutex sync.Mutex
	links map[[2]string]link // from, to by IP
	conns map[*proxyConn]struct{}
	done  chan struct{}
}

// proxyConn is one connection through the proxy.
type proxyConn struct {
	from, to          string
	inbound, outbound net.Conn
}

func newNetwork() *network {
	return &network{links: map[[2]string]link{}, conns: map[*proxyConn]struct{}{}, done: make(chan struct{})}
}

// open starts the proxy of a public address; private is the address behind it.
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
	n.reset(func(*proxyConn) bool { return true })
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func (n *network) serve(inbound net.Conn, public, private string) {
	from, to := hostOf(inbound.RemoteAddr().String()), hostOf(public)
	n.waitForLink(from, to, packetBytes) // a cut also blocks new connections
	outbound, err := net.DialTimeout("tcp", private, time.Second)
	if err != nil {
		closeWithReset(inbound)
		return
	}
	connection := &proxyConn{from: from, to: to, inbound: inbound, outbound: outbound}
	n.mutex.Lock()
	n.conns[connection] = struct{}{}
	n.mutex.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); n.copy(outbound, inbound, from, to) }()
	go func() { defer both.Done(); n.copy(inbound, outbound, to, from) }()
	both.Wait()
	n.mutex.Lock()
	delete(n.conns, connection)
	n.mutex.Unlock()
}

// waitForLink blocks while a link is cut, for its delay, and while lost packets of a number of
// bytes are repeated.
func (n *network) waitForLink(from, to string, bytes int) {
	for {
		n.mutex.Lock()
		state := n.links[[2]string{from, to}]
		n.mutex.Unlock()
		if !state.cut {
			time.Sleep(state.delay + state.holdUp(bytes))
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
			n.waitForLink(source, target, count)
			if _, failed := to.Write(buffer[:count]); failed != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				closeWithReset(to)
			}
			return
		}
	}
}

func closeWithReset(connection net.Conn) {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// set sets the state of a link in one direction.
func (n *network) set(from, to string, state link) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.links[[2]string{from, to}] = state
}

// heal removes all link faults.
func (n *network) heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.links)
}

// reset resets the matching connections.
func (n *network) reset(match func(*proxyConn) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for connection := range n.conns {
		if match(connection) {
			closeWithReset(connection.inbound)
			closeWithReset(connection.outbound)
		}
	}
}

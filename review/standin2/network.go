package main

import (
	"net"
	"sync"
	"time"
)

// network is the network between the machines of a site: a proxy stands at the public peer
// address of each machine and knows the caller by its source address. A cut holds all bytes
// back without an error, in both directions, and keeps new connections from coming up.
type network struct {
	mutex     sync.Mutex
	cut       map[[2]string]bool // by IP
	listeners []net.Listener
	done      chan struct{}
}

func newNetwork() *network { return &network{cut: map[[2]string]bool{}, done: make(chan struct{})} }

// open starts the proxy of a public address; private is the address behind it. sourceOf maps the
// source address of a connection to the public address of its machine.
func (n *network) open(public, private string, sourceOf func(ip string) string) error {
	listener, err := net.Listen("tcp", public)
	if err != nil {
		return err
	}
	n.listeners = append(n.listeners, listener)
	go func() {
		for {
			inbound, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(inbound, private, sourceOf(hostOf(inbound.RemoteAddr().String())), hostOf(public))
		}
	}()
	return nil
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func (n *network) serve(inbound net.Conn, private, from, to string) {
	if !n.wait(from, to) {
		_ = inbound.Close()
		return
	}
	outbound, err := net.DialTimeout("tcp", private, time.Second)
	if err != nil {
		if tcp, isTCP := inbound.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0) // a dead port resets
		}
		_ = inbound.Close()
		return
	}
	go n.copy(outbound, inbound, from, to)
	n.copy(inbound, outbound, to, from)
}

// wait blocks while two machines are cut off from each other. It returns false once the network
// is closed.
func (n *network) wait(from, to string) bool {
	for {
		n.mutex.Lock()
		cut := n.cut[[2]string{from, to}]
		n.mutex.Unlock()
		if !cut {
			return true
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-n.done:
			return false
		}
	}
}

func (n *network) copy(to, from net.Conn, source, target string) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if !n.wait(source, target) {
				return
			}
			if _, failed := to.Write(buffer[:count]); failed != nil {
				return
			}
		}
		if err != nil {
			n.wait(source, target)
			return
		}
	}
}

// split cuts the machines of one half off from those of the other.
func (n *network) split(one, other []*machine) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, a := range one {
		for _, b := range other {
			n.cut[[2]string{a.public, b.public}], n.cut[[2]string{b.public, a.public}] = true, true
		}
	}
}

// heal ends all cuts.
func (n *network) heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.cut)
}

func (n *network) close() {
	close(n.done)
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
}

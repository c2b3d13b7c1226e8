// Package tcpsocket sets the options of TCP sockets that the net package has no
// call for.
package tcpsocket

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux (tcp(7)), which package syscall
// does not name.
const tcpUserTimeout = 0x12

// UserTimeout gives a Control function for net.Dialer and net.ListenConfig. It
// makes a connection fail once sent bytes are not acknowledged for the timeout:
// a peer that is cut off shows no sooner otherwise. A socket that takes no such
// option goes on without.
func UserTimeout(timeout time.Duration) func(network, address string, socket syscall.RawConn) error {
	return func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
	}
}

// Listen listens on a TCP address with the option set.
func Listen(ctx context.Context, address string, timeout time.Duration) (net.Listener, error) {
	config := net.ListenConfig{Control: UserTimeout(timeout)}
	return config.Listen(ctx, "tcp", address)
}

// Dial gives a dial function for connections between own processes, from the IP
// number source if it is not empty.
func Dial(silence time.Duration, source string) func(address string, timeout time.Duration) (net.Conn, error) {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		dialer := net.Dialer{Timeout: timeout, Control: UserTimeout(silence)}
		if ip := net.ParseIP(source); ip != nil {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
		return dialer.Dial("tcp", address)
	}
}

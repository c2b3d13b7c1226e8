// Package tcpsocket sets TCP socket options that the net package does not
// support.
package tcpsocket

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT (tcp(7)), which package syscall does
// not define.
const tcpUserTimeout = 0x12

// UserTimeout returns a Control function for net.Dialer and net.ListenConfig. It
// makes a connection fail once sent bytes are unacknowledged for the timeout, which
// detects an unreachable peer early. A socket without such an option is used as it is.
func UserTimeout(timeout time.Duration) func(network, address string, socket syscall.RawConn) error {
	return func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
	}
}

// Listen listens on a TCP address with the user timeout set.
func Listen(ctx context.Context, address string, timeout time.Duration) (net.Listener, error) {
	config := net.ListenConfig{Control: UserTimeout(timeout)}
	return config.Listen(ctx, "tcp", address)
}

// Dial returns a dial function for connections between the service's processes, from
// the source IP address unless that is empty.
func Dial(userTimeout time.Duration, source string) func(address string, timeout time.Duration) (net.Conn, error) {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		dialer := net.Dialer{Timeout: timeout, Control: UserTimeout(userTimeout)}
		if ip := net.ParseIP(source); ip != nil {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
		return dialer.Dial("tcp", address)
	}
}

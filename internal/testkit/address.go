package testkit

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"syscall"
	"testing"
)

// FreeAddress returns a TCP address that a test can listen on repeatedly. It picks a random
// loopback host, since outgoing connections of other tests may use ports of 127.0.0.1.
func FreeAddress(t testing.TB) string {
	t.Helper()
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// RefusingAddress returns a TCP address that refuses connections until the test ends: its
// socket is bound, so that no other process can take the port, and does not listen.
func RefusingAddress(t testing.TB) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	loopback := [4]byte{127, 0, 0, 1}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: loopback}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	bound, isIPv4 := name.(*syscall.SockaddrInet4)
	if !isIPv4 {
		t.Fatalf("socket bound to %T", name)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(loopback), uint16(bound.Port)).String()
}

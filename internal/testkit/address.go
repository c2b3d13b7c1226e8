package testkit

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

// FreeAddress gives a TCP address that a test may listen at, again and again. It is
// of a loopback address of its own: a port of the common one may be taken meanwhile
// by an outgoing connection of another test.
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

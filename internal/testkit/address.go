package testkit

import (
	"fmt"
	"math/rand/v2"
	"net"
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

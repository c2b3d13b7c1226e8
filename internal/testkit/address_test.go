package testkit

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// TestRefusingAddressStaysTaken guards against a closed port that another process listens
// on while a test relies on its refusals.
func TestRefusingAddressStaysTaken(t *testing.T) {
	address := RefusingAddress(t)
	if listener, err := net.Listen("tcp", address); err == nil {
		_ = listener.Close()
		t.Errorf("another listener took %s", address)
	}
	if connection, err := net.Dial("tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial: %v, want a refusal", err)
		if err == nil {
			_ = connection.Close()
		}
	}
}

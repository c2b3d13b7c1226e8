package wire_test

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
)

func TestPoolKeepsOneClientForEachAddress(t *testing.T) {
	pool := wire.NewPool(wire.Options{})
	first, second := pool.Client("127.0.0.1:1"), pool.Client("127.0.0.1:2")
	if pool.Client("127.0.0.1:1") != first || first == second {
		t.Error("not one client for each address")
	}
	pool.RemoveUnused(func(address string) bool { return address == "127.0.0.1:2" })
	if pool.Client("127.0.0.1:2") != second || pool.Client("127.0.0.1:1") == first {
		t.Error("removed the wrong client")
	}
	pool.Close()
	if pool.Client("127.0.0.1:2") == second {
		t.Error("closed client returned")
	}
}

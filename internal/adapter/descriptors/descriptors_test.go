package descriptors_test

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/descriptors"
)

func TestSharesLeaveDescriptorsForFiles(t *testing.T) {
	for _, row := range []struct{ all, clients, peers int }{{4100, 1950, 975}, {1024, 412, 206}, {256, 96, 48}, {128, 48, 24}} {
		clients, peers := descriptors.ForClients(row.all), descriptors.ForPeers(row.all)
		if clients != row.clients || peers != row.peers {
			t.Errorf("%d descriptors: %d for clients and %d for peers, want %d and %d", row.all, clients, peers, row.clients, row.peers)
		}
	}
	if limit := descriptors.Limit(); limit < 1 {
		t.Errorf("the process may open %d descriptors", limit)
	}
}

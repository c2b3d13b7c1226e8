package main

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/sitesettings"
)

func TestSiteLimitsDivideMachine(t *testing.T) {
	for name, row := range map[string]struct {
		file          sitesettings.File
		clientMemory  int64
		clients, peer int
	}{
		"machine of a front":  {sitesettings.File{MemoryMegabytes: 284, MaxDescriptors: 4100}, 71 * megabyte, 1817, 975},
		"few descriptors":     {sitesettings.File{MemoryMegabytes: 284, MaxDescriptors: 400}, 71 * megabyte, 150, 75},
		"no memory limit":     {sitesettings.File{MaxDescriptors: 4100}, 0, 1950, 975},
		"little memory":       {sitesettings.File{MemoryMegabytes: 64, MaxDescriptors: 4100}, 16 * megabyte, 409, 975},
		"least of a machine":  {sitesettings.File{MemoryMegabytes: 64, MaxDescriptors: 128}, 16 * megabyte, 48, 24},
		"far more than usual": {sitesettings.File{MemoryMegabytes: 64 << 10, MaxDescriptors: 1 << 20}, 16 << 30, 419430, 262094},
	} {
		limits := newSiteLimits(&row.file)
		if got := limits.clients.Limit(); got != row.clientMemory {
			t.Errorf("%s: %d bytes for clients, want %d", name, got, row.clientMemory)
		}
		if limits.clientConnections != row.clients || limits.peerConnections != row.peer {
			t.Errorf("%s: %d connections of clients, %d of peers, want %d and %d", name, limits.clientConnections, limits.peerConnections, row.clients, row.peer)
		}
	}
}

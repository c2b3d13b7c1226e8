package main

import (
	"cmp"

	"github.com/loomgrade/loomgrade/internal/adapter/descriptors"
	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/adapter/sitesettings"
)

const (
	// clientMemoryShare is the share of a machine's memory for headers, bodies, what is decoded from
	// them and responses. Uncollected garbage may use the same amount again, and the process itself needs
	// 30 MB.
	clientMemoryShare = 0.25
	// peerMemoryShare is the share for messages of other processes that are received or handled.
	peerMemoryShare = 0.15
	// connectionMemoryShare is the share for open connections of clients, each of which takes
	// connectionBytes: buffers, a stack and the socket.
	connectionMemoryShare = 0.15
	connectionBytes       = 24 << 10
	// probeConnections limits the connections of a listener for readiness or metrics.
	probeConnections = 64
)

// siteLimits is what the clients of a site's process may use.
type siteLimits struct {
	// clients and peers limit the memory for clients and for messages of other processes; nil means no
	// limit.
	clients, peers *membudget.Budget
	// clientConnections and peerConnections limit the connections of the main listener and of that for
	// other processes.
	clientConnections, peerConnections int
}

// newSiteLimits divides the memory and the descriptors of a machine.
func newSiteLimits(file *sitesettings.File) siteLimits {
	memory := file.MemoryMegabytes * megabyte
	all := cmp.Or(file.MaxDescriptors, descriptors.Limit())
	limits := siteLimits{
		clients: membudget.NewBudget(int64(clientMemoryShare * memory)), peers: membudget.NewBudget(int64(peerMemoryShare * memory)),
		clientConnections: descriptors.ForClients(all), peerConnections: descriptors.ForPeers(all),
	}
	if memory > 0 {
		limits.clientConnections = min(limits.clientConnections, int(connectionMemoryShare*memory/connectionBytes))
	}
	return limits
}

// clientLimits returns the limits of the main listener of a process.
func (l siteLimits) clientLimits() httpserve.Limits {
	return httpserve.Limits{Connections: l.clientConnections}
}

// probeLimits returns the limits of a listener for readiness or metrics.
func probeLimits() httpserve.Limits {
	return httpserve.Limits{Connections: probeConnections, IdleTimeout: httpserve.DefaultHeaderTimeout}
}

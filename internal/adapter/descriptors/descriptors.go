// Package descriptors divides the file descriptors of a process among its sockets and files.
package descriptors

import "syscall"

const (
	// fileDescriptors are kept for files and the runtime, at most 1/maxFileParts of all.
	fileDescriptors = 200
	maxFileParts    = 4
	// clientParts and peerParts divide the others: one part for the connections of clients, and one for
	// those of other processes of the service. The rest is for connections that the process opens.
	clientParts = 2
	peerParts   = 4
	// fallback is used if the limit of the process cannot be read, most if there is none.
	fallback = 1024
	most     = 1 << 20
)

// Limit returns how many descriptors the process may open.
func Limit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallback
	}
	return int(min(limit.Cur, most))
}

// ForClients returns how many of all descriptors may be connections of clients.
func ForClients(all int) int { return forSockets(all) / clientParts }

// ForPeers returns how many of all descriptors may be connections of other processes of the service.
func ForPeers(all int) int { return forSockets(all) / peerParts }

func forSockets(all int) int { return all - min(fileDescriptors, all/maxFileParts) }

package home

import (
	"net/netip"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// pollerTimeout is the age at which the list of a poller is dropped if there are lists of
// other pollers.
const pollerTimeout = 10 * time.Second

// LeavingMachines holds the leaving machines reported by each poller of the machine
// list. It uses the union of the lists, so that a stale list of one poller doesn't make
// a leaving machine available again. It is not safe for concurrent use.
type LeavingMachines struct {
	byPoller   map[port.NodeID]pollerList
	lastUpdate time.Time
}

// pollerList is the last list received from a poller.
type pollerList struct {
	receivedAt time.Time
	machines   []port.Machine
}

// NewLeavingMachines returns an empty LeavingMachines.
func NewLeavingMachines() *LeavingMachines {
	return &LeavingMachines{byPoller: make(map[port.NodeID]pollerList)}
}

// Update replaces a poller's list and reports whether it changed.
func (l *LeavingMachines) Update(now time.Time, poller port.NodeID, machines []port.Machine) bool {
	previous := l.byPoller[poller]
	l.byPoller[poller] = pollerList{receivedAt: now, machines: machines}
	l.lastUpdate = now
	return !slices.Equal(previous.machines, machines)
}

// LastUpdate returns when the last list was received; zero means never.
func (l *LeavingMachines) LastUpdate() time.Time { return l.lastUpdate }

// DropStale drops the lists of pollers that timed out and reports whether there were any.
func (l *LeavingMachines) DropStale(now time.Time) bool {
	dropped := false
	for node, list := range l.byPoller {
		if now.Sub(list.receivedAt) > pollerTimeout && len(l.byPoller) > 1 {
			delete(l.byPoller, node)
			dropped = true
		}
	}
	return dropped
}

// Has reports whether some list contains the machine of an address. Lists may contain
// machines with or without a port.
func (l *LeavingMachines) Has(address string) bool {
	host := address
	if parsed, err := netip.ParseAddrPort(address); err == nil {
		host = parsed.Addr().String()
	}
	for _, list := range l.byPoller {
		for _, machine := range list.machines {
			if machine.Address == address || machine.Address == host {
				return true
			}
		}
	}
	return false
}

// FilterLeaving returns the leaving machines of a machine list.
func FilterLeaving(machines []port.Machine) []port.Machine {
	var leaving []port.Machine
	for _, machine := range machines {
		if machine.State == port.MachineLeaving {
			leaving = append(leaving, machine)
		}
	}
	return leaving
}

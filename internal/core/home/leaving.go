package home

import (
	"net/netip"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// pollerSilence is the time after which the word of a node that polls the
// machine list no longer counts, if there is another.
const pollerSilence = 10 * time.Second

// Leaving gathers which machines leave, by the word of every node that polls the
// machine list. The union holds, so that a poller with an old list doesn't bring
// a leaving machine back. It is not safe for concurrent use.
type Leaving struct {
	told   map[port.NodeID]leavingList
	newest time.Time
}

// leavingList is what one poller last told.
type leavingList struct {
	at       time.Time
	machines []port.Machine
}

// NewLeaving makes one that was told nothing.
func NewLeaving() *Leaving { return &Leaving{told: make(map[port.NodeID]leavingList)} }

// Told takes what a poller says; true means that it is news.
func (l *Leaving) Told(now time.Time, poller port.NodeID, machines []port.Machine) bool {
	known := l.told[poller]
	l.told[poller] = leavingList{at: now, machines: machines}
	l.newest = now
	return !slices.Equal(known.machines, machines)
}

// Newest gives when some poller was last heard; the zero time means never.
func (l *Leaving) Newest() time.Time { return l.newest }

// DropSilent forgets pollers that have been silent; true means that some were.
func (l *Leaving) DropSilent(now time.Time) bool {
	dropped := false
	for node, list := range l.told {
		if now.Sub(list.at) > pollerSilence && len(l.told) > 1 {
			delete(l.told, node)
			dropped = true
		}
	}
	return dropped
}

// Has says whether some poller told that the machine of an address leaves. The
// list may name the machine with or without a port.
func (l *Leaving) Has(address string) bool {
	host := address
	if parsed, err := netip.ParseAddrPort(address); err == nil {
		host = parsed.Addr().String()
	}
	for _, list := range l.told {
		for _, machine := range list.machines {
			if machine.Address == address || machine.Address == host {
				return true
			}
		}
	}
	return false
}

// LeavingOf gives the leaving machines of a list.
func LeavingOf(machines []port.Machine) []port.Machine {
	var leaving []port.Machine
	for _, machine := range machines {
		if machine.State == port.MachineLeaving {
			leaving = append(leaving, machine)
		}
	}
	return leaving
}

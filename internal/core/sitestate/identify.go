package sitestate

import "strconv"

// StartOrder compares a reporting replica's start with the newest known one under its name.
type StartOrder uint8

const (
	// StartCurrent is the newest known start under its name, or the first one.
	StartCurrent StartOrder = iota
	// StartNewer is later than the known start, which has therefore ended.
	StartNewer
	// StartOutdated is earlier than the known start: its message arrived late.
	StartOutdated
)

// Identity identifies the sender of a message under a replica's name.
type Identity struct {
	// ID is the replica's id in the state.
	ID    string
	Order StartOrder
	// Replaces is the id of the start that a StartNewer replaces.
	Replaces string
}

// Identify returns the identity of the start of a replica with the name and start time. The
// first known start has the name as its id, as do all that report no start time; each later
// one has an id of its own, so that no process applies state of an earlier start to it.
func (s *State) Identify(name string, startedAt uint64) Identity {
	newest, known := s.index.starts[name]
	switch {
	case !known:
		return Identity{ID: name}
	case startedAt == 0 || newest.startedAt == 0 || startedAt == newest.startedAt:
		return Identity{ID: newest.id}
	case startedAt < newest.startedAt:
		return Identity{Order: StartOutdated}
	default:
		return Identity{ID: startID(name, startedAt), Order: StartNewer, Replaces: newest.id}
	}
}

// startID returns the id of a later start under a name.
func startID(name string, startedAt uint64) string {
	return name + "@" + strconv.FormatUint(startedAt, 10)
}

// ReplicaByStart returns the replica for a start under a name.
func (v *View) ReplicaByStart(name string, startedAt uint64) (Replica, bool) {
	if replica, known := v.Replicas.Get(name); known && replica.StartedAt == startedAt {
		return replica, true
	}
	return v.Replicas.Get(startID(name, startedAt))
}

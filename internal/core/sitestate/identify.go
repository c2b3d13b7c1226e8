package sitestate

import "strconv"

// StartOrder is the order of a reporting replica's start relative to the known ones.
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

// Identify distinguishes the starts of a replica that keeps its name. The first known start
// has the name as its id, as do all that report no start time; each later one has an id of
// its own, so that no process applies state of an earlier start to it.
func (s *State) Identify(name string, born uint64) Identity {
	newest, known := s.index.starts[name]
	switch {
	case !known:
		return Identity{ID: name}
	case born == 0 || newest.born == 0 || born == newest.born:
		return Identity{ID: newest.id}
	case born < newest.born:
		return Identity{Order: StartOutdated}
	default:
		return Identity{ID: startID(name, born), Order: StartNewer, Replaces: newest.id}
	}
}

// startID returns the id of a later start under a name.
func startID(name string, born uint64) string { return name + "@" + strconv.FormatUint(born, 10) }

// StartOf returns the replica for a start under a name.
func (v *View) StartOf(name string, born uint64) (Replica, bool) {
	if held, known := v.Replicas.Get(name); known && held.StartedAt == born {
		return held, true
	}
	return v.Replicas.Get(startID(name, born))
}

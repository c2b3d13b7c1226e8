package sitestate

import "strconv"

// Standing says what is known of the start of a replica that speaks.
type Standing uint8

const (
	// StandingCurrent is the newest start known under its name, or the first one.
	StandingCurrent Standing = iota
	// StandingNext is a later start than the one known: with it the earlier one has ended.
	StandingNext
	// StandingPast is an earlier start than the one known: its words came late.
	StandingPast
)

// Identity is who speaks under a replica's name.
type Identity struct {
	// ID is the replica's id in the state.
	ID       string
	Standing Standing
	// Earlier is the id of the start that a StandingNext ends.
	Earlier string
}

// Identify tells the starts of a replica apart that keeps its name over them. The first
// start known has the name as its id, and so have all that do not say when they started;
// each later one has an id of its own, so that nothing that is known of an earlier start,
// here or at any process, is taken for its own.
func (s *State) Identify(name string, born uint64) Identity {
	newest, known := s.index.starts[name]
	switch {
	case !known:
		return Identity{ID: name}
	case born == 0 || newest.born == 0 || born == newest.born:
		return Identity{ID: newest.id}
	case born < newest.born:
		return Identity{Standing: StandingPast}
	default:
		return Identity{ID: startID(name, born), Standing: StandingNext, Earlier: newest.id}
	}
}

// startID is the id of a later start under a name.
func startID(name string, born uint64) string { return name + "@" + strconv.FormatUint(born, 10) }

// StartOf finds the replica that a start under a name is held as.
func (v *View) StartOf(name string, born uint64) (Replica, bool) {
	if held, known := v.Replicas.Get(name); known && held.Born == born {
		return held, true
	}
	return v.Replicas.Get(startID(name, born))
}

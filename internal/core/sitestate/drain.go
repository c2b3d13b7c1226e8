package sitestate

import (
	"maps"
	"slices"
)

// DrainZone keeps everything away from the replicas of a zone, or lets it come back.
type DrainZone struct {
	Zone string `cbor:"1,keyasint"`
	// Back ends the drain.
	Back bool `cbor:"2,keyasint,omitempty"`
	// ColdMillis is how long a replica that was not used may stay cold, by service; with
	// Back. Replicas of services that are not named are taken to be warm.
	ColdMillis map[string]uint32 `cbor:"3,keyasint,omitempty"`
}

// Drains are the zones whose replicas are sent nothing.
type Drains struct {
	Zones []string `cbor:"1,keyasint"`
}

// drain moves a zone on. What holds already is done.
func (s *State) drain(index uint64, drain DrainZone) Outcome {
	if _, drained := s.contents.Drained[drain.Zone]; drained != drain.Back {
		return OutcomeDone
	}
	if drain.Back {
		delete(s.contents.Drained, drain.Zone)
		s.cool(index, drain)
	} else {
		s.contents.Drained[drain.Zone] = index
	}
	s.contents.DrainedAt = index
	s.changed(index)
	return OutcomeDone
}

// cool takes the replicas of a zone that comes back to be cold: they tell it only with their
// next report.
func (s *State) cool(index uint64, drain DrainZone) {
	for _, replica := range s.Replicas() {
		cold := drain.ColdMillis[replica.Service]
		if replica.Zone != drain.Zone || cold == 0 {
			continue
		}
		replica.ColdMillis, replica.RoutedAt = cold, index
		s.put(index, replica)
	}
}

// Drained lists the zones whose replicas are sent nothing.
func (s *State) Drained() []string { return slices.Sorted(maps.Keys(s.contents.Drained)) }

// Drains reports whether a zone's replicas are sent nothing.
func (v *View) Drains(zone string) bool {
	_, drained := slices.BinarySearch(v.Drained, zone)
	return drained
}

// Takes reports whether a replica may be sent requests.
func (v *View) Takes(replica *Replica) bool {
	return replica.State == ReplicaReady && !v.Drains(replica.Zone)
}

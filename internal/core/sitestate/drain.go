package sitestate

import (
	"maps"
	"slices"
)

// DrainZone stops requests to the replicas of a zone, or resumes them.
type DrainZone struct {
	Zone string `cbor:"1,keyasint"`
	// End ends the drain.
	End bool `cbor:"2,keyasint,omitempty"`
	// ColdMillis is the warm-up time of an idle replica, by service; used with End.
	// Replicas of other services are assumed to be warm.
	ColdMillis map[string]uint32 `cbor:"3,keyasint,omitempty"`
}

// Drains lists the drained zones, whose replicas receive no requests.
type Drains struct {
	Zones []string `cbor:"1,keyasint"`
}

// drain starts or ends the drain of a zone.
func (s *State) drain(index uint64, drain DrainZone) Outcome {
	if _, drained := s.contents.Drained[drain.Zone]; drained != drain.End {
		return OutcomeDone
	}
	if drain.End {
		delete(s.contents.Drained, drain.Zone)
		s.markCold(index, drain)
	} else {
		s.contents.Drained[drain.Zone] = index
	}
	s.contents.DrainedAt = index
	s.advance(index)
	return OutcomeDone
}

// markCold marks the replicas of a zone whose drain ends as cold until their next report.
func (s *State) markCold(index uint64, drain DrainZone) {
	for _, replica := range s.Replicas() {
		cold := drain.ColdMillis[replica.Service]
		if replica.Zone != drain.Zone || cold == 0 {
			continue
		}
		replica.ColdMillis, replica.RoutedAt = cold, index
		s.put(index, replica)
	}
}

// Drained lists the drained zones.
func (s *State) Drained() []string { return slices.Sorted(maps.Keys(s.contents.Drained)) }

// IsDrained reports whether a zone is drained.
func (v *View) IsDrained(zone string) bool {
	_, drained := slices.BinarySearch(v.Drained, zone)
	return drained
}

// Routable reports whether a replica may be sent requests.
func (v *View) Routable(replica *Replica) bool {
	return replica.State == ReplicaReady && !v.IsDrained(replica.Zone)
}

package fleet

import (
	"time"
)

// Times of faults.
const (
	restartTime  = 5 * time.Second
	replaceTime  = time.Minute
	rackNodes    = 8
	recoveryStep = 50 * time.Millisecond
)

// faults brings about what the scenario asks for.
type faults struct {
	fleet    *Fleet
	failures int
	restarts int
	recovery recovery
}

// schedule plans the faults of the run.
func (s *faults) schedule() {
	f := s.fleet
	switch f.options.Scenario {
	case ScenarioFailures:
		s.repeat(f.options.every(failuresADay), func() { s.failures++; s.takeDown(s.anyNode(), replaceTime) })
		s.repeat(f.options.every(restartsADay), func() { s.restarts++; s.takeDown(s.anyNode(), restartTime) })
		f.After(f.options.Length/3, s.loseRack)
	case ScenarioZoneLoss:
		f.After(f.options.Length/4, s.loseZone)
	case ScenarioRegionCut:
		f.After(f.options.Length/4, s.cutRegion)
	case ScenarioWeights:
		f.After(f.options.Length/12, f.weights.publishAll)
	}
}

// repeat brings something about at random times.
func (s *faults) repeat(mean time.Duration, bring func()) {
	if mean == 0 {
		return
	}
	var again func()
	again = func() {
		if s.fleet.settling {
			return
		}
		bring()
		s.fleet.After(s.fleet.exponential(mean), again)
	}
	s.fleet.After(s.fleet.exponential(mean), again)
}

// anyNode picks a node that is up.
func (s *faults) anyNode() *node {
	for {
		if picked := s.fleet.nodes[s.fleet.random.IntN(len(s.fleet.nodes))]; picked.up {
			return picked
		}
	}
}

// takeDown stops a node for some time.
func (s *faults) takeDown(n *node, length time.Duration) {
	if !n.up {
		return
	}
	s.fleet.stopNode(n)
	s.fleet.After(length, n.start)
}

// loseRack takes some nodes of one zone down for a third of the run.
func (s *faults) loseRack() {
	s.recovery.begin(s.fleet)
	lost := 0
	for _, n := range s.fleet.nodes {
		if n.place.zone == 0 && lost < rackNodes {
			s.takeDown(n, s.fleet.options.Length/3)
			lost++
		}
	}
	s.fleet.After(s.fleet.options.Length/3, func() { s.recovery.returned(s.fleet) })
}

// loseZone takes the leader's zone down for half of the run.
func (s *faults) loseZone() {
	f := s.fleet
	zone := f.leaderPlace().zone
	s.recovery.begin(f)
	for _, n := range f.nodes {
		if n.place.zone == zone {
			f.stopNode(n)
		}
	}
	for _, m := range f.members {
		if m.place.zone == zone {
			m.stop()
		}
	}
	f.After(f.options.Length/2, func() { s.returnZone(zone) })
}

func (s *faults) returnZone(zone int) {
	f := s.fleet
	for _, m := range f.members {
		if m.place.zone == zone {
			if err := m.restart(); err != nil {
				f.violate("restart", "member %d: %v", m.id, err)
			}
		}
	}
	for _, n := range f.nodes {
		if n.place.zone == zone {
			f.After(f.between(0, time.Second), n.start)
		}
	}
	s.recovery.returned(f)
}

// cutRegion cuts the leader's region from all others for a third of the run.
func (s *faults) cutRegion() {
	f := s.fleet
	cut := f.leaderPlace().region
	f.network.cut = cut
	s.recovery.begin(f)
	for _, n := range f.nodes {
		if n.place.region == cut {
			n.behindSince = f.Now()
		}
	}
	f.After(f.options.Length/3, func() {
		s.recovery.countStale(f)
		f.network.cut = -1
		for _, n := range f.nodes {
			if n.place.region == cut {
				n.behindSince = f.Now()
			}
		}
		s.recovery.returned(f)
	})
}

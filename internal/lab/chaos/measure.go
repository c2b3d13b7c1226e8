package chaos

import (
	"fmt"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Times of the measurements.
const (
	killAt          = 20 * time.Second
	killLeaders     = 5
	killInterval    = 15 * time.Second
	measureDuration = time.Minute
	warmUp          = 10 * time.Second
)

// Times is a sorted list of measured times.
type Times []time.Duration

// Quantile returns the given quantile of the times, between 0 and 1, or 0 without times.
func (t Times) Quantile(q float64) time.Duration {
	if len(t) == 0 {
		return 0
	}
	return t[min(len(t)-1, int(q*float64(len(t))))]
}

// String returns count, median, 95th percentile and maximum.
func (t Times) String() string {
	const precision = 100 * time.Microsecond
	return fmt.Sprintf("n=%d p50=%v p95=%v max=%v", len(t),
		t.Quantile(0.5).Round(precision), t.Quantile(0.95).Round(precision), t.Quantile(1).Round(precision))
}

// Failover holds how long the members had no leader after the leader's process was
// killed, and how long until the next change was accepted.
type Failover struct {
	Leaderless  Times
	Unavailable Times
}

// MeasureFailover repeatedly kills the leader, without other faults, and measures in virtual
// time. It combines the results of several seeds.
func MeasureFailover(members int, seeds int) Failover {
	var found Failover
	for seed := range uint64(seeds) {
		world := newWorld(Options{Seed: seed + 1, Scenario: Scenario{Name: "failover", FaultDuration: time.Hour, InjectionInterval: time.Hour, Members: members}})
		for number := range killLeaders {
			world.runUntil(killAt + time.Duration(number)*killInterval)
			found.measureOne(world)
		}
	}
	slices.Sort(found.Leaderless)
	slices.Sort(found.Unavailable)
	return found
}

func (f *Failover) measureOne(world *World) {
	leader := world.leader()
	if leader == nil {
		return
	}
	killed, term := world.now, leader.member.Status().Term
	leader.kill()
	until := killed + killInterval
	for world.step(until) {
		if next := world.leader(); next != nil && next.member.Status().Term > term {
			f.Leaderless = append(f.Leaderless, world.now-killed)
			break
		}
	}
	accepted := world.audit.lastAccepted
	for world.step(until) {
		if world.audit.lastAccepted > max(accepted, killed) {
			f.Unavailable = append(f.Unavailable, world.audit.lastAccepted-killed)
			return
		}
	}
}

// Propagation holds the times from a change's commit on the leader until half of the
// observers, or all of them, have it in their view.
type Propagation struct {
	Half Times
	All  Times
}

// MeasurePropagation measures in virtual time, without faults, how changes reach observers,
// and combines the results of several seeds. Links have unlimited bandwidth.
func MeasurePropagation(observers, seeds int) Propagation {
	var found Propagation
	for seed := range uint64(seeds) {
		world := newWorld(Options{Seed: seed + 1, Observers: observers,
			Scenario: Scenario{Name: "in-force", FaultDuration: time.Hour, InjectionInterval: time.Hour, Members: 3}})
		world.runUntil(measureDuration)
		found.collect(world)
	}
	slices.Sort(found.Half)
	slices.Sort(found.All)
	return found
}

func (f *Propagation) collect(world *World) {
	for _, revision := range sortedKeys(world.audit.acceptedAt) {
		at := world.audit.acceptedAt[revision]
		if at < warmUp || at > measureDuration-warmUp {
			continue
		}
		delays := make(Times, 0, len(world.observers))
		for _, observer := range world.observers {
			delays = append(delays, observer.shownAt(revision)-at)
		}
		slices.Sort(delays)
		f.Half = append(f.Half, delays[(len(delays)-1)/2])
		f.All = append(f.All, delays[len(delays)-1])
	}
}

// shownAt returns when the observer first showed a revision or a later one.
func (o *observer) shownAt(revision port.Revision) time.Duration {
	first := o.world.now
	for shown, at := range o.firstShown {
		if shown >= revision {
			first = min(first, at)
		}
	}
	return first
}

package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// stopInjector draws series of planned stops that overlap with each other, with the faults and
// with the changes of the configuration, from a source of its own so that the faults of a seed
// don't depend on it.
type stopInjector struct {
	site   *site
	random *rand.Rand
	log    func(string, ...any)
	// disturbances are the periods during which calls may fail.
	disturbances *disturbances
	// series is held for reading during a series.
	series  sync.RWMutex
	count   int
	stopped atomic.Int64
}

func newStopInjector(s *site, d *disturbances, seed uint64, log func(string, ...any)) *stopInjector {
	return &stopInjector{site: s, disturbances: d, random: rand.New(rand.NewPCG(seed, 3)), log: log}
}

// run draws series for a duration and waits for their end.
func (i *stopInjector) run(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(i.random.IntN(3000)) * time.Millisecond)
		if time.Now().Before(end) {
			i.stopSeries(end)
		}
	}
}

// stopSeries stops the machines of one role one after the other, without waiting for the one
// before, and starts each again once it has ended.
func (i *stopInjector) stopSeries(end time.Time) {
	roles := []string{"front", "front", "control", "store"}
	role := roles[i.random.IntN(len(roles))]
	machines := slices.Clone(i.site.machinesOf(role))
	i.random.Shuffle(len(machines), func(a, b int) { machines[a], machines[b] = machines[b], machines[a] })
	gap := time.Duration(i.random.IntN(2000)) * time.Millisecond
	i.series.RLock()
	defer i.series.RUnlock()
	started := time.Now()
	defer func() { i.disturbances.add(started, time.Now().Add(stabilizeTime)) }()
	i.count++
	i.log("%s series of stops of role %s, gap %v", time.Now().Format("15:04:05.000"), role, gap)
	var stops sync.WaitGroup
	for _, m := range machines {
		if time.Now().After(end) {
			break
		}
		signals := i.drawSignals()
		stops.Go(func() { i.restart(m, signals) })
		time.Sleep(gap)
	}
	stops.Wait()
}

// signalStep is a signal and the pause after it.
type signalStep struct {
	signal syscall.Signal
	pause  time.Duration
}

// drawSignals returns a SIGTERM, with other signals that a platform may send around it.
func (i *stopInjector) drawSignals() []signalStep {
	short := func() time.Duration { return time.Duration(i.random.IntN(400)) * time.Millisecond }
	steps := []signalStep{{syscall.SIGTERM, short()}}
	if i.random.IntN(3) == 0 {
		steps = slices.Insert(steps, 0, signalStep{syscall.SIGHUP, short()})
	}
	if i.random.IntN(3) == 0 {
		steps = append(steps, signalStep{syscall.SIGTERM, short()})
	}
	if i.random.IntN(3) == 0 {
		steps = append(steps, signalStep{syscall.SIGHUP, 0})
	}
	return steps
}

// restart stops a machine's process gracefully and starts it again. It does nothing while a
// fault acts on the process.
func (i *stopInjector) restart(m *machine, steps []signalStep) {
	if !m.fault.TryLock() {
		return
	}
	defer m.fault.Unlock()
	if !m.running() {
		return
	}
	for _, step := range steps {
		m.signal(step.signal)
		time.Sleep(step.pause)
	}
	m.stop()
	i.stopped.Add(1)
	i.site.start(m, false)
}

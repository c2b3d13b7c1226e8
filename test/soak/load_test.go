package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

const (
	// burstRecoveryTime is the time from the end of a burst or of a slow period after which
	// requests must be served again (docs/design/0022-hard-load.md, requirement 4).
	burstRecoveryTime = time.Second
	// undisturbedTime is how long calls are checked after the last burst of a play.
	undisturbedTime = 2 * time.Second
	burstTick       = 10 * time.Millisecond
	minBurstTime    = time.Second
	maxBurstTime    = 3 * time.Second
)

// loadInjector draws bursts of callers' requests and slow application replicas, from a source
// of its own so that the faults of a seed don't depend on it.
type loadInjector struct {
	traffic *traffic
	random  *rand.Rand
	log     func(string, ...any)
	bursts  int
	slow    int
	pending sync.WaitGroup
}

func newLoadInjector(tr *traffic, seed uint64, log func(string, ...any)) *loadInjector {
	return &loadInjector{traffic: tr, random: rand.New(rand.NewPCG(seed, 2)), log: log}
}

// run draws events for a duration and waits for their end.
func (l *loadInjector) run(ctx context.Context, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(500+l.random.IntN(2500)) * time.Millisecond)
		switch l.random.IntN(4) {
		case 0, 1:
			l.burst(ctx)
		case 2:
			l.slowDown(func() { time.Sleep(l.burstTime()) })
		case 3:
			l.slowDown(func() { l.burst(ctx) })
		}
	}
}

// finish sends a last burst, after the faults, and leaves the callers time to be served after
// it: between the drawn events there may be no time without any fault.
func (l *loadInjector) finish(ctx context.Context) {
	l.burst(ctx)
	time.Sleep(burstRecoveryTime + undisturbedTime)
}

func (l *loadInjector) burstTime() time.Duration {
	return minBurstTime + time.Duration(l.random.Int64N(int64(maxBurstTime-minBurstTime)))
}

// burst sends requests at 1.5 to 4 times the rate that the application replicas can run. It
// returns after the last one is sent.
func (l *loadInjector) burst(ctx context.Context) {
	duration, factor := l.burstTime(), 1.5+2.5*l.random.Float64()
	capacity := float64(len(l.traffic.apps)*sitestandin.Slots) / appWorkTime.Seconds()
	l.bursts++
	l.log("%s burst of %.1f times the capacity %v", time.Now().Format("15:04:05.000"), factor, duration)
	name := fmt.Sprint("burst-", l.bursts)
	started, sent := time.Now(), 0
	for elapsed := time.Duration(0); elapsed < duration; elapsed = time.Since(started) {
		for due := int(factor * capacity * elapsed.Seconds()); sent < due; sent++ {
			number := sent
			l.pending.Go(func() { l.traffic.call(ctx, name, number) })
		}
		time.Sleep(burstTick)
	}
	l.traffic.recorder.disturbances.addBurst(started, time.Now().Add(burstRecoveryTime))
}

// slowDown makes some application replicas slow during an event.
func (l *loadInjector) slowDown(event func()) {
	factor, count := 2+l.random.IntN(3), 1+l.random.IntN(len(l.traffic.apps))
	l.slow++
	for _, i := range l.random.Perm(len(l.traffic.apps))[:count] {
		app := l.traffic.apps[i]
		l.log("%s slow %s %d times", time.Now().Format("15:04:05.000"), app.replica.ID, factor)
		app.setSlowness(factor)
		defer app.setSlowness(1)
	}
	started := time.Now()
	event()
	l.traffic.recorder.disturbances.add(started, time.Now().Add(burstRecoveryTime))
}

// disturbances records the periods during which calls may fail.
type disturbances struct {
	mutex      sync.Mutex
	periods    []period
	firstBurst time.Time
}

type period struct{ start, end time.Time }

func (d *disturbances) add(start, end time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.periods = append(d.periods, period{start, end})
}

func (d *disturbances) addBurst(start, end time.Time) {
	d.add(start, end)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.firstBurst.IsZero() {
		d.firstBurst = start
	}
}

// mustServe reports whether a call during a period must be served: there was a burst before,
// and nothing disturbs the call.
func (d *disturbances) mustServe(start, end time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.firstBurst.IsZero() || start.Before(d.firstBurst) {
		return false
	}
	for _, disturbed := range d.periods {
		if start.Before(disturbed.end) && end.After(disturbed.start) {
			return false
		}
	}
	return true
}

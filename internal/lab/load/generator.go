package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// generator runs one load.
type generator struct {
	config  Config
	result  *Result
	targets *targets
	calls   sync.WaitGroup
}

// Run plays the callers until Duration has passed or ctx ends, waits for the
// calls in flight, and returns what the callers saw.
func Run(ctx context.Context, config Config) *Result {
	config = config.withDefaults()
	g := &generator{config: config, result: newResult(config.Classes), targets: newTargets(config.Targets, config.AvoidFor)}
	arrivals, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	for index := range config.Classes {
		class := &config.Classes[index]
		if class.Timeout == 0 {
			class.Timeout = defaultTimeout
		}
		random := rand.New(rand.NewPCG(config.Seed, uint64(index)))
		if class.Rate > 0 {
			g.calls.Go(func() { g.openLoop(ctx, arrivals, class, random) })
			continue
		}
		g.closedLoop(ctx, arrivals, class, random)
	}
	g.calls.Wait()
	config.Client.CloseIdleConnections()
	return g.result
}

// openLoop starts calls at Poisson arrivals. Latency counts from the arrival,
// so that a slow start of a call is not hidden.
func (g *generator) openLoop(ctx, arrivals context.Context, class *Class, random *rand.Rand) {
	slots := make(chan struct{}, g.config.MaxInFlight)
	due := time.Now()
	for number := 0; number < g.config.MaxCalls; number++ {
		gap := random.ExpFloat64() / class.Rate
		due = due.Add(time.Duration(gap * float64(time.Second)))
		if !pauseUntil(arrivals, due) {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			g.result.overflow(class.Name)
			continue
		}
		arrived := due
		plan := g.plan(class, number, random.Uint64())
		g.calls.Go(func() {
			defer func() { <-slots }()
			g.call(ctx, plan, arrived)
		})
	}
}

// closedLoop starts workers that call, think and call again.
func (g *generator) closedLoop(ctx, arrivals context.Context, class *Class, random *rand.Rand) {
	share := g.config.MaxCalls / max(class.Workers, 1)
	for worker := range class.Workers {
		own := rand.New(rand.NewPCG(random.Uint64(), uint64(worker)))
		g.calls.Go(func() {
			for turn := range share {
				think := time.Duration(own.ExpFloat64() * float64(class.ThinkTime))
				if !pauseUntil(arrivals, time.Now().Add(think)) {
					return
				}
				g.call(ctx, g.plan(class, turn*class.Workers+worker, own.Uint64()), time.Now())
			}
		})
	}
}

// planned is a call that is to be made.
type planned struct {
	class *Class
	key   string // unique over the run
	seed  uint64
}

func (g *generator) plan(class *Class, number int, seed uint64) planned {
	return planned{class: class, key: fmt.Sprintf("%s-%d-%d", class.Name, g.config.Seed, number), seed: seed}
}

// pauseUntil waits for a time, or reports false when ctx ends before.
func pauseUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// targets hands out the nodes in turn and leaves refusing ones alone.
type targets struct {
	mutex    sync.Mutex
	urls     []string
	avoided  []time.Time
	avoidFor time.Duration
	next     int
}

func newTargets(urls []string, avoidFor time.Duration) *targets {
	return &targets{urls: urls, avoidFor: avoidFor, avoided: make([]time.Time, len(urls))}
}

// pick returns the next target that is not being avoided; when all are, the
// next one in turn.
func (t *targets) pick() (index int, url string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	chosen := t.next % len(t.urls)
	for offset := range t.urls {
		candidate := (t.next + offset) % len(t.urls)
		if now.After(t.avoided[candidate]) {
			chosen = candidate
			break
		}
	}
	t.next = chosen + 1
	return chosen, t.urls[chosen]
}

// avoid leaves a target alone for a while.
func (t *targets) avoid(index int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.avoided[index] = time.Now().Add(t.avoidFor)
}

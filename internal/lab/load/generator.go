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

// Run generates load until Duration has passed or ctx ends, waits for the calls in flight,
// and returns the results.
func Run(ctx context.Context, config Config) *Result {
	config = config.withDefaults()
	g := &generator{config: config, result: newResult(config.Classes), targets: newTargets(config.Targets, config.TargetBackoff)}
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

// openLoop starts calls at Poisson arrivals. Latency is measured from the arrival, so that
// it includes delays before the call starts.
func (g *generator) openLoop(ctx, arrivals context.Context, class *Class, random *rand.Rand) {
	slots := make(chan struct{}, g.config.MaxInFlight)
	due := time.Now()
	for number := 0; number < g.config.MaxCalls; number++ {
		gap := random.ExpFloat64() / class.Rate
		due = due.Add(time.Duration(gap * float64(time.Second)))
		if !sleepUntil(arrivals, due) {
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

// closedLoop starts workers that pause and call in a loop.
func (g *generator) closedLoop(ctx, arrivals context.Context, class *Class, random *rand.Rand) {
	callsPerWorker := g.config.MaxCalls / max(class.Workers, 1)
	for worker := range class.Workers {
		workerRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(worker)))
		g.calls.Go(func() {
			for turn := range callsPerWorker {
				think := time.Duration(workerRandom.ExpFloat64() * float64(class.ThinkTime))
				if !sleepUntil(arrivals, time.Now().Add(think)) {
					return
				}
				g.call(ctx, g.plan(class, turn*class.Workers+worker, workerRandom.Uint64()), time.Now())
			}
		})
	}
}

// plannedCall is a call of a class with its own key and seed.
type plannedCall struct {
	class *Class
	key   string // unique over the run
	seed  uint64
}

func (g *generator) plan(class *Class, number int, seed uint64) plannedCall {
	return plannedCall{class: class, key: fmt.Sprintf("%s-%d-%d", class.Name, g.config.Seed, number), seed: seed}
}

// sleepUntil waits until a time and reports false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
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

// targets selects nodes round-robin, skipping those in backoff.
type targets struct {
	mutex        sync.Mutex
	urls         []string
	backoffUntil []time.Time
	backoff      time.Duration
	next         int
}

func newTargets(urls []string, avoidFor time.Duration) *targets {
	return &targets{urls: urls, backoff: avoidFor, backoffUntil: make([]time.Time, len(urls))}
}

// pick returns the next target that is not in backoff, or the next one if all are.
func (t *targets) pick() (index int, url string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	chosen := t.next % len(t.urls)
	for offset := range t.urls {
		candidate := (t.next + offset) % len(t.urls)
		if now.After(t.backoffUntil[candidate]) {
			chosen = candidate
			break
		}
	}
	t.next = chosen + 1
	return chosen, t.urls[chosen]
}

// backOff puts a target into backoff.
func (t *targets) backOff(index int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.backoffUntil[index] = time.Now().Add(t.backoff)
}

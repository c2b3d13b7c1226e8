package system

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/load"
)

// callers play the site's callers, a slice of load after another, and keep
// what each of them was told.
type callers struct {
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex sync.Mutex
	seen  audit.Observations
}

// sliceLength is the length of a slice of load; a call that takes longer runs
// on beside the next slice.
const sliceLength = 500 * time.Millisecond

func startCallers(nodes []string) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{cancel: cancel}
	c.running.Go(func() {
		ticker := time.NewTicker(sliceLength)
		defer ticker.Stop()
		for seed := uint64(1); ; seed++ {
			c.running.Go(func() { c.slice(nodes, seed) })
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return c
}

// slice plays one slice; seeds of two slices differ, and so do their calls.
func (c *callers) slice(nodes []string, seed uint64) {
	result := load.Run(context.Background(), load.Config{
		Targets: nodes, Classes: classes(), Seed: seed, Duration: sliceLength,
	})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.seen.Merge(result.Observations())
}

// classes are readers, whose calls are safe, indexers, whose calls are not and
// who resend, and people who wait for a completion.
func classes() []load.Class {
	const timeout = 10 * time.Second
	return []load.Class{
		{Name: "reader", Pool: pagesPool, Method: http.MethodGet, Path: "/pages/panel", Rate: 20, Priority: 5, Timeout: timeout},
		{
			Name: "indexer", Pool: pagesPool, Method: http.MethodPost, Path: "/index", BodyBytes: 512,
			Unsafe: true, MaxRetries: 2, Rate: 40, Timeout: timeout,
		},
		{
			Name: "completion", Pool: samplingPool, MaxTokens: 200, PromptTokens: 40,
			Rate: 4, Priority: 5, Timeout: timeout,
		},
	}
}

// answered counts the calls that were answered so far.
func (c *callers) answered() int {
	count := 0
	for _, call := range c.observations().Calls {
		if call.Outcome == audit.OutcomeAnswered {
			count++
		}
	}
	return count
}

func (c *callers) observations() audit.Observations {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var all audit.Observations
	all.Merge(c.seen)
	return all
}

// stop ends the load and waits for the calls in flight.
func (c *callers) stop() {
	c.cancel()
	c.running.Wait()
}

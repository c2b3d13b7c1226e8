package system

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/load"
)

// callers generates the load of the site's callers in slices and records their observations.
type callers struct {
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex    sync.Mutex
	observed audit.Observations
}

// sliceLength is the length of a slice of load; a call that takes longer continues during
// the next slice.
const sliceLength = 500 * time.Millisecond

func startCallers(nodes []string) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{cancel: cancel}
	c.running.Go(func() {
		ticker := time.NewTicker(sliceLength)
		defer ticker.Stop()
		for seed := uint64(1); ; seed++ {
			c.running.Go(func() { c.runSlice(nodes, seed) })
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return c
}

// runSlice runs one slice; slices have different seeds and thus different calls.
func (c *callers) runSlice(nodes []string, seed uint64) {
	result := load.Run(context.Background(), load.Config{
		Targets: nodes, Classes: classes(), Seed: seed, Duration: sliceLength,
	})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.observed.Merge(result.Observations())
}

// classes returns the classes of callers: readers with safe calls, indexers with unsafe calls
// and retries, and users who wait for a completion.
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

// answeredCount returns the number of calls with an answer so far.
func (c *callers) answeredCount() int {
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
	all.Merge(c.observed)
	return all
}

// stop stops the load and waits for the calls in flight.
func (c *callers) stop() {
	c.cancel()
	c.running.Wait()
}

package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
)

// ClassResult summarizes one class of callers.
type ClassResult struct {
	Class string `json:"class"`
	// Outcomes counts calls by the outcome of the last attempt.
	Outcomes map[audit.Outcome]int `json:"outcomes"`
	Attempts int                   `json:"attempts"`
	// Overflow counts arrivals that were not sent because too many calls were in flight.
	Overflow int `json:"overflow"`
	// P50, P99 and Max are the latencies of answered calls.
	P50 time.Duration `json:"p50_ns"`
	P99 time.Duration `json:"p99_ns"`
	Max time.Duration `json:"max_ns"`
}

// Result collects the calls of a load.
type Result struct {
	mutex   sync.Mutex
	calls   []audit.Call
	classes []*classStats
}

type classStats struct {
	result  ClassResult
	latency *hdrhistogram.Histogram // in microseconds
}

const (
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
)

func newResult(classes []Class) *Result {
	r := &Result{}
	for _, class := range classes {
		r.classes = append(r.classes, &classStats{
			result:  ClassResult{Class: class.Name, Outcomes: map[audit.Outcome]int{}},
			latency: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		})
	}
	return r
}

func (r *Result) class(name string) *classStats {
	index := slices.IndexFunc(r.classes, func(c *classStats) bool { return c.result.Class == name })
	return r.classes[index]
}

// add records one attempt.
func (r *Result) add(class string, attempt audit.Call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.calls = append(r.calls, attempt)
	r.class(class).result.Attempts++
}

// finish records the outcome of a call after its last attempt.
func (r *Result) finish(class string, outcome audit.Outcome, latency time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts := r.class(class)
	counts.result.Outcomes[outcome]++
	if outcome == audit.OutcomeAnswered {
		// The only error is a value out of range, which min excludes.
		_ = counts.latency.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
	}
}

func (r *Result) overflow(class string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.class(class).result.Overflow++
}

// Observations returns the calls for the audit.
func (r *Result) Observations() audit.Observations {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return audit.Observations{Calls: slices.Clone(r.calls)}
}

// Classes returns a summary of each class.
func (r *Result) Classes() []ClassResult {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []ClassResult
	for _, counts := range r.classes {
		result := counts.result
		result.P50 = time.Duration(counts.latency.ValueAtQuantile(50)) * time.Microsecond
		result.P99 = time.Duration(counts.latency.ValueAtQuantile(99)) * time.Microsecond
		result.Max = time.Duration(counts.latency.Max()) * time.Microsecond
		all = append(all, result)
	}
	return all
}

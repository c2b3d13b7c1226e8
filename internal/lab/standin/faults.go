package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// FaultKind identifies a fault.
type FaultKind string

// Faults with a duration stay active until it has passed; those with a count apply to
// that many requests.
const (
	// FaultCrash closes the listener and every connection, drops the state and restarts
	// after Duration.
	FaultCrash FaultKind = "crash"
	// FaultHang accepts connections but does not respond for Duration.
	FaultHang FaultKind = "hang"
	// FaultSlow multiplies all service times by Factor for Duration.
	FaultSlow FaultKind = "slow"
	// FaultRefuse answers 503 with verdict not-run for Duration.
	FaultRefuse FaultKind = "refuse"
	// FaultCut closes the connection in the middle of Count responses.
	FaultCut FaultKind = "cut"
	// FaultLate delays Count responses by Duration.
	FaultLate FaultKind = "late"
	// FaultMix puts the id and content of another request into Count responses.
	FaultMix FaultKind = "mix"
	// FaultLoadVersion makes an engine's load reports contain Version for Duration.
	FaultLoadVersion FaultKind = "load_version"
	// FaultSwapFails makes an engine's next activation fail partway.
	FaultSwapFails FaultKind = "swap_fails"
	// FaultSwapMisdirected makes an engine's next activation load Version instead.
	FaultSwapMisdirected FaultKind = "swap_misdirected"
	// FaultDuplicateRequest makes a trainer send Count batch requests twice, concurrently.
	FaultDuplicateRequest FaultKind = "ask_twice"
	// FaultRepeatPrevious makes a trainer request an acknowledged batch again, Count times.
	FaultRepeatPrevious FaultKind = "ask_previous"
)

// Fault is a request to inject a fault.
type Fault struct {
	Kind       FaultKind `json:"kind"`
	DurationMs int64     `json:"duration_ms,omitempty"`
	Factor     float64   `json:"factor,omitempty"`
	Count      int       `json:"count,omitempty"`
	Version    uint64    `json:"version,omitempty"`
}

// Duration returns the duration of the fault.
func (f Fault) Duration() time.Duration { return time.Duration(f.DurationMs) * time.Millisecond }

// FaultError is returned for a fault that a stand-in does not support.
type FaultError struct{ Kind FaultKind }

// Error implements error.
func (e *FaultError) Error() string {
	return fmt.Sprintf("fault %q is not supported by this stand-in", e.Kind)
}

// faultSet holds the active faults.
type faultSet struct {
	mutex   sync.Mutex
	allowed []FaultKind
	until   map[FaultKind]time.Time
	timed   map[FaultKind]Fault
	counted map[FaultKind]Fault
}

func newFaultSet(allowed ...FaultKind) *faultSet {
	return &faultSet{
		allowed: allowed, until: map[FaultKind]time.Time{},
		timed: map[FaultKind]Fault{}, counted: map[FaultKind]Fault{},
	}
}

// set activates a fault. A fault with a count needs no duration.
func (s *faultSet) set(fault Fault) error {
	if !slices.Contains(s.allowed, fault.Kind) {
		return &FaultError{fault.Kind}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if fault.Count > 0 {
		s.counted[fault.Kind] = fault
		return nil
	}
	s.timed[fault.Kind] = fault
	s.until[fault.Kind] = time.Now().Add(fault.Duration())
	return nil
}

// active returns a timed fault that has not expired.
func (s *faultSet) active(kind FaultKind) (Fault, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Now().Before(s.until[kind]) {
		return s.timed[kind], true
	}
	return Fault{}, false
}

// consume returns a counted fault, if one is active, and decrements its count.
func (s *faultSet) consume(kind FaultKind) (Fault, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fault := s.counted[kind]
	if fault.Count <= 0 {
		return Fault{}, false
	}
	fault.Count--
	s.counted[kind] = fault
	return fault, true
}

// slowdown returns the factor for service times.
func (s *faultSet) slowdown() float64 {
	if fault, slow := s.active(FaultSlow); slow && fault.Factor > 0 {
		return fault.Factor
	}
	return 1
}

// waitOutHang blocks until no hang is active or ctx is done.
func (s *faultSet) waitOutHang(ctx context.Context) {
	s.mutex.Lock()
	wait := time.Until(s.until[FaultHang])
	s.mutex.Unlock()
	sleep(ctx, wait)
}

// sleep waits for a duration or until ctx is done, and reports whether the full duration
// has passed.
func sleep(ctx context.Context, wait time.Duration) bool {
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

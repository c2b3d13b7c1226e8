package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// FaultKind names a fault switch.
type FaultKind string

// The faults. Those with a duration act until it has passed, those with a
// count act on so many requests.
const (
	// FaultCrash closes the listener and every connection, loses the state,
	// and comes back after Duration.
	FaultCrash FaultKind = "crash"
	// FaultHang accepts connections and does nothing for Duration.
	FaultHang FaultKind = "hang"
	// FaultSlow multiplies all service times by Factor for Duration.
	FaultSlow FaultKind = "slow"
	// FaultRefuse answers 503 with verdict not-run for Duration.
	FaultRefuse FaultKind = "refuse"
	// FaultCut closes the connection in the middle of Count answers.
	FaultCut FaultKind = "cut"
	// FaultLate holds Count answers back by Duration.
	FaultLate FaultKind = "late"
	// FaultMix puts another request's id and content into Count answers.
	FaultMix FaultKind = "mix"
	// FaultLoadVersion makes an engine's load report claim Version for
	// Duration.
	FaultLoadVersion FaultKind = "load_version"
	// FaultSwapFails makes an engine's next activation fail partway.
	FaultSwapFails FaultKind = "swap_fails"
	// FaultSwapMisdirected makes an engine's next activation end on Version.
	FaultSwapMisdirected FaultKind = "swap_misdirected"
	// FaultAskTwice makes a trainer ask for Count batches twice at once.
	FaultDuplicateRequest FaultKind = "ask_twice"
	// FaultAskPrevious makes a trainer ask for an acknowledged batch again,
	// Count times.
	FaultRepeatPrevious FaultKind = "ask_previous"
)

// Fault is one order to a fault switch.
type Fault struct {
	Kind       FaultKind `json:"kind"`
	DurationMs int64     `json:"duration_ms,omitempty"`
	Factor     float64   `json:"factor,omitempty"`
	Count      int       `json:"count,omitempty"`
	Version    uint64    `json:"version,omitempty"`
}

// Duration returns how long the fault lasts.
func (f Fault) Duration() time.Duration { return time.Duration(f.DurationMs) * time.Millisecond }

// FaultError says that a stand-in has no such fault switch.
type FaultError struct{ Kind FaultKind }

// Error names the fault.
func (e *FaultError) Error() string { return fmt.Sprintf("no fault switch %q here", e.Kind) }

// faultSet holds the faults that are in force.
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

// set switches a fault on. A fault with a count needs no duration to act.
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

// active returns a timed fault while it lasts.
func (s *faultSet) active(kind FaultKind) (Fault, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Now().Before(s.until[kind]) {
		return s.timed[kind], true
	}
	return Fault{}, false
}

// take uses up one count of a counted fault.
func (s *faultSet) take(kind FaultKind) (Fault, bool) {
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

// factor returns what service times are multiplied by.
func (s *faultSet) factor() float64 {
	if fault, on := s.active(FaultSlow); on && fault.Factor > 0 {
		return fault.Factor
	}
	return 1
}

// waitWhileHung returns when no hang is in force or ctx has ended.
func (s *faultSet) waitWhileHung(ctx context.Context) {
	s.mutex.Lock()
	wait := time.Until(s.until[FaultHang])
	s.mutex.Unlock()
	pause(ctx, wait)
}

// pause waits for a duration or the end of ctx, and reports whether it waited
// in full.
func pause(ctx context.Context, wait time.Duration) bool {
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

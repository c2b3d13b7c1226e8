package proxy

import (
	"strconv"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/retry"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// retryRatio is the number of further tries that each success earns. The requirement is
	// at most 1.3 arrivals at servers per request; a tenth leaves room for the retries that
	// are saved up before a burst.
	retryRatio = 0.1
	// minSavedRetries is the balance up to which successes earn retries. It is low because
	// all senders spend their balances at the same time, at the start of a burst.
	minSavedRetries = 3
	// minWakeDelay limits the rate of wake-ups while the limiter's next time is past.
	minWakeDelay = 100 * time.Microsecond
)

// sendLimiter is the part of admission.SendLimiter that the proxy uses.
type sendLimiter interface {
	SetCapacity(slots, senders int)
	Offer(now time.Time, item admission.Item[*waiter], aim time.Duration) *port.Error
	Next(now time.Time) (admission.Item[*waiter], bool)
	WakeAt(now time.Time) time.Time
	Expire(now time.Time) []admission.Unserved[*waiter]
	Cancel(id port.RequestID) (admission.Item[*waiter], bool)
	Drain() []admission.Unserved[*waiter]
	Observe(now time.Time, result admission.TryResult)
	Status() admission.SendStatus
}

// waiter is a request that was offered to the limiter. The mutex of its serviceLimit guards
// its fields until it is decided.
type waiter struct {
	id      port.RequestID
	decided bool
	// refusal is the error of a request that must not be sent, nil if it may be.
	refusal *port.Error
	// ready is closed once the request is decided; nil if that was at once.
	ready chan struct{}
}

func (w *waiter) decide(refusal *port.Error) {
	w.decided, w.refusal = true, refusal
	if w.ready != nil {
		close(w.ready)
	}
}

// serviceLimit limits the sends of this process to one service. It is safe for concurrent use.
type serviceLimit struct {
	now func() time.Time

	mutex   sync.Mutex
	limiter sendLimiter
	budget  *retry.Budget
	// inFlight is the number of tries in flight.
	inFlight int
	// duplicates counts requests whose id was waiting already.
	duplicates uint64
	timer      *time.Timer
	// wakeAt is when the timer fires, zero if it is not set.
	wakeAt time.Time
	closed bool
}

// offer asks for permission to send a request. If the request has to wait, the waiter's ready
// channel is set, and the caller must call leave if it does not wait for it.
func (s *serviceLimit) offer(item admission.Item[*waiter], aim time.Duration) *waiter {
	w := &waiter{id: item.ID}
	item.Value = w
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		w.decide(port.NewError(port.NotRun, port.CodeDraining, "the process is stopping"))
		return w
	}
	now := s.now()
	refusal := s.limiter.Offer(now, item, aim)
	if refusal != nil && refusal.Code == port.CodeConflict {
		// Callers may send an id again while the first request with it waits.
		s.duplicates++
		w.id += port.RequestID("#" + strconv.FormatUint(s.duplicates, 10))
		item.ID = w.id
		refusal = s.limiter.Offer(now, item, aim)
	}
	if refusal != nil {
		w.decide(refusal)
	}
	s.settle(now)
	if !w.decided {
		w.ready = make(chan struct{})
	}
	return w
}

// leave removes a request whose caller no longer waits.
func (s *serviceLimit) leave(w *waiter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if w.decided {
		return
	}
	s.limiter.Cancel(w.id)
	w.decided = true
	s.settle(s.now())
}

// settle decides the requests that may be sent or can't be served, and sets the timer. The
// caller must hold s.mutex.
func (s *serviceLimit) settle(now time.Time) {
	for {
		item, found := s.limiter.Next(now)
		if !found {
			break
		}
		item.Value.decide(nil)
	}
	for _, unserved := range s.limiter.Expire(now) {
		unserved.Item.Value.decide(unserved.Error)
	}
	s.setTimer(now)
}

// setTimer makes the timer fire at the limiter's next time. A timer that fires earlier stays,
// since resetting it for every request costs more than a wake-up without effect.
func (s *serviceLimit) setTimer(now time.Time) {
	wakeAt := s.limiter.WakeAt(now)
	if wakeAt.IsZero() || !s.wakeAt.IsZero() && !wakeAt.Before(s.wakeAt) {
		return
	}
	s.wakeAt = wakeAt
	delay := max(wakeAt.Sub(now), minWakeDelay)
	if s.timer == nil {
		s.timer = time.AfterFunc(delay, s.wake)
		return
	}
	s.timer.Reset(delay)
}

func (s *serviceLimit) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.wakeAt = time.Time{}
	if !s.closed {
		s.settle(s.now())
	}
}

func (s *serviceLimit) setCapacity(slots, senders int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limiter.SetCapacity(slots, senders)
	s.settle(s.now())
}

// beginTry records the start of a try.
func (s *serviceLimit) beginTry() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight++
}

// recordCrowded records a request that is not sent because too many wait for a connection, which
// is as much a sign of overload as the refusal of a full replica.
func (s *serviceLimit) recordCrowded(aim time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	s.limiter.Observe(now, admission.TryResult{Refused: true, Aim: aim})
	if !s.closed {
		s.settle(now)
	}
}

// endTry records the end of a try. Only successful answers count as latency: an error may be
// faster than any work.
func (s *serviceLimit) endTry(res result, took, aim time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight--
	now := s.now()
	switch res.class {
	case classAnswer:
		s.recordSuccess(now)
		if res.answer != nil && res.answer.Status/100 == 2 {
			s.limiter.Observe(now, admission.TryResult{Latency: took, Aim: aim})
		}
	case classMayHaveRun:
		if !res.timedOut {
			return
		}
		// A try that its deadline ended took at least that long.
		s.limiter.Observe(now, admission.TryResult{Latency: took, Aim: aim})
	case classRefused:
		if res.misdirected {
			return
		}
		s.limiter.Observe(now, admission.TryResult{Refused: true, Aim: aim})
	default:
		return
	}
	if !s.closed {
		s.settle(now)
	}
}

// recordSuccess lets a success earn retries. A sender with many tries in flight may save one
// for each, since the loss of a replica fails all that are in flight there.
func (s *serviceLimit) recordSuccess(now time.Time) {
	if s.budget.Balance() < max(minSavedRetries, float64(s.inFlight)) {
		s.budget.Success(now)
	}
}

// withdrawRetry takes one further try from the retry budget.
func (s *serviceLimit) withdrawRetry() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.budget.Withdraw(s.now())
}

func (s *serviceLimit) status() admission.SendStatus {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.limiter.Status()
}

// close refuses the waiting requests and all later ones.
func (s *serviceLimit) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	if s.timer != nil {
		s.timer.Stop()
	}
	for _, unserved := range s.limiter.Drain() {
		unserved.Item.Value.decide(unserved.Error)
	}
}

// sendLimits holds the limits of all services that this process sends to. A nil *sendLimits
// limits nothing.
type sendLimits struct {
	clock boottime.Clock
	// epoch is the time at which the clock read 0.
	epoch      time.Time
	newLimiter func(now time.Time) sendLimiter
	view       func() *siteview.View

	mutex    sync.RWMutex
	services map[string]*serviceLimit
	closed   bool
}

func newSendLimits(clock boottime.Clock, view func() *siteview.View) *sendLimits {
	return &sendLimits{
		clock: clock, epoch: time.Now().Add(-clock()), view: view, services: map[string]*serviceLimit{},
		newLimiter: func(now time.Time) sendLimiter { return admission.NewSendLimiter[*waiter](now) },
	}
}

// timeAt converts a reading of the clock, which counts suspended time, for the limiters. Steps
// of the wall clock have no effect on it.
func (l *sendLimits) timeAt(reading time.Duration) time.Time { return l.epoch.Add(reading) }

func (l *sendLimits) now() time.Time { return l.timeAt(l.clock()) }

// of returns the limit of a service, or nil if sends are not limited.
func (l *sendLimits) of(service string) *serviceLimit {
	if l == nil {
		return nil
	}
	l.mutex.RLock()
	limit := l.services[service]
	l.mutex.RUnlock()
	if limit != nil {
		return limit
	}
	return l.add(service)
}

func (l *sendLimits) add(service string) *serviceLimit {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if limit := l.services[service]; limit != nil {
		return limit
	}
	now := l.now()
	limit := &serviceLimit{now: l.now, limiter: l.newLimiter(now), budget: retry.NewBudget(retryRatio, now), closed: l.closed}
	if view := l.view(); view != nil {
		limit.limiter.SetCapacity(capacityOf(view, service))
	}
	l.services[service] = limit
	return limit
}

// all returns the limits of all services.
func (l *sendLimits) all() []*serviceLimit {
	if l == nil {
		return nil
	}
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	limits := make([]*serviceLimit, 0, len(l.services))
	for _, limit := range l.services {
		limits = append(limits, limit)
	}
	return limits
}

// observe applies the capacities of a new view.
func (l *sendLimits) observe(view *siteview.View) {
	if l == nil {
		return
	}
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	for service, limit := range l.services {
		limit.setCapacity(capacityOf(view, service))
	}
}

func (l *sendLimits) close() {
	if l == nil {
		return
	}
	l.mutex.Lock()
	l.closed = true
	l.mutex.Unlock()
	for _, limit := range l.all() {
		limit.close()
	}
}

// capacityOf returns the slots of all replicas of a service, 0 if one does not report them,
// and the number of senders, 0 if unknown.
func capacityOf(view *siteview.View, service string) (slots, senders int) {
	for replica := range view.ByService[service].All() {
		if replica.Slots <= 0 {
			return 0, int(view.Senders)
		}
		slots += replica.Slots
	}
	return slots, int(view.Senders)
}

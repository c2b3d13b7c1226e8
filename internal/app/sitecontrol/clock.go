package sitecontrol

import (
	"context"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/sitetime"
)

// methodClock returns a member's wall clock.
const methodClock = "site.clock"

const (
	// clockInterval is the time between polls by the leader. A monotonic clock that is off by
	// 50 ppm drifts by 0.2 ms in this time.
	clockInterval = 4 * time.Second
	// clockRetry is the time to the next poll if too few members responded.
	clockRetry = 300 * time.Millisecond
	// clockTimeout limits a poll; slow responses give imprecise readings.
	clockTimeout = 250 * time.Millisecond
)

// clockRequest requests a clockAnswer.
type clockRequest struct{}

type clockAnswer struct {
	Wall time.Time `cbor:"1,keyasint"`
}

func (c *Control) serveClock(_ context.Context, call *wire.Call) error {
	return call.Send(clockAnswer{Wall: time.Now().Round(0)})
}

// siteClock estimates the time that most members agree on. Between polls it advances by the
// process's monotonic clock, which includes suspension, so that a step of any member's wall
// clock has no effect.
type siteClock struct {
	control *Control

	mutex  sync.Mutex
	offset sitetime.Offset
	// synced is set once a poll has succeeded.
	synced  bool
	polling bool
	pollAt  time.Duration
}

func newSiteClock(control *Control) *siteClock { return &siteClock{control: control} }

// now reads the process's monotonic clock.
func (s *siteClock) now() time.Duration { return s.control.config.Clock() }

// timeOf converts a reading of the monotonic clock to the site's time. It returns false
// until the first successful poll.
func (s *siteClock) timeOf(at time.Duration) (time.Time, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.offset.Time(at), s.synced
}

// tick starts a poll when one is due and this member leads.
func (s *siteClock) tick(ctx context.Context, leads bool, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !leads || s.polling || now < s.pollAt {
		return
	}
	s.polling = true
	go s.poll(ctx)
}

// poll reads the clocks of all members concurrently.
func (s *siteClock) poll(ctx context.Context) {
	readings, machines := s.read(ctx)
	offset, ok := sitetime.Estimate(readings, machines)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.polling, s.pollAt = false, s.now()+clockRetry
	if ok {
		s.offset, s.synced, s.pollAt = offset, true, s.now()+clockInterval
	}
}

func (s *siteClock) read(ctx context.Context) (readings []sitetime.Reading, machines int) {
	published := s.control.member.PublishedState()
	if published == nil {
		return nil, 0
	}
	ctx, cancel := context.WithTimeout(ctx, clockTimeout)
	defer cancel()
	answers := make(chan *sitetime.Reading, len(published.Records))
	for _, record := range published.Records {
		go func() { answers <- s.readOne(ctx, record.Address) }()
	}
	for range published.Records {
		if reading := <-answers; reading != nil {
			readings = append(readings, *reading)
		}
	}
	return readings, len(published.Records)
}

// readOne reads one member's clock; it returns nil without a response.
func (s *siteClock) readOne(ctx context.Context, address string) *sitetime.Reading {
	started := s.now()
	if address == s.control.config.Address {
		return &sitetime.Reading{Monotonic: started, Wall: time.Now().Round(0)}
	}
	var answer clockAnswer
	if s.control.pool.Client(address).Call(ctx, methodClock, clockRequest{}, &answer) != nil {
		return nil
	}
	return &sitetime.Reading{Monotonic: started + (s.now()-started)/2, Wall: answer.Wall}
}

package sitecontrol

import (
	"context"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/sitetime"
)

// methodClock asks a member for its time of day.
const methodClock = "site.clock"

const (
	// clockInterval is how often the leader asks: a steady clock that is off by 50 ppm
	// drifts by 0.2 ms meanwhile.
	clockInterval = 4 * time.Second
	// clockRetry is how soon it asks again while too few have answered.
	clockRetry = 300 * time.Millisecond
	// clockTimeout bounds the answers, of which the slowest says least.
	clockTimeout = 250 * time.Millisecond
)

// clockRequest asks for a clockAnswer.
type clockRequest struct{}

type clockAnswer struct {
	Wall time.Time `cbor:"1,keyasint"`
}

func (c *Control) serveClock(_ context.Context, call *wire.Call) error {
	return call.Send(clockAnswer{Wall: time.Now().Round(0)})
}

// siteClock tells the time that most members agree on. It goes by the own steady clock
// between two rounds of questions, so that a clock that jumps, its own one too, moves
// nothing.
type siteClock struct {
	control *Control
	base    time.Time

	mutex  sync.Mutex
	offset sitetime.Offset
	known  bool
	asking bool
	askAt  time.Time
}

func newSiteClock(control *Control) *siteClock { return &siteClock{control: control, base: time.Now()} }

// steady is the own steady clock.
func (s *siteClock) steady(at time.Time) time.Duration { return at.Sub(s.base) }

// timeOf gives the site's time at a moment; it reports false while it is not known.
func (s *siteClock) timeOf(at time.Time) (time.Time, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.offset.Time(s.steady(at)), s.known
}

// tend asks the members when it is due, as the leader.
func (s *siteClock) tend(ctx context.Context, leads bool, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !leads || s.asking || now.Before(s.askAt) {
		return
	}
	s.asking = true
	go s.ask(ctx)
}

// ask reads the clocks of all members at once.
func (s *siteClock) ask(ctx context.Context) {
	readings, machines := s.read(ctx)
	offset, sure := sitetime.Estimate(readings, machines)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.asking, s.askAt = false, time.Now().Add(clockRetry)
	if sure {
		s.offset, s.known, s.askAt = offset, true, time.Now().Add(clockInterval)
	}
}

func (s *siteClock) read(ctx context.Context) (readings []sitetime.Reading, machines int) {
	shown := s.control.member.Shown()
	if shown == nil {
		return nil, 0
	}
	ctx, cancel := context.WithTimeout(ctx, clockTimeout)
	defer cancel()
	answers := make(chan *sitetime.Reading, len(shown.Records))
	for _, record := range shown.Records {
		go func() { answers <- s.readOne(ctx, record.Address) }()
	}
	for range shown.Records {
		if reading := <-answers; reading != nil {
			readings = append(readings, *reading)
		}
	}
	return readings, len(shown.Records)
}

// readOne reads one member's clock; nil if it did not answer.
func (s *siteClock) readOne(ctx context.Context, address string) *sitetime.Reading {
	began := time.Now()
	if address == s.control.config.Address {
		return &sitetime.Reading{Steady: s.steady(began), Wall: began.Round(0)}
	}
	var answer clockAnswer
	if s.control.pool.Client(address).Call(ctx, methodClock, clockRequest{}, &answer) != nil {
		return nil
	}
	ended := time.Now()
	return &sitetime.Reading{Steady: s.steady(began) + ended.Sub(began)/2, Wall: answer.Wall}
}

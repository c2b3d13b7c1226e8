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

// siteClock tells the time that most members agree on. It goes by the process's clock, which
// also counts suspended time, between two rounds of questions, so that a time of day that
// jumps, its own one too, moves nothing.
type siteClock struct {
	control *Control

	mutex  sync.Mutex
	offset sitetime.Offset
	known  bool
	asking bool
	askAt  time.Duration
}

func newSiteClock(control *Control) *siteClock { return &siteClock{control: control} }

// now reads the process's clock.
func (s *siteClock) now() time.Duration { return s.control.config.Clock() }

// timeOf gives the site's time at a moment of the process's clock; it reports false while it is
// not known.
func (s *siteClock) timeOf(at time.Duration) (time.Time, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.offset.Time(at), s.known
}

// tend asks the members when it is due, as the leader.
func (s *siteClock) tend(ctx context.Context, leads bool, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !leads || s.asking || now < s.askAt {
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
	s.asking, s.askAt = false, s.now()+clockRetry
	if sure {
		s.offset, s.known, s.askAt = offset, true, s.now()+clockInterval
	}
}

func (s *siteClock) read(ctx context.Context) (readings []sitetime.Reading, machines int) {
	shown := s.control.member.PublishedState()
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
	began := s.now()
	if address == s.control.config.Address {
		return &sitetime.Reading{Monotonic: began, Wall: time.Now().Round(0)}
	}
	var answer clockAnswer
	if s.control.pool.Client(address).Call(ctx, methodClock, clockRequest{}, &answer) != nil {
		return nil
	}
	return &sitetime.Reading{Monotonic: began + (s.now()-began)/2, Wall: answer.Wall}
}

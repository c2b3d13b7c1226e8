package sitecontrol

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/guard"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

const (
	// suspectTTL is how long the leader stores a suspect without new events. A request
	// sent less often crashes CrashesUntilWithheld replicas each time.
	suspectTTL = time.Hour
	// suspectCheckInterval is the period of the leader's checks for expired suspects.
	suspectCheckInterval = 10 * time.Second
)

// NewGuard returns the guard of a process of the site.
func NewGuard(process string, watcher *siteview.Watcher, logger *log.Logger) *guard.Guard {
	return guard.New(guard.Config{
		Sender: fmt.Sprintf("%s-%x", process, rand.Uint64()), View: watcher.View, Logger: logger,
		Send: func(ctx context.Context, events []quarantine.Event) (sitestate.Outcome, error) {
			var answer Answer
			request := Request{Command: &sitestate.Command{Quarantine: &sitestate.Quarantine{Events: events}}}
			err := watcher.Call(ctx, MethodCall, request, &answer)
			return answer.Outcome, err
		},
	})
}

// suspects removes suspects without recent events. The goroutine of Control.lead owns it.
type suspects struct {
	control   *Control
	checkedAt time.Time
	seen      map[quarantine.Fingerprint]seenSuspect
}

// seenSuspect has a suspect's numbers of crashes and trials, and when they last changed.
type seenSuspect struct {
	crashes, trials int
	since           time.Time
}

func newSuspects(control *Control) *suspects {
	return &suspects{control: control, seen: map[quarantine.Fingerprint]seenSuspect{}}
}

// tick releases expired suspects on the leader. A new leader starts all TTLs from now.
func (s *suspects) tick(ctx context.Context, leads bool) {
	now := time.Now()
	if !leads {
		clear(s.seen)
		return
	}
	if now.Sub(s.checkedAt) < suspectCheckInterval {
		return
	}
	s.checkedAt = now
	var stored []quarantine.Suspect
	if s.control.member.Inspect(ctx, func(machine groupmember.StateMachine) { stored = machine.(*sitestate.State).Suspects() }) != nil {
		return
	}
	if released := s.expired(stored, now); len(released) > 0 {
		_, _ = s.control.propose(ctx, sitestate.Command{Quarantine: &sitestate.Quarantine{Events: released}})
	}
}

// expired lists the releases of suspects without events for suspectTTL.
func (s *suspects) expired(stored []quarantine.Suspect, now time.Time) (release []quarantine.Event) {
	seen := make(map[quarantine.Fingerprint]seenSuspect, len(stored))
	for _, suspect := range stored {
		last := s.seen[suspect.Fingerprint]
		if last.crashes != len(suspect.Replicas) || last.trials != suspect.Trials {
			last = seenSuspect{crashes: len(suspect.Replicas), trials: suspect.Trials, since: now}
		}
		if now.Sub(last.since) > suspectTTL {
			release = append(release, quarantine.Event{Kind: quarantine.EventReleased, Fingerprint: suspect.Fingerprint})
		}
		seen[suspect.Fingerprint] = last
	}
	s.seen = seen
	return release
}

// logQuarantine logs requests that are newly withheld, tried again or released.
func (c *Control) logQuarantine(previous, next *sitestate.View) {
	before := withheldOf(previous)
	for fingerprint, suspect := range withheldOf(next) {
		if stored, known := before[fingerprint]; !known || stored.Trials != suspect.Trials || len(stored.Replicas) != len(suspect.Replicas) {
			c.config.Logger.Warn().Str(eventlog.Field, eventlog.QuarantineChanged).Str("fingerprint", fingerprint.String()).
				Strs("ended", suspect.Replicas).Int("trials", suspect.Trials).Uint64("position", next.Position).Msg("a request is withheld")
		}
		delete(before, fingerprint)
	}
	for fingerprint := range before {
		c.config.Logger.Info().Str(eventlog.Field, eventlog.QuarantineChanged).Str("fingerprint", fingerprint.String()).
			Uint64("position", next.Position).Msg("a request is released")
	}
}

func withheldOf(view *sitestate.View) map[quarantine.Fingerprint]quarantine.Suspect {
	withheld := map[quarantine.Fingerprint]quarantine.Suspect{}
	for _, suspect := range view.Suspects {
		if suspect.Withheld() {
			withheld[suspect.Fingerprint] = suspect
		}
	}
	return withheld
}

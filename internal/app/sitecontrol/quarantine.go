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
	// suspectFor is how long the leader keeps a suspect to which nothing happens. A request
	// that comes less often than that takes CrashesUntilWithheld replicas each time.
	suspectFor = time.Hour
	// suspectLook is how often it looks.
	suspectLook = 10 * time.Second
)

// NewGuard makes the guard of a process of the site, by its name and its watcher.
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

// suspects lets go of those to which nothing has happened for long. The goroutine of
// Control.lead owns it.
type suspects struct {
	control  *Control
	lookedAt time.Time
	seen     map[quarantine.Fingerprint]seenSuspect
}

// seenSuspect is since when a suspect has so many ends and trials.
type seenSuspect struct {
	ends, trials int
	since        time.Time
}

func newSuspects(control *Control) *suspects {
	return &suspects{control: control, seen: map[quarantine.Fingerprint]seenSuspect{}}
}

// tend looks, as the leader. A new leader counts from when it began.
func (s *suspects) tend(ctx context.Context, leads bool) {
	now := time.Now()
	if !leads {
		clear(s.seen)
		return
	}
	if now.Sub(s.lookedAt) < suspectLook {
		return
	}
	s.lookedAt = now
	var held []quarantine.Suspect
	if s.control.member.Inspect(ctx, func(machine groupmember.StateMachine) { held = machine.(*sitestate.State).Suspects() }) != nil {
		return
	}
	if old := s.old(held, now); len(old) > 0 {
		_, _ = s.control.propose(ctx, sitestate.Command{Quarantine: &sitestate.Quarantine{Events: old}})
	}
}

// old lists those that are let go.
func (s *suspects) old(held []quarantine.Suspect, now time.Time) (release []quarantine.Event) {
	seen := make(map[quarantine.Fingerprint]seenSuspect, len(held))
	for _, suspect := range held {
		known := s.seen[suspect.Fingerprint]
		if known.ends != len(suspect.Replicas) || known.trials != suspect.Trials {
			known = seenSuspect{ends: len(suspect.Replicas), trials: suspect.Trials, since: now}
		}
		if now.Sub(known.since) > suspectFor {
			release = append(release, quarantine.Event{Kind: quarantine.EventReleased, Fingerprint: suspect.Fingerprint})
		}
		seen[suspect.Fingerprint] = known
	}
	s.seen = seen
	return release
}

// logQuarantine tells of requests that are withheld, tried again or let go from now on.
func (c *Control) logQuarantine(previous, next *sitestate.View) {
	before := withheldOf(previous)
	for fingerprint, suspect := range withheldOf(next) {
		if held, known := before[fingerprint]; !known || held.Trials != suspect.Trials || len(held.Replicas) != len(suspect.Replicas) {
			c.config.Logger.Warn().Str(eventlog.Field, eventlog.QuarantineChanged).Str("fingerprint", fingerprint.String()).
				Strs("ended", suspect.Replicas).Int("trials", suspect.Trials).Uint64("position", next.Position).Msg("a request is withheld")
		}
		delete(before, fingerprint)
	}
	for fingerprint := range before {
		c.config.Logger.Info().Str(eventlog.Field, eventlog.QuarantineChanged).Str("fingerprint", fingerprint.String()).
			Uint64("position", next.Position).Msg("a request is let go")
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

package guard

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
)

const (
	// reportTimeout limits one report to the control group. reportRetry is the pause after
	// a report that failed, reportPause the pause after one that was stored: it batches
	// events, such as those of a replica that crashes with many requests.
	reportTimeout = 1500 * time.Millisecond
	reportRetry   = 150 * time.Millisecond
	reportPause   = 50 * time.Millisecond
)

// outbox stores events until the control group has stored them.
type outbox struct {
	send   SendFunc
	logger *log.Logger
	wake   chan struct{}

	mutex   sync.Mutex
	pending []quarantine.Event
}

// maxPendingEvents limits the pending events; further ones are dropped.
const maxPendingEvents = 2048

func newOutbox(send SendFunc, logger *log.Logger) *outbox {
	return &outbox{send: send, logger: logger, wake: make(chan struct{}, 1)}
}

// add appends an event without blocking.
func (o *outbox) add(event quarantine.Event) {
	o.mutex.Lock()
	if len(o.pending) < maxPendingEvents {
		o.pending = append(o.pending, event)
	}
	o.mutex.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) run(ctx context.Context) error {
	for {
		select {
		case <-o.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for o.length() > 0 {
			select {
			case <-time.After(o.flush(ctx)):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// flush sends the pending events and returns the pause before the next flush. An event may
// be sent twice but takes effect once.
func (o *outbox) flush(ctx context.Context) time.Duration {
	o.mutex.Lock()
	events := slices.Clone(o.pending)
	o.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := o.send(ctx, events); err != nil {
		o.logger.Warn().Str(eventlog.Field, eventlog.CrashReportsNotStored).Int("events", len(events)).Err(err).
			Msg("crash reports not stored; retrying")
		return reportRetry
	}
	o.mutex.Lock()
	o.pending = slices.Delete(o.pending, 0, len(events))
	o.mutex.Unlock()
	return reportPause
}

func (o *outbox) length() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.pending)
}

// drain blocks until all events are sent, or until ctx ends.
func (o *outbox) drain(ctx context.Context) {
	ticker := time.NewTicker(reportPause)
	defer ticker.Stop()
	for o.length() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

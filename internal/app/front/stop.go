package front

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/routing"
)

const (
	// jobCallTimeout is the longest time limit of the calls about jobs.
	jobCallTimeout = max(submitTimeout, maxWait+readTimeout)
	// latencyMargin is how many times the mean latency of its service a request must be able to
	// take for a stopping front to accept it without a deadline that ends in time.
	latencyMargin = 4
)

// PlannedStop is the schedule of a planned stop.
type PlannedStop struct {
	// CallersAware is when callers no longer use connections or addresses that they learnt
	// before the stop.
	CallersAware time.Time
	// AnswerBy is when every request must have its response.
	AnswerBy time.Time
}

// Drain makes the front unready. Responses from now on ask callers to close their
// connections, and requests that may not have a response by the end of the stop are rejected
// as not run.
func (f *Front) Drain(planned PlannedStop) {
	f.stop.Store(&planned)
	f.config.Idle.Drain()
}

// CloseConnections closes the listener and the connections on which no caller may still
// send. It blocks until none is left, or until ctx ends. Call it after Drain.
func (f *Front) CloseConnections(ctx context.Context) { f.config.Idle.Stop(ctx) }

// LogUnfinished logs how many requests the end of a stop ends. With proxy.ErrStopping as the
// cause, those of which nothing was sent to a replica are then rejected as not run, the others
// fail with an unknown outcome.
func (f *Front) LogUnfinished() {
	if unfinished := f.inFlight.Load(); unfinished > 0 {
		f.config.Logger.Warn().Str(eventlog.Field, eventlog.RequestsCutOff).Int64("in_flight", unfinished).
			Int64("arrived_late", f.arrivedLate.Load()).Msg("the stop ends unfinished requests")
	}
}

// Close makes the front reject every further request as not run. Call it right before
// closing the connections: a request read from a closing connection must not be
// forwarded, since its response could not be delivered.
func (f *Front) Close() { f.closing.Store(true) }

// endsBeforeStop reports whether a request with a deadline ends before a planned stop does.
func (f *Front) endsBeforeStop(deadline time.Time) bool {
	planned := f.stop.Load()
	return planned == nil || !deadline.After(planned.AnswerBy)
}

// mayForward reports whether a request to a replica may be accepted. During a planned stop it
// must end in time: the connection of an unfinished one is closed, and a request that may not be
// repeated is then lost. Callers that can't know of the stop yet are served if the usual latency
// of the service leaves ample time. The latency of a stream says nothing about its end.
func (f *Front) mayForward(route *routing.Route, service string, deadline time.Time) bool {
	if f.endsBeforeStop(deadline) {
		return true
	}
	return !time.Now().After(f.stop.Load().CallersAware) && f.usuallyEndsBeforeStop(route, service)
}

// maySend reports whether an accepted request may be sent to a replica. A planned stop may have begun, or
// come closer, while it waited for a connection or after an earlier try.
func (f *Front) maySend(route *routing.Route, service string, deadline time.Time) bool {
	return f.endsBeforeStop(deadline) || f.usuallyEndsBeforeStop(route, service)
}

// usuallyEndsBeforeStop reports whether the usual latency of a service leaves ample time before the end of
// the planned stop.
func (f *Front) usuallyEndsBeforeStop(route *routing.Route, service string) bool {
	if route.Kind == routing.KindStream {
		return false
	}
	latency := f.config.Proxy.Latency(service)
	return latency > 0 && !time.Now().Add(latencyMargin*latency).After(f.stop.Load().AnswerBy)
}

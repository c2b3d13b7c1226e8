package sitestore

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
)

// take acts on the end of a run. Runs of an earlier leadership, and those whose
// job ended meanwhile, count no more.
func (r *runner) take(event runEvent) {
	item := event.item
	if r.leadership == nil || r.works[item.key] != item || event.context.Err() != nil {
		return
	}
	now := time.Now()
	item.cancel()
	next := r.releaseNext(item)
	if event.replica != "" {
		r.store.config.Recorder.RunEnded(event.kind.String())
		r.replicas.leave(item)
		item.phases.ended(event.kind, now.Sub(item.placedAt), item.length() > item.eventsBefore)
		item.idleSince, item.lastReplica = now, event.replica
		r.noteReplica(event, now)
	}
	switch event.kind {
	case runWhole:
		r.demand.whole(item.model, item.length())
		r.lengths.whole(item)
		r.logRun(event, "a run made the text whole")
		r.startScoring(item)
	case runScored:
		item.phases.scored = now.Sub(item.idleSince)
		r.noteDone(item, item.lastReplica)
		item.finish(jobstate.ResultCompleted, event.score)
		r.urgent = true
		r.store.config.Recorder.ItemEnded(outcomeCompleted, now.Sub(item.accepted))
		r.store.config.Logger.Info().Str(eventlog.Field, eventlog.ItemListed).Str("job", item.key.Job).Str("id", item.item.ID).
			Str("reward_call", item.scorerID()).Int("events", item.length()).Dur("age_ms", now.Sub(item.accepted)).Msg("an item has its result")
	case runScoreFailed:
		r.giveUp(item, "reward call: "+event.reason)
	case runHopeless:
		r.giveUp(item, event.reason)
	case runFailed:
		r.failed(item, event, now)
	case runMoved:
		r.logRun(event, "an item leaves a slow replica")
		item.avoid = event.replica
		r.goOn(item, next)
	case runRefused, runBroken, runUnfit:
		r.logRun(event, "a run came to no whole text")
		r.enqueue(item, now.Add(retryPause))
	}
}

// releaseNext gives the place free that was kept for an item, and names its replica.
func (r *runner) releaseNext(item *work) string {
	next := item.next
	if next != "" {
		r.replicas.release(next)
	}
	item.next = ""
	return next
}

// goOn starts a moved item where a place was kept for it, if the replica is still
// there, else it waits for another one.
func (r *runner) goOn(item *work, next string) {
	view := r.store.config.Watcher.View()
	if replica, present := view.Replicas.Get(next); present && view.Routable(&replica) && !item.isWhole() {
		r.startRun(item, replica, view.Position)
		return
	}
	r.enqueue(item, time.Time{})
}

// Outcomes of items, for the measures.
const (
	outcomeCompleted = "completed"
	outcomeErrored   = "errored"
)

// retryPause lets an item wait a little after a run that came to nothing.
const retryPause = 10 * time.Millisecond

// noteReplica keeps what a run showed of its replica.
func (r *runner) noteReplica(event runEvent, now time.Time) {
	known := r.replicas.entry(event.replica)
	if event.answered && event.item.placedAt.After(known.answered) {
		known.answered = event.item.placedAt
	}
	if event.ended {
		r.blame(event.item, event.replica, now)
	}
	if event.version > known.versions[event.item.model] {
		known.versions[event.item.model] = event.version
	}
	r.replicas.measure(event.replica, event.pause, now)
	switch event.kind {
	case runRefused, runUnfit:
		r.replicas.block(event.replica, now.Add(refusedPause))
	case runBroken:
		r.replicas.block(event.replica, now.Add(brokenPause<<min(known.failures, 3)))
		known.failures++
	default:
	}
}

func (r *runner) failed(item *work, event runEvent, now time.Time) {
	failures := item.fail()
	r.logRun(event, "a replica failed an item")
	attempts := 1
	if route, _ := r.route(item); route != nil {
		attempts = max(1, route.MaxAttempts)
	}
	if failures >= attempts {
		r.giveUp(item, event.reason)
		return
	}
	r.enqueue(item, now.Add(retryPause))
}

func (r *runner) logRun(event runEvent, message string) {
	r.store.config.Logger.Info().Str(eventlog.Field, eventlog.ItemRun).Str("job", event.item.key.Job).Str("id", event.item.item.ID).
		Str("replica", event.replica).Str("outcome", event.kind.String()).Str("reason", event.reason).
		Uint64("version", event.version).Uint64("min_version", event.item.minVersion).Str("last_event", event.item.begin()).
		Dur("pause_ms", event.pause).Msg(message)
}

// keep puts text and results into the log, one record at a time.
func (r *runner) keep() {
	now := time.Now()
	grown := now.Sub(r.grownAt) >= keepInterval
	if r.keeping || (!grown && !r.urgent) {
		return
	}
	if wait := resultInterval - now.Sub(r.keptAt); wait > 0 {
		time.AfterFunc(wait, r.wakeUp)
		return
	}
	r.keptAt, r.urgent = now, false
	if grown {
		r.grownAt = now
	}
	record := r.collect(grown)
	if len(record.Items) == 0 {
		return
	}
	r.keeping = true
	go func(ctx context.Context, kept chan<- error) {
		_, err := r.store.propose(ctx, jobstate.Command{Record: &record})
		kept <- err
	}(r.context, r.kept)
}

// maxRecordBytes bounds the text of one record.
const maxRecordBytes = 1 << 20

// collect gathers results, and with all also text that grows.
func (r *runner) collect(all bool) jobstate.Record {
	var record jobstate.Record
	bytes := 0
	for key, item := range r.works {
		finished := item.finished()
		if !finished && !all {
			continue
		}
		kept, dirty := item.take()
		if dirty {
			record.Items = append(record.Items, kept)
			for _, text := range kept.Text {
				bytes += len(text)
			}
		}
		if finished {
			r.drop(key, item)
		}
		if bytes > maxRecordBytes {
			r.urgent = true
			break
		}
	}
	return record
}

// afterKeep notes that a record is committed. One whose outcome is not known
// ends the leadership here: the next one begins with what the log holds.
func (r *runner) afterKeep(err error) {
	r.keeping = false
	if err != nil {
		r.store.config.Logger.Warn().Str(eventlog.Field, eventlog.RunnerNotKept).Err(err).Msg("text could not be kept")
		r.stop()
	}
}

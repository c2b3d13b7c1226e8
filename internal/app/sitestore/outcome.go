package sitestore

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
)

// handle handles the end of a run. It ignores runs of an earlier leadership or of an ended
// job.
func (r *runner) handle(event runEvent) {
	item := event.item
	if r.leadership == nil || r.items[item.key] != item || event.context.Err() != nil {
		return
	}
	now := time.Now()
	item.cancel()
	next := r.releaseReserved(item)
	if event.replica != "" {
		r.store.config.Recorder.RunEnded(event.kind.String())
		r.replicas.removeRun(item)
		item.phases.recordRun(event.kind, now.Sub(item.placedAt), item.length() > item.eventsBefore)
		item.idleSince, item.lastReplica = now, event.replica
		item.recordRejection(event.kind == runRejected || event.kind == runDeclined)
		r.recordReplica(event, now)
	}
	switch event.kind {
	case runComplete:
		r.demand.recordText(item.model, item.length())
		r.lengths.record(item)
		r.logRun(event, "text complete")
		r.startScoring(item)
	case runScored:
		item.phases.scored = now.Sub(item.idleSince)
		r.recordResult(item, item.lastReplica)
		r.finish(item, jobstate.ResultCompleted, event.score)
		r.store.config.Recorder.ItemEnded(outcomeCompleted, now.Sub(item.accepted))
		r.store.config.Logger.Info().Str(eventlog.Field, eventlog.ItemCompleted).Str("job", item.key.Job).Str("id", item.spec.ID).
			Str("reward_call", item.scorerID()).Int("events", item.length()).Dur("age_ms", now.Sub(item.accepted)).Msg("item completed")
	case runScoreFailed:
		r.failItem(item, "reward call: "+event.reason)
	case runInvalid:
		r.failItem(item, event.reason)
	case runFailed:
		r.handleFailure(item, event, now)
	case runMoved:
		r.logRun(event, "item moved from a slow replica")
		item.avoid = event.replica
		r.resume(item, next, now)
	case runRejected, runDeclined:
		r.logRun(event, "a replica rejected an item")
		r.requeueRejected(event, now)
	case runBroken, runWrongVersion:
		r.logRun(event, "run ended without a complete text")
		r.enqueue(item, now.Add(retryPause))
	}
}

// releaseReserved releases the slot reserved for an item and returns its replica.
func (r *runner) releaseReserved(item *itemState) string {
	next := item.reserved
	if next != "" {
		r.replicas.release(next)
	}
	item.reserved = ""
	return next
}

// resume starts a moved item on the replica reserved for it, or queues it if that replica is
// no longer available or the item pauses.
func (r *runner) resume(item *itemState, next string, now time.Time) {
	view := r.store.config.Watcher.View()
	replica, present := view.Replicas.Get(next)
	if present && view.Routable(&replica) && !item.isComplete() && !now.Before(item.pausedUntil) {
		r.startRun(item, replica, view.Position)
		return
	}
	r.enqueue(item, time.Time{})
}

// Outcomes of items, for metrics.
const (
	outcomeCompleted = "completed"
	outcomeErrored   = "errored"
)

const (
	// retryPause is the delay before an item is retried.
	retryPause = 10 * time.Millisecond
	// undecidedPause is the delay before an item or its reward call is retried that has used the
	// attempts of a route which may allow more by now.
	undecidedPause = time.Second
)

// recordReplica updates the state of a replica after a run on it.
func (r *runner) recordReplica(event runEvent, now time.Time) {
	entry := r.replicas.entry(event.replica)
	if event.responded && event.item.placedAt.After(entry.respondedAt) {
		entry.respondedAt = event.item.placedAt
	}
	if event.crashed {
		r.recordCrash(event.item, event.replica, now)
	}
	if event.version > entry.versions[event.item.model] {
		entry.versions[event.item.model] = event.version
	}
	r.replicas.recordRun(event.replica, event.pause, now)
	switch event.kind {
	case runRejected:
		if !r.isOversized(event.item) {
			r.replicas.block(event.replica, now.Add(rejectedPause))
		}
	case runDeclined:
		if event.item.rejections <= 1 { // after that the item is more likely the cause
			r.replicas.block(event.replica, now.Add(rejectedPause))
		}
	case runWrongVersion:
		r.replicas.block(event.replica, now.Add(rejectedPause))
	case runBroken:
		r.replicas.block(event.replica, now.Add(brokenPause<<min(entry.failures, 3)))
		entry.failures++
	default:
	}
}

func (r *runner) handleFailure(item *itemState, event runEvent, now time.Time) {
	failures := item.fail()
	r.logRun(event, "a replica failed an item")
	attempts := 1
	if route, _ := r.route(item); route != nil {
		attempts = max(1, route.MaxAttempts)
	}
	if failures < attempts {
		r.enqueue(item, now.Add(retryPause))
		return
	}
	if !r.store.mayGiveUp(item, r.table) {
		r.enqueue(item, now.Add(undecidedPause))
		return
	}
	r.failItem(item, event.reason)
}

func (r *runner) logRun(event runEvent, message string) {
	r.store.config.Logger.Info().Str(eventlog.Field, eventlog.ItemRun).Str("job", event.item.key.Job).Str("id", event.item.spec.ID).
		Str("replica", event.replica).Str("outcome", event.kind.String()).Str("reason", event.reason).
		Uint64("version", event.version).Uint64("min_version", event.item.minVersion).Str("last_event", event.item.lastEventID()).
		Dur("pause_ms", event.pause).Msg(message)
}

// finish sets an item's result, which the next record has.
func (r *runner) finish(item *itemState, result jobstate.Result, score string) {
	item.finish(result, score)
	r.finished = append(r.finished, item)
}

// commit proposes text and results, one record at a time.
func (r *runner) commit() {
	now := time.Now()
	textDue := now.Sub(r.textProposedAt) >= textInterval
	if r.committing || (!textDue && len(r.finished) == 0) {
		return
	}
	if wait := resultInterval - now.Sub(r.proposedAt); wait > 0 {
		time.AfterFunc(wait, r.wakeUp)
		return
	}
	r.proposedAt = now
	if textDue {
		r.textProposedAt = now
	}
	record := r.collect(textDue)
	if len(record.Items) == 0 {
		return
	}
	r.committing = true
	go func(ctx context.Context, committed chan<- error) {
		committed <- r.store.propose(ctx, jobstate.Command{Record: &record})
	}(r.context, r.committed)
}

const (
	// maxRecordBytes limits the size of one record, whose last item may exceed it.
	maxRecordBytes = 1 << 20
	// itemRecordOverheadBytes is the size of an item's record without its text and names.
	itemRecordOverheadBytes = 128
)

// recordBytes returns an upper estimate of the encoded size of an item's record.
func recordBytes(record *jobstate.ItemRecord) int {
	size := itemRecordOverheadBytes + len(record.Job) + len(record.LastEvent) + len(record.Score) + 9*len(record.Versions)
	for _, text := range record.Text {
		size += textBytes(text)
	}
	return size
}

// collect returns the uncommitted results, and also unfinished text if all is set. It removes
// the finished items. What exceeds a record is left for the next one.
func (r *runner) collect(all bool) jobstate.Record {
	var record jobstate.Record
	bytes := 0
	add := func(item *itemState) {
		if committed, dirty := item.takeRecord(); dirty {
			record.Items = append(record.Items, committed)
			bytes += recordBytes(&committed)
		}
	}
	for len(r.finished) > 0 && bytes <= maxRecordBytes {
		item := r.finished[0]
		r.finished = r.finished[1:]
		if r.items[item.key] == item {
			add(item)
			r.remove(item.key, item)
		}
	}
	if !all {
		return record
	}
	for _, item := range r.items {
		if bytes > maxRecordBytes {
			break
		}
		add(item)
	}
	return record
}

// handleCommit handles the outcome of a proposed record. An error stops this leadership,
// since the outcome is unknown; the next one starts from the log.
func (r *runner) handleCommit(err error) {
	r.committing = false
	if err != nil {
		r.store.config.Logger.Warn().Str(eventlog.Field, eventlog.RunnerNotCommitted).Err(err).Msg("text was not committed")
		r.stop()
	}
}

package sitestore

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
)

// work is an open item with its uncommitted progress. The runner's goroutine owns it, except
// for the fields under mutex, which the goroutine of the current run changes too.
type work struct {
	key  jobqueue.Key
	host string
	// tenant is the owner of the job, empty if none.
	tenant     string
	minVersion uint64
	oneVersion bool
	item       jobstate.Item
	rank       jobqueue.Rank
	model      string
	accepted   time.Time
	// longest is the longest expected length of an item of the job.
	longest int

	// replica runs the item; empty while it waits. cancel ends the run.
	replica string
	cancel  context.CancelFunc
	// scoring is set once the reward call has started.
	scoring bool
	// placedAt is the start of the current run.
	placedAt time.Time
	// ran is set once the item was on a replica; idleSince is since when it is on none.
	ran       bool
	idleSince time.Time
	// lastReplica is the replica of the last run.
	lastReplica string
	// phases breaks down the item's time; eventsBefore is the number of events at the start
	// of the current run.
	phases       phases
	eventsBefore int
	// moves counts the moves from slow replicas, and avoid is the last such replica.
	// reserved is the replica on which a moved item resumes, empty without a move; stalled
	// is set if the run has stalled.
	moves    int
	avoid    string
	reserved string
	stalled  bool

	// earlierCrashes counts the replicas that crashed during the item in earlier
	// leaderships, crashes are those since. withheldAt is the start of the current
	// withholding; trials counts the trials, and onTrial is set until a trial has ended.
	earlierCrashes int
	crashes        []replicaCrash
	withheldAt     time.Time
	trials         int
	onTrial        bool

	// progress is set by the current run; move requests its end at the next event.
	progress progress
	move     atomic.Bool

	mutex sync.Mutex
	// abort ends the current run immediately.
	abort context.CancelFunc
	// events, lastEvent and versions describe the text so far.
	events    int
	lastEvent string
	versions  []uint64
	complete  bool
	failures  int
	// logged is the number of events in the log; reset is set if the logged text must be
	// dropped first.
	logged int
	reset  bool
	// text is the data of the events that are not in the log.
	text        []string
	newFailures int
	newCrashes  int
	result      jobstate.Result
	score       string
}

// newWork returns an item with its progress in the log.
func newWork(job *jobstate.Job, index, longest int, rank jobqueue.Rank, accepted time.Time) *work {
	item := &job.Items[index]
	return &work{
		key: jobqueue.Key{Job: job.Submission.ID, Item: index}, host: job.Submission.Host, tenant: job.Submission.Tenant,
		minVersion: job.Submission.MinVersion, oneVersion: job.Submission.OneVersion, model: job.Submission.Model,
		item: item.Item, rank: rank, accepted: accepted, idleSince: accepted, longest: longest,
		events: item.Events, logged: item.Events, lastEvent: item.LastEvent, versions: item.Versions,
		complete: item.Complete, failures: item.Failures, earlierCrashes: item.Crashes,
	}
}

// setAbort sets the function that aborts the current run.
func (w *work) setAbort(cut context.CancelFunc) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.abort = cut
}

// interrupt aborts the current run.
func (w *work) interrupt() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.abort != nil {
		w.abort()
	}
}

// lastEventID returns the id of the last event, empty if there is none.
func (w *work) lastEventID() (lastEvent string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.lastEvent
}

// add appends an event of a weight version. It returns false if the job does not allow that
// version, or not more than one.
func (w *work) add(data, id string, version uint64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if version < w.minVersion {
		return false
	}
	if !slices.Contains(w.versions, version) {
		if w.oneVersion && len(w.versions) > 0 {
			return false
		}
		w.versions = slices.Sorted(slices.Values(append(slices.Clone(w.versions), version)))
	}
	w.text = append(w.text, data)
	w.events++
	w.lastEvent = id
	return true
}

// startOver discards the text.
func (w *work) startOver() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.events, w.logged, w.lastEvent, w.versions, w.text, w.complete = 0, 0, "", nil, nil, false
	w.reset = true
}

func (w *work) setComplete() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.complete = true
}

func (w *work) isComplete() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.complete
}

// scorerID returns the id of the item's reward call, empty if it has none.
func (w *work) scorerID() string {
	if w.item.Scorer == nil {
		return ""
	}
	return w.item.Scorer.ID
}

// length returns the number of events of the text so far.
func (w *work) length() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.events
}

// exactVersion returns the version that must continue the text, 0 for any.
func (w *work) exactVersion() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.oneVersion && len(w.versions) == 1 {
		return w.versions[0]
	}
	return 0
}

// fail counts a failure response and returns the total.
func (w *work) fail() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.failures++
	w.newFailures++
	return w.failures
}

// addCrash counts a crash of a replica during the item.
func (w *work) addCrash() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.newCrashes++
}

// finish sets the item's result, unless it has one.
func (w *work) finish(result jobstate.Result, score string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.result == jobstate.ResultNone {
		w.result, w.score = result, score
	}
}

// takeRecord returns the uncommitted progress and marks it as logged. It returns false if there
// is none.
func (w *work) takeRecord() (record jobstate.ItemRecord, dirty bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.reset && len(w.text) == 0 && w.newFailures == 0 && w.newCrashes == 0 && w.result == jobstate.ResultNone {
		return jobstate.ItemRecord{}, false
	}
	record = jobstate.ItemRecord{
		Job: w.key.Job, Item: w.key.Item, Events: w.logged, Reset: w.reset, Text: w.text, LastEvent: w.lastEvent,
		Versions: w.versions, Complete: w.complete, Failures: w.newFailures, Crashes: w.newCrashes, Result: w.result, Score: w.score,
	}
	w.logged, w.text, w.newFailures, w.newCrashes, w.reset = w.events, nil, 0, 0, false
	return record, true
}

// finished reports whether the item has a result.
func (w *work) finished() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.result != jobstate.ResultNone
}

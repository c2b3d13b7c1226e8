package sitestore

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
)

// itemState is an open item with its uncommitted progress. The runner's goroutine owns it, except
// for the fields under mutex, which the goroutine of the current run changes too.
type itemState struct {
	key  jobqueue.Key
	host string
	// tenant is the owner of the job, empty if none.
	tenant     string
	minVersion uint64
	oneVersion bool
	spec       jobstate.Item
	rank       jobqueue.Rank
	model      string
	accepted   time.Time
	// longest is the longest expected length of an item of the job.
	longest int
	// configuration is the version of the configuration under which the job was submitted, 0 if
	// unknown.
	configuration uint64

	// replica runs the item; empty while it waits. cancel ends the run.
	replica string
	cancel  context.CancelFunc
	// scoring is set once the reward call has started.
	scoring bool
	// placedAt is the start of the current run.
	placedAt time.Time
	// ran is set once the item ran on a replica; idleSince is when it last became idle.
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
	// leaderships, crashes are those since. The item does not run before pausedUntil.
	earlierCrashes int
	crashes        []replicaCrash
	pausedUntil    time.Time

	// invalid is set if the item cannot be sent to any replica.
	invalid bool
	// rejections counts the rejected runs since the last other one.
	rejections int

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
	// text is the data of the events that are not in the log; size is that of all events.
	text []string
	size int
	// pending is the size of text; taken receives a value whenever it becomes 0.
	pending     int
	taken       chan struct{}
	newFailures int
	newCrashes  int
	result      jobstate.Result
	score       string
}

// newItemState returns an open item with its progress in the log.
func newItemState(job *jobstate.Job, index, longest int, rank jobqueue.Rank, accepted time.Time) *itemState {
	item := &job.Items[index]
	return &itemState{
		key: jobqueue.Key{Job: job.Submission.ID, Item: index}, host: job.Submission.Host, tenant: job.Submission.Tenant,
		minVersion: job.Submission.MinVersion, oneVersion: job.Submission.OneVersion, model: job.Submission.Model,
		spec: item.Item, rank: rank, accepted: accepted, idleSince: accepted, longest: longest, configuration: job.Submission.Configuration,
		size:   len(item.Text) + item.Events*eventOverheadBytes,
		events: item.Events, logged: item.Events, lastEvent: item.LastEvent, versions: item.Versions,
		complete: item.Complete, failures: item.Failures, earlierCrashes: item.Crashes, taken: make(chan struct{}, 1),
	}
}

const (
	// maxPendingBytes is the size of the uncommitted text from which on a run reads no further
	// event, so that a record fits into an entry of the log.
	maxPendingBytes = 1 << 20
	// eventOverheadBytes is added to the size of each event's data; it exceeds what an encoded
	// record takes for an event.
	eventOverheadBytes = 8
)

// textBytes returns the size of an event in a record.
func textBytes(data string) int { return len(data) + eventOverheadBytes }

// awaitRecord blocks while too much text is uncommitted. It returns an error if ctx ends first.
func (s *itemState) awaitRecord(ctx context.Context) error {
	for s.pendingBytes() > maxPendingBytes {
		select {
		case <-s.taken:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// textSize returns the size of the text so far, as counted by textBytes.
func (s *itemState) textSize() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.size
}

func (s *itemState) pendingBytes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.pending
}

// clearPending resets the size of the uncommitted text. The caller must hold s.mutex.
func (s *itemState) clearPending() {
	s.pending = 0
	select {
	case s.taken <- struct{}{}:
	default:
	}
}

// setAbort sets the function that aborts the current run.
func (s *itemState) setAbort(abort context.CancelFunc) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.abort = abort
}

// interrupt aborts the current run.
func (s *itemState) interrupt() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.abort != nil {
		s.abort()
	}
}

// lastEventID returns the id of the last event, empty if there is none.
func (s *itemState) lastEventID() (lastEvent string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lastEvent
}

// follows reports whether id is that of the event after the last one. Replicas number the events
// of an item; without a last event any number is valid.
func (s *itemState) follows(id string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.events == 0 {
		return true
	}
	last, err := strconv.ParseUint(s.lastEvent, 10, 64)
	return err == nil && number == last+1
}

// resumable reports whether a replica can continue the text, since the last event has a number.
// The log may have texts of earlier builds, which did not check it.
func (s *itemState) resumable() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.events == 0 {
		return true
	}
	_, err := strconv.ParseUint(s.lastEvent, 10, 64)
	return err == nil
}

// add appends an event of a weight version. It returns false if the job does not allow that
// version, or does not allow several and the text has another.
func (s *itemState) add(data, id string, version uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if version < s.minVersion {
		return false
	}
	if !slices.Contains(s.versions, version) {
		if s.oneVersion && len(s.versions) > 0 {
			return false
		}
		s.versions = slices.Sorted(slices.Values(append(slices.Clone(s.versions), version)))
	}
	s.text = append(s.text, data)
	s.size += textBytes(data)
	s.pending += textBytes(data)
	s.events++
	s.lastEvent = id
	return true
}

// startOver discards the text.
func (s *itemState) startOver() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.events, s.logged, s.lastEvent, s.versions, s.text, s.size, s.complete = 0, 0, "", nil, nil, 0, false
	s.reset = true
	s.clearPending()
}

func (s *itemState) setComplete() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.complete = true
}

func (s *itemState) isComplete() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.complete
}

// scorerID returns the id of the item's reward call, empty if it has none.
func (s *itemState) scorerID() string {
	if s.spec.Scorer == nil {
		return ""
	}
	return s.spec.Scorer.ID
}

// length returns the number of events of the text so far.
func (s *itemState) length() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.events
}

// exactVersion returns the version that must continue the text, 0 for any.
func (s *itemState) exactVersion() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.oneVersion && len(s.versions) == 1 {
		return s.versions[0]
	}
	return 0
}

// fail counts a failure response and returns the total.
func (s *itemState) fail() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failures++
	s.newFailures++
	return s.failures
}

// addCrash counts a crash of a replica during the item.
func (s *itemState) addCrash() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.newCrashes++
}

// finish sets the item's result, unless it has one.
func (s *itemState) finish(result jobstate.Result, score string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.result == jobstate.ResultNone {
		s.result, s.score = result, score
	}
}

// takeRecord returns the uncommitted progress and marks it as logged. It returns false if there
// is none.
func (s *itemState) takeRecord() (record jobstate.ItemRecord, dirty bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.reset && len(s.text) == 0 && s.newFailures == 0 && s.newCrashes == 0 && s.result == jobstate.ResultNone {
		return jobstate.ItemRecord{}, false
	}
	record = jobstate.ItemRecord{
		Job: s.key.Job, Item: s.key.Item, Events: s.logged, Reset: s.reset, Text: s.text, LastEvent: s.lastEvent,
		Versions: s.versions, Complete: s.complete, Failures: s.newFailures, Crashes: s.newCrashes, Result: s.result, Score: s.score,
	}
	s.logged, s.text, s.newFailures, s.newCrashes, s.reset = s.events, nil, 0, 0, false
	s.clearPending()
	return record, true
}

// isWaiting reports whether the item neither runs nor is scored, and has no result.
func (s *itemState) isWaiting() bool { return s.replica == "" && !s.scoring && !s.finished() }

// finished reports whether the item has a result.
func (s *itemState) finished() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.result != jobstate.ResultNone
}

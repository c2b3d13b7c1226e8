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

// work is an item that is to be done, with what became of it that the log does
// not hold yet. The runner's goroutine owns it, but for what mutex guards, which
// the goroutine of its present run changes.
type work struct {
	key  jobqueue.Key
	host string
	// tenant is whose job it is, empty for nobody's.
	tenant     string
	minVersion uint64
	oneVersion bool
	item       jobstate.Item
	rank       jobqueue.Rank
	model      string
	accepted   time.Time
	// longest is the longest length expected of an item of its job.
	longest int

	// replica runs it; empty while it waits. cancel ends the run.
	replica string
	cancel  context.CancelFunc
	// scoring is set once its text is whole.
	scoring bool
	// placedAt is when its present run began.
	placedAt time.Time
	// ran is set once it was at a replica; idleSince is since when it is at none.
	ran       bool
	idleSince time.Time
	// lastReplica is the one of its last run.
	lastReplica string
	// phases is where its time went; eventsBefore is how many events it had when its
	// present run began.
	phases       phases
	eventsBefore int
	// moves counts how often it was taken from a slow replica, and avoid is the one
	// that it was taken from last. Next is where it goes on when its run has ended,
	// empty if it stays; silent is set if the run showed nothing of late.
	moves  int
	avoid  string
	next   string
	silent bool

	// earlierEnds is how many replicas had ended under it when it was taken over, ended are
	// those since. While it is withheld, withheldAt is since when; trials counts how often it
	// was let run all the same, and onTrial is set until such a run has ended.
	earlierEnds int
	ended       []replicaEnd
	withheldAt  time.Time
	trials      int
	onTrial     bool

	// progress is that of its present run, which sets it; move asks the run to end
	// at its next event.
	progress progress
	move     atomic.Bool

	mutex sync.Mutex
	// cut ends the present run at once.
	cut context.CancelFunc
	// events, lastEvent and versions are those of the whole text so far.
	events    int
	lastEvent string
	versions  []uint64
	whole     bool
	failures  int
	// kept is how many events the log holds; reset is set if the held text is
	// to be dropped first.
	kept  int
	reset bool
	// text is the data of the events that are not kept yet.
	text        []string
	newFailures int
	newEnds     int
	result      jobstate.Result
	score       string
}

// newWork takes an item over from the log.
func newWork(job *jobstate.Job, index, longest int, rank jobqueue.Rank, accepted time.Time) *work {
	item := &job.Items[index]
	return &work{
		key: jobqueue.Key{Job: job.Submission.ID, Item: index}, host: job.Submission.Host, tenant: job.Submission.Tenant,
		minVersion: job.Submission.MinVersion, oneVersion: job.Submission.OneVersion, model: job.Submission.Model,
		item: item.Item, rank: rank, accepted: accepted, idleSince: accepted, longest: longest,
		events: item.Events, kept: item.Events, lastEvent: item.LastEvent, versions: item.Versions,
		whole: item.Complete, failures: item.Failures, earlierEnds: item.Crashes,
	}
}

// setCut notes how the present run is ended at once.
func (w *work) setCut(cut context.CancelFunc) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cut = cut
}

// interrupt ends the present run at once.
func (w *work) interrupt() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.cut != nil {
		w.cut()
	}
}

// begin gives the id of the last event, empty for a text that starts.
func (w *work) begin() (lastEvent string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.lastEvent
}

// add notes an event made by a version. It reports false if the job does not
// take text of that version, or of more than one.
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

// startOver drops the text.
func (w *work) startOver() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.events, w.kept, w.lastEvent, w.versions, w.text, w.whole = 0, 0, "", nil, nil, false
	w.reset = true
}

func (w *work) setWhole() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.whole = true
}

func (w *work) isWhole() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.whole
}

// scorerID names the item's reward call, empty if it has none.
func (w *work) scorerID() string {
	if w.item.Scorer == nil {
		return ""
	}
	return w.item.Scorer.ID
}

// length gives the number of events of the text so far.
func (w *work) length() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.events
}

// only gives the version that must go on with the text, 0 for any.
func (w *work) only() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.oneVersion && len(w.versions) == 1 {
		return w.versions[0]
	}
	return 0
}

// fail counts an answer of failure and gives their number.
func (w *work) fail() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.failures++
	w.newFailures++
	return w.failures
}

// addEnd counts a replica that ended under the item.
func (w *work) addEnd() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.newEnds++
}

// finish sets the item's result.
func (w *work) finish(result jobstate.Result, score string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.result == jobstate.ResultNone {
		w.result, w.score = result, score
	}
}

// take gives what the log lacks, and notes it as kept. Dirty is false if there
// is nothing.
func (w *work) take() (record jobstate.ItemRecord, dirty bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.reset && len(w.text) == 0 && w.newFailures == 0 && w.newEnds == 0 && w.result == jobstate.ResultNone {
		return jobstate.ItemRecord{}, false
	}
	record = jobstate.ItemRecord{
		Job: w.key.Job, Item: w.key.Item, Events: w.kept, Reset: w.reset, Text: w.text, LastEvent: w.lastEvent,
		Versions: w.versions, Complete: w.whole, Failures: w.newFailures, Crashes: w.newEnds, Result: w.result, Score: w.score,
	}
	w.kept, w.text, w.newFailures, w.newEnds, w.reset = w.events, nil, 0, 0, false
	return record, true
}

// finished reports whether the item has a result.
func (w *work) finished() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.result != jobstate.ResultNone
}

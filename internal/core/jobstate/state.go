package jobstate

import (
	"bytes"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/logcodec"
)

// ItemState is an item and its progress.
type ItemState struct {
	Item Item `cbor:"1,keyasint"`
	// Text is the data of the events so far, joined by newlines.
	Text           string   `cbor:"2,keyasint,omitempty"`
	Events         int      `cbor:"3,keyasint,omitempty"`
	LastEvent      string   `cbor:"4,keyasint,omitempty"`
	Versions       []uint64 `cbor:"5,keyasint,omitempty"`
	Complete       bool     `cbor:"6,keyasint,omitempty"`
	Failures       int      `cbor:"7,keyasint,omitempty"`
	ScorerFailures int      `cbor:"8,keyasint,omitempty"`
	Result         Result   `cbor:"9,keyasint,omitempty"`
	Score          string   `cbor:"10,keyasint,omitempty"`
	// BodySum is the hash of the item's body; it remains after the body is dropped.
	BodySum uint64 `cbor:"11,keyasint,omitempty"`
	// Crashes is the number of replicas that crashed while they ran the item.
	Crashes int `cbor:"12,keyasint,omitempty"`
	// Resubmitted is set if an earlier job that was stored at the acceptance contained the item.
	Resubmitted bool `cbor:"13,keyasint,omitempty"`
}

// dropRequest frees the parts of the request that only a run needs.
func (i *ItemState) dropRequest() {
	i.Item.Body, i.Item.Headers, i.Item.Scorer = nil, nil, nil
}

// Job is an accepted job.
type Job struct {
	// Submission is the accepted job without its items, which are in Items.
	Submission Submission  `cbor:"1,keyasint"`
	Items      []ItemState `cbor:"2,keyasint"`
	// Results holds the indexes of finished items by result position.
	Results []int `cbor:"3,keyasint"`
	Ended   bool  `cbor:"4,keyasint"`
	// AcceptedAt is the log position of the acceptance.
	AcceptedAt uint64 `cbor:"5,keyasint"`
}

// Done reports whether every item has a result.
func (j *Job) Done() bool { return len(j.Results) == len(j.Items) }

// LongestExpected returns the longest expected length of the job's items.
func (j *Job) LongestExpected() int {
	longest := 0
	for i := range j.Items {
		longest = max(longest, j.Items[i].Item.ExpectedLength())
	}
	return longest
}

// State holds the jobs. It is not safe for concurrent use.
type State struct {
	jobs map[string]*Job
	// latest maps item ids to the newest job that contains them.
	latest map[string]itemRef
	// serial counts results and ended jobs, for readers that wait for changes; jobSerial
	// counts accepted, ended and removed jobs.
	serial    uint64
	jobSerial uint64
	// bytes is an upper estimate of the encoded size of all jobs.
	bytes int
}

type itemRef struct {
	job  string
	item int
}

// New returns an empty state.
func New() *State {
	return &State{jobs: map[string]*Job{}, latest: map[string]itemRef{}}
}

// Snapshot implements groupmember.StateMachine. Values that an item refers to are replaced, never
// modified, so copies of the items suffice.
func (s *State) Snapshot() groupmember.Encoder {
	jobs := s.Jobs()
	for i, job := range jobs {
		captured := *job
		captured.Items = slices.Clone(job.Items)
		captured.Results = slices.Clone(job.Results)
		jobs[i] = &captured
	}
	size := s.bytes
	return func(into *bytes.Buffer) error {
		into.Grow(size)
		return logcodec.MarshalToBuffer(jobs, into)
	}
}

// itemOverhead is the estimated encoded size of an item without its text and request.
const itemOverhead = 256

// Bytes returns an upper estimate of the encoded size of the jobs. It sizes the snapshot's buffer
// and measures the memory used by the state.
func (s *State) Bytes() int { return s.bytes }

// size returns an upper estimate of the encoded size of the job.
func (j *Job) size() int {
	size := 0
	for i := range j.Items {
		size += j.Items[i].size()
	}
	return size
}

// size returns an upper estimate of the encoded size of the item.
func (i *ItemState) size() int { return i.Item.size() + len(i.Text) }

// size returns an upper estimate of the encoded size of an item without text.
func (i *Item) size() int {
	size := itemOverhead + len(i.Body) + len(i.ID) + len(i.Path) + len(i.Group)
	for _, header := range i.Headers {
		size += len(header.Name) + len(header.Value)
	}
	if scorer := i.Scorer; scorer != nil {
		size += itemOverhead + len(scorer.Body) + len(scorer.Path) + len(scorer.Host)
	}
	return size
}

// Restore implements groupmember.StateMachine.
func (s *State) Restore(data []byte) error {
	var jobs []*Job
	if err := logcodec.Unmarshal(data, &jobs); err != nil {
		return err
	}
	s.jobs = make(map[string]*Job, len(jobs))
	s.latest = map[string]itemRef{}
	s.bytes = 0
	for _, job := range jobs {
		s.add(job)
	}
	s.serial++
	s.jobSerial++
	return nil
}

func (s *State) add(job *Job) {
	s.jobs[job.Submission.ID] = job
	s.bytes += job.size()
	for i := range job.Items {
		item := &job.Items[i]
		_, found := s.latest[item.Item.ID]
		item.Resubmitted = item.Resubmitted || found
		s.latest[item.Item.ID] = itemRef{job.Submission.ID, i}
	}
}

// Serial increases with every result, ended job and restored snapshot.
func (s *State) Serial() uint64 { return s.serial }

// JobSerial increases with every accepted, ended or removed job and every restored snapshot.
func (s *State) JobSerial() uint64 { return s.jobSerial }

// Job returns a job, or nil. The caller must not modify it.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// Jobs returns all jobs in the order of acceptance.
func (s *State) Jobs() []*Job {
	jobs := make([]*Job, 0, len(s.jobs))
	for _, job := range s.jobs {
		jobs = append(jobs, job)
	}
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].AcceptedAt < jobs[j].AcceptedAt })
	return jobs
}

// Apply implements groupmember.StateMachine. Accept returns an AcceptOutcome, End whether the job
// is known, the others nil. A command that cannot be decoded returns an error and changes nothing.
func (s *State) Apply(index uint64, data []byte) any {
	var command Command
	if err := logcodec.Unmarshal(data, &command); err != nil {
		return err
	}
	switch {
	case command.Accept != nil:
		return s.accept(index, *command.Accept)
	case command.End != nil:
		return s.end(command.End.ID)
	case command.Record != nil:
		for _, record := range command.Record.Items {
			s.record(record)
		}
	case command.Forget != nil:
		s.forget(command.Forget.Jobs)
	}
	return nil
}

// accept stores a new job. Items of an earlier job reuse its text if the versions are allowed.
func (s *State) accept(index uint64, submission Submission) AcceptOutcome {
	if existing := s.jobs[submission.ID]; existing != nil {
		if existing.Submission.Tenant != submission.Tenant {
			return OwnedByOtherTenant
		}
		return AlreadyAccepted
	}
	job := &Job{Submission: submission, AcceptedAt: index, Items: make([]ItemState, len(submission.Items))}
	for i, item := range submission.Items {
		job.Items[i] = s.reuseText(item, &submission)
	}
	job.Submission.Items = nil
	s.add(job)
	s.jobSerial++
	return Accepted
}

func (s *State) reuseText(item Item, submission *Submission) ItemState {
	created := ItemState{Item: item, BodySum: xxhash.Sum64(item.Body)}
	ref, found := s.latest[item.ID]
	if !found {
		return created
	}
	earlierJob := s.jobs[ref.job]
	earlier := &earlierJob.Items[ref.item]
	if earlierJob.Submission.Tenant != submission.Tenant || earlierJob.Submission.Model != submission.Model || earlier.Item.Path != item.Path || earlier.BodySum != created.BodySum {
		return created
	}
	if earlier.Events == 0 || earlier.Result == ResultErrored || !fits(earlier.Versions, submission) {
		return created
	}
	created.Text, created.Events, created.LastEvent = earlier.Text, earlier.Events, earlier.LastEvent
	created.Versions, created.Complete = earlier.Versions, earlier.Complete
	return created
}

// fits reports whether a job may use text generated by these versions.
func fits(versions []uint64, submission *Submission) bool {
	if submission.OneVersion && len(versions) > 1 {
		return false
	}
	return len(versions) > 0 && slices.Min(versions) >= submission.MinVersion
}

func (s *State) end(id string) bool {
	job := s.jobs[id]
	if job == nil {
		return false
	}
	if !job.Ended {
		job.Ended = true
		s.bytes -= job.size()
		for i := range job.Items {
			job.Items[i].dropRequest()
		}
		s.bytes += job.size()
		s.serial++
		s.jobSerial++
	}
	return true
}

// record applies an item's record. It ignores records of finished items and text that does not
// continue the stored text.
func (s *State) record(record ItemRecord) {
	job := s.jobs[record.Job]
	if job == nil || record.Item < 0 || record.Item >= len(job.Items) {
		return
	}
	item := &job.Items[record.Item]
	if item.Result != ResultNone {
		return
	}
	before := item.size()
	if item.apply(record) {
		job.Results = append(job.Results, record.Item)
		s.serial++
	}
	s.bytes += item.size() - before
}

// apply applies a record and reports whether it finished the item.
func (i *ItemState) apply(record ItemRecord) bool {
	i.Failures += record.Failures
	i.ScorerFailures += record.ScorerFailures
	i.Crashes += record.Crashes
	if record.Reset {
		i.Text, i.Events, i.LastEvent, i.Versions, i.Complete = "", 0, "", nil, false
	}
	follows := record.Events == i.Events
	if follows {
		i.appendText(record)
	}
	switch {
	case record.Result == ResultErrored:
	case record.Result == ResultCompleted && follows && i.Complete:
		i.Score = record.Score
	default:
		return false
	}
	i.Result = record.Result
	i.dropRequest()
	return true
}

func (i *ItemState) appendText(record ItemRecord) {
	if len(record.Text) > 0 {
		added := strings.Join(record.Text, "\n")
		if i.Events > 0 {
			added = i.Text + "\n" + added
		}
		i.Text = added
		i.Events += len(record.Text)
		i.LastEvent = record.LastEvent
		i.Versions = union(i.Versions, record.Versions)
	}
	i.Complete = i.Complete || record.Complete
}

// union returns the sorted union without modifying its arguments.
func union(a, b []uint64) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

func (s *State) forget(ids []string) {
	orphaned := map[string]bool{}
	for _, id := range ids {
		job := s.jobs[id]
		if job == nil {
			continue
		}
		for _, item := range job.Items {
			if s.latest[item.Item.ID].job != id {
				continue
			}
			delete(s.latest, item.Item.ID)
			if item.Resubmitted {
				orphaned[item.Item.ID] = true
			}
		}
		s.bytes -= job.size()
		delete(s.jobs, id)
		s.jobSerial++
	}
	s.findLatest(orphaned)
}

// findLatest sets the newest job of items whose newest one was removed, as Restore does.
func (s *State) findLatest(items map[string]bool) {
	if len(items) == 0 {
		return
	}
	for _, job := range s.Jobs() {
		for i := range job.Items {
			if id := job.Items[i].Item.ID; items[id] {
				s.latest[id] = itemRef{job.Submission.ID, i}
			}
		}
	}
}

// ResultView is one listed result.
type ResultView struct {
	ID       string   `cbor:"1,keyasint"`
	Errored  bool     `cbor:"2,keyasint,omitempty"`
	Text     string   `cbor:"3,keyasint,omitempty"`
	Versions []uint64 `cbor:"4,keyasint,omitempty"`
	Score    string   `cbor:"5,keyasint,omitempty"`
}

// Page is a range of a job's results.
type Page struct {
	Total   int          `cbor:"1,keyasint"`
	Results []ResultView `cbor:"2,keyasint,omitempty"`
	// Next is the position after the last result of the page.
	Next  int  `cbor:"3,keyasint"`
	Ended bool `cbor:"4,keyasint,omitempty"`
}

// Page returns results starting at a position: as many as fit into maxBytes, but at least one if
// available.
func (j *Job) Page(from, maxBytes int) Page {
	page := Page{Total: len(j.Items), Next: max(0, min(from, len(j.Results))), Ended: j.Ended}
	bytes := 0
	for _, index := range j.Results[page.Next:] {
		item := &j.Items[index]
		bytes += item.resultBytes()
		if len(page.Results) > 0 && bytes > maxBytes {
			break
		}
		view := ResultView{ID: item.Item.ID, Errored: item.Result == ResultErrored}
		if !view.Errored {
			view.Text, view.Versions, view.Score = item.Text, item.Versions, item.Score
		}
		page.Results = append(page.Results, view)
		page.Next++
	}
	return page
}

// NextResultBytes returns the estimated size of the first result of a page, 0 if it has none.
func (j *Job) NextResultBytes(from int) int {
	if from < 0 || from >= len(j.Results) {
		return 0
	}
	return j.Items[j.Results[from]].resultBytes()
}

// resultBytes returns the estimated encoded size of the item's result.
func (s *ItemState) resultBytes() int {
	return len(s.Text) + len(s.Score) + len(s.Item.ID) + resultOverhead
}

// resultOverhead is the estimated encoded size of a result without its text.
const resultOverhead = 128

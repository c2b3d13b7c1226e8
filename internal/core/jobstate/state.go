package jobstate

import (
	"bytes"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// ItemState is an item with what became of it.
type ItemState struct {
	Item Item `cbor:"1,keyasint"`
	// Text is the data of the events so far, joined by line feeds.
	Text           string   `cbor:"2,keyasint,omitempty"`
	Events         int      `cbor:"3,keyasint,omitempty"`
	LastEvent      string   `cbor:"4,keyasint,omitempty"`
	Versions       []uint64 `cbor:"5,keyasint,omitempty"`
	Whole          bool     `cbor:"6,keyasint,omitempty"`
	Failures       int      `cbor:"7,keyasint,omitempty"`
	ScorerFailures int      `cbor:"8,keyasint,omitempty"`
	Result         Result   `cbor:"9,keyasint,omitempty"`
	Score          string   `cbor:"10,keyasint,omitempty"`
	// BodySum identifies the item's body after it was dropped.
	BodySum uint64 `cbor:"11,keyasint,omitempty"`
	// Ends counts the replicas that ended while they ran the item.
	Ends int `cbor:"12,keyasint,omitempty"`
}

// dropRequest frees what only a run needs.
func (i *ItemState) dropRequest() {
	i.Item.Body, i.Item.Headers, i.Item.Scorer = nil, nil, nil
}

// Job is an accepted job.
type Job struct {
	// Submission is as it was accepted, but that its items stand in Items.
	Submission Submission  `cbor:"1,keyasint"`
	Items      []ItemState `cbor:"2,keyasint"`
	// Results are indexes of items by position.
	Results []int `cbor:"3,keyasint"`
	Ended   bool  `cbor:"4,keyasint"`
	// AcceptedAt is the log position of the acceptance.
	AcceptedAt uint64 `cbor:"5,keyasint"`
}

// Done reports whether every item has a result.
func (j *Job) Done() bool { return len(j.Results) == len(j.Items) }

// Longest gives the longest length that the client expects of an item.
func (j *Job) Longest() int {
	longest := 0
	for i := range j.Items {
		longest = max(longest, j.Items[i].Item.ExpectedLength())
	}
	return longest
}

// State holds the jobs. It is not safe for concurrent use.
type State struct {
	jobs map[string]*Job
	// latest finds the newest job of an item id, for items that come back in
	// a later job.
	latest map[string]itemPlace
	// serial counts results and ends, for those who wait for news; jobSerial
	// counts jobs that came, ended or were forgotten.
	serial    uint64
	jobSerial uint64
	// bytes is about what the encoding of all jobs needs.
	bytes int
}

type itemPlace struct {
	job  string
	item int
}

// New makes the empty state.
func New() *State {
	return &State{jobs: map[string]*Job{}, latest: map[string]itemPlace{}}
}

// Snapshot implements groupmember.StateMachine. What an item refers to is replaced,
// never changed in place, so that copies of the items are enough.
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
		return encoding.MarshalToBuffer(jobs, into)
	}
}

// encoding writes behind what a buffer holds.
var encoding = func() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are fixed
	}
	return mode
}()

// encodedItem is about what an item's encoding needs beside its text and request.
const encodedItem = 256

// Bytes estimates the size of the encoded jobs from above. A snapshot's buffer, which is
// most of what a large state costs in the making, is made once by it; and it is what says
// how much the state takes of a machine's memory.
func (s *State) Bytes() int { return s.bytes }

// size estimates the size of the encoded job from above.
func (j *Job) size() int {
	size := 0
	for i := range j.Items {
		size += j.Items[i].size()
	}
	return size
}

// size estimates the size of the encoded item from above.
func (i *ItemState) size() int {
	size := encodedItem + len(i.Text) + len(i.Item.Body) + len(i.Item.ID) + len(i.Item.Path) + len(i.Item.Group)
	for _, header := range i.Item.Headers {
		size += len(header.Name) + len(header.Value)
	}
	if scorer := i.Item.Scorer; scorer != nil {
		size += encodedItem + len(scorer.Body) + len(scorer.Path) + len(scorer.Host)
	}
	return size
}

// Restore implements groupmember.StateMachine.
func (s *State) Restore(data []byte) error {
	var jobs []*Job
	if err := cbor.Unmarshal(data, &jobs); err != nil {
		return err
	}
	s.jobs = make(map[string]*Job, len(jobs))
	s.latest = map[string]itemPlace{}
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
		s.latest[job.Items[i].Item.ID] = itemPlace{job.Submission.ID, i}
	}
}

// Serial rises with every result, end and restored snapshot.
func (s *State) Serial() uint64 { return s.serial }

// JobSerial rises with every job that comes, ends or is forgotten, and with
// every restored snapshot.
func (s *State) JobSerial() uint64 { return s.jobSerial }

// Job finds a job, or nil. The caller must not change it.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// Jobs gives all jobs in the order of acceptance.
func (s *State) Jobs() []*Job {
	jobs := make([]*Job, 0, len(s.jobs))
	for _, job := range s.jobs {
		jobs = append(jobs, job)
	}
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].AcceptedAt < jobs[j].AcceptedAt })
	return jobs
}

// Apply implements groupmember.StateMachine. Accept gives an AcceptOutcome, End
// whether the job is known; the others give nil.
func (s *State) Apply(index uint64, data []byte) any {
	var command Command
	if err := cbor.Unmarshal(data, &command); err != nil {
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

// accept takes a job once. Items that stood in an earlier job take over the
// text that was kept for them, if its versions fit.
func (s *State) accept(index uint64, submission Submission) AcceptOutcome {
	if held := s.jobs[submission.ID]; held != nil {
		if held.Submission.Tenant != submission.Tenant {
			return OfAnotherTenant
		}
		return AcceptedBefore
	}
	job := &Job{Submission: submission, AcceptedAt: index, Items: make([]ItemState, len(submission.Items))}
	for i, item := range submission.Items {
		job.Items[i] = s.carriedOver(item, &submission)
	}
	job.Submission.Items = nil
	s.add(job)
	s.jobSerial++
	return Accepted
}

func (s *State) carriedOver(item Item, submission *Submission) ItemState {
	fresh := ItemState{Item: item, BodySum: xxhash.Sum64(item.Body)}
	place, known := s.latest[item.ID]
	if !known {
		return fresh
	}
	earlier := s.jobs[place.job]
	held := &earlier.Items[place.item]
	if earlier.Submission.Tenant != submission.Tenant || earlier.Submission.Model != submission.Model || held.Item.Path != item.Path || held.BodySum != fresh.BodySum {
		return fresh
	}
	if held.Events == 0 || held.Result == ResultErrored || !fits(held.Versions, submission) {
		return fresh
	}
	fresh.Text, fresh.Events, fresh.LastEvent = held.Text, held.Events, held.LastEvent
	fresh.Versions, fresh.Whole = held.Versions, held.Whole
	return fresh
}

// fits reports whether text of these versions may stand in a job.
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

// record notes what became of an item. After its result, or for a text that
// does not follow what is held, nothing changes.
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
	if item.note(record) {
		job.Results = append(job.Results, record.Item)
		s.serial++
	}
	s.bytes += item.size() - before
}

// note takes a record in and reports whether the item has its result by it.
func (i *ItemState) note(record ItemRecord) bool {
	i.Failures += record.Failures
	i.ScorerFailures += record.ScorerFailures
	i.Ends += record.Ends
	if record.Reset {
		i.Text, i.Events, i.LastEvent, i.Versions, i.Whole = "", 0, "", nil, false
	}
	follows := record.Events == i.Events
	if follows {
		i.take(record)
	}
	switch {
	case record.Result == ResultErrored:
	case record.Result == ResultCompleted && follows && i.Whole:
		i.Score = record.Score
	default:
		return false
	}
	i.Result = record.Result
	i.dropRequest()
	return true
}

func (i *ItemState) take(record ItemRecord) {
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
	i.Whole = i.Whole || record.Whole
}

// union gives both sets, sorted, without changing either.
func union(a, b []uint64) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

func (s *State) forget(ids []string) {
	for _, id := range ids {
		job := s.jobs[id]
		if job == nil {
			continue
		}
		for _, item := range job.Items {
			if s.latest[item.Item.ID].job == id {
				delete(s.latest, item.Item.ID)
			}
		}
		s.bytes -= job.size()
		delete(s.jobs, id)
		s.jobSerial++
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

// Page is a part of a job's results.
type Page struct {
	Total   int          `cbor:"1,keyasint"`
	Results []ResultView `cbor:"2,keyasint,omitempty"`
	// Next is the position after the last result of the page.
	Next  int  `cbor:"3,keyasint"`
	Ended bool `cbor:"4,keyasint,omitempty"`
}

// Page gives results from a position on: at least one if there is one, and
// then as many as fit into the given bytes of text.
func (j *Job) Page(from, maxBytes int) Page {
	page := Page{Total: len(j.Items), Next: max(0, min(from, len(j.Results))), Ended: j.Ended}
	bytes := 0
	for _, index := range j.Results[page.Next:] {
		item := &j.Items[index]
		bytes += len(item.Text) + len(item.Score) + len(item.Item.ID) + resultOverhead
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

// resultOverhead is about what a result's encoding needs beside its text.
const resultOverhead = 128

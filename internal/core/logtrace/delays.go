package logtrace

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
)

// Events that Delays reads.
const (
	eventJobAccepted      = "job.accepted"
	eventJobEnded         = "job.ended"
	eventWeightsPublished = "weights.published"
)

// Delay splits the time of one step of a trainer, from the acceptance of its job to that
// of the next one, into consecutive parts. They and Unexplained add up to Total. Times
// are in milliseconds.
type Delay struct {
	Model string `json:"model"`
	Step  uint64 `json:"step"`
	Job   string `json:"job"`
	// AcceptedAt is the Unix time at which the job was stored, Accept the duration of storing it.
	AcceptedAt int64 `json:"kept"`
	Accept     int64 `json:"accept_ms"`
	// StartDelay is the time until a runner started the job.
	StartDelay int64 `json:"taken_over_ms"`
	// FirstWait, LaterWaits, Ran, Unused and Scored are the times of the item Deciding, the
	// one that completed enough groups for the client to stop waiting.
	FirstWait  int64  `json:"first_wait_ms"`
	LaterWaits int64  `json:"later_waits_ms"`
	Ran        int64  `json:"ran_ms"`
	Unused     int64  `json:"unused_ms"`
	Scored     int64  `json:"scored_ms"`
	Deciding   string `json:"deciding_item"`
	// Read is the time until the client ended the job.
	Read int64 `json:"read_ms"`
	// PublishDelay is the time from the job's end until the next version was published,
	// NextJobDelay the time from then until the next job was stored. Both are 0 for a
	// model's last job.
	PublishDelay int64 `json:"named_ms"`
	NextJobDelay int64 `json:"asked_ms"`
	// Total is the time until the next job, or until the end of this one if it is the last; 0
	// if neither is known.
	Total int64 `json:"total_ms"`
	// Unexplained is the rest, caused by waits between two runs of the item that the
	// runner's line does not report, or by missing lines.
	Unexplained int64 `json:"unexplained_ms"`
	Whole       bool  `json:"whole"`
	Refused     int64 `json:"refused"`
	Cut         int64 `json:"cut"`
	Items       int64 `json:"items"`
}

// Delays returns the steps of all models in the order in which their jobs were stored.
func Delays(lines []Line) []Delay {
	jobs := map[string]*Delay{}
	done, ended := map[string]Line{}, map[string]int64{}
	published := map[string][]int64{} // times of published versions by model
	for _, line := range lines {
		id := line.field("id")
		switch line.Event {
		case eventJobAccepted:
			if stored := jobs[id]; stored == nil || line.Time < stored.AcceptedAt {
				jobs[id] = newDelay(line)
			}
		case EventJobDone:
			if line.field("ended") == "true" {
				done[id] = line
			}
		case eventJobEnded:
			if at, found := ended[id]; !found || line.Time < at {
				ended[id] = line.Time
			}
		case eventWeightsPublished:
			published[line.field("model")] = append(published[line.field("model")], line.Time)
		}
	}
	delays := make([]Delay, 0, len(jobs))
	for id, line := range done {
		if jobs[id] == nil {
			jobs[id] = delayOfRunner(line)
		}
	}
	for id, job := range jobs {
		job.addJobDone(done[id], ended[id])
		delays = append(delays, *job)
	}
	slices.SortFunc(delays, func(a, b Delay) int {
		return cmp.Or(cmp.Compare(a.AcceptedAt, b.AcceptedAt), cmp.Compare(a.Job, b.Job))
	})
	addNextJobs(delays, ended, published)
	return delays
}

func newDelay(line Line) *Delay {
	step, _ := strconv.ParseUint(line.field("step"), 10, 64)
	return &Delay{
		Model: line.field("model"), Step: step, Job: line.field("id"), AcceptedAt: line.Time, Accept: line.number("took"),
		Items: line.number("items"),
	}
}

// delayOfRunner returns the step of a job whose acceptance is in no line: it begins when the
// runner started the job.
func delayOfRunner(done Line) *Delay {
	step, _ := strconv.ParseUint(done.field("step"), 10, 64)
	return &Delay{
		Model: done.field("model"), Step: step, Job: done.field("id"), AcceptedAt: done.Time - done.number("took_ms"),
		Items: done.number("items"),
	}
}

// addJobDone sets the parts that come from the runner's line and from the time at which the
// job ended.
func (d *Delay) addJobDone(done Line, ended int64) {
	if done.Event == "" {
		return
	}
	startedAt := done.Time - done.number("took_ms")
	d.StartDelay = max(0, startedAt-d.AcceptedAt)
	d.FirstWait, d.LaterWaits = done.number("deciding_first_wait_ms"), done.number("deciding_later_waits_ms")
	d.Ran, d.Unused, d.Scored = done.number("deciding_ran_ms"), done.number("deciding_unused_ms"), done.number("deciding_scored_ms")
	d.Deciding, d.Refused, d.Cut = done.field("deciding_item"), done.number("refused"), done.number("cut")
	complete := neededComplete(done)
	d.Whole = complete > 0
	if d.Whole && ended > 0 {
		d.Read = max(0, ended-startedAt-complete)
	}
}

// neededComplete returns when the groups that the client waits for were complete, 0 if never.
// Earlier builds log only when nine tenths of all groups were.
func neededComplete(done Line) int64 {
	if done.field("whole_desired_ms") == "" {
		return done.number("whole_90_ms")
	}
	return done.number("whole_desired_ms")
}

// delaySources are the processes whose lines Delays needs.
var delaySources = []struct{ process, event, parts string }{
	{"front", eventJobAccepted, "accepting and starting a job"},
	{"front", eventJobEnded, "reading the results"},
	{"store", EventJobDone, "waiting, running and scoring"},
	{"control", eventWeightsPublished, "publishing the next version"},
}

// MissingSources returns a sentence for each kind of line that Delays needs and that is not
// among the lines, with the parts of a step that are unknown without it.
func MissingSources(lines []Line) []string {
	present := map[string]bool{}
	for _, line := range lines {
		present[line.Event] = true
	}
	var missing []string
	for _, source := range delaySources {
		if !present[source.event] {
			missing = append(missing, fmt.Sprintf("no %s line of a %s process: the times of %s are not known", source.event, source.process, source.parts))
		}
	}
	return missing
}

// addNextJobs sets the parts that depend on the next job of the same model.
func addNextJobs(delays []Delay, ended map[string]int64, published map[string][]int64) {
	next := map[string]*Delay{}
	for i := len(delays) - 1; i >= 0; i-- {
		d := &delays[i]
		end := ended[d.Job]
		if after := next[d.Model]; after != nil {
			d.Total = after.AcceptedAt - d.AcceptedAt
			if at, found := firstBetween(published[d.Model], end, after.AcceptedAt); found && end > 0 {
				d.PublishDelay, d.NextJobDelay = at-end, after.AcceptedAt-at
			}
		} else if end > 0 {
			d.Total = end - d.AcceptedAt
		}
		next[d.Model] = d
		if d.Total == 0 {
			continue
		}
		d.Unexplained = d.Total - (d.StartDelay + d.FirstWait + d.LaterWaits + d.Ran + d.Unused + d.Scored + d.Read + d.PublishDelay + d.NextJobDelay)
	}
}

// firstBetween returns the first of the times in the inclusive range.
func firstBetween(times []int64, from, to int64) (int64, bool) {
	for _, at := range times {
		if at >= from && at <= to {
			return at, true
		}
	}
	return 0, false
}

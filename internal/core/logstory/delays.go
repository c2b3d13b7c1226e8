package logstory

import (
	"cmp"
	"slices"
	"strconv"
)

// Events that delays are made of.
const (
	eventJobAccepted      = "job.accepted"
	eventJobEnded         = "job.ended"
	eventWeightsPublished = "weights.published"
)

// Delay is where the time of one step of a trainer went, from when its job was kept until the
// next one was: the parts follow each other and add up to Total, but for Unexplained.
// Milliseconds.
type Delay struct {
	Model string `json:"model"`
	Step  uint64 `json:"step"`
	Job   string `json:"job"`
	// Kept is when a front had the job kept, in milliseconds since 1970, and Accept how long
	// that took before.
	Kept   int64 `json:"kept"`
	Accept int64 `json:"accept_ms"`
	// TakenOver is until the runner had the job.
	TakenOver int64 `json:"taken_over_ms"`
	// FirstWait, LaterWaits, Ran, Unused and Scored are of the item that made so many groups
	// whole that the client likely waited for no more: Deciding.
	FirstWait  int64  `json:"first_wait_ms"`
	LaterWaits int64  `json:"later_waits_ms"`
	Ran        int64  `json:"ran_ms"`
	Unused     int64  `json:"unused_ms"`
	Scored     int64  `json:"scored_ms"`
	Deciding   string `json:"deciding_item"`
	// Read is until the client ended the job.
	Read int64 `json:"read_ms"`
	// Named is until the next version was published, Asked from then until the next job was
	// kept. Both are 0 for a model's last job.
	Named int64 `json:"named_ms"`
	Asked int64 `json:"asked_ms"`
	// Total is from the job to the next one, or to the end of this one if there is none.
	Total int64 `json:"total_ms"`
	// Unexplained is what the parts leave: waits of the runner between two runs of the item
	// that its line does not show, or lines that are missing.
	Unexplained int64 `json:"unexplained_ms"`
	Whole       bool  `json:"whole"`
	Refused     int64 `json:"refused"`
	Cut         int64 `json:"cut"`
	Items       int64 `json:"items"`
}

// Delays gives the steps of all models in the order in which they were kept.
func Delays(lines []Line) []Delay {
	jobs := map[string]*Delay{}
	done, ended := map[string]Line{}, map[string]int64{}
	named := map[string][]int64{} // by model, the times of published versions
	for _, line := range lines {
		id := line.field("id")
		switch line.Event {
		case eventJobAccepted:
			if held := jobs[id]; held == nil || line.Time < held.Kept {
				jobs[id] = keptOf(line)
			}
		case EventJobDone:
			if line.field("ended") == "true" {
				done[id] = line
			}
		case eventJobEnded:
			if at, known := ended[id]; !known || line.Time < at {
				ended[id] = line.Time
			}
		case eventWeightsPublished:
			named[line.field("model")] = append(named[line.field("model")], line.Time)
		}
	}
	delays := make([]Delay, 0, len(jobs))
	for id, job := range jobs {
		job.work(done[id], ended[id])
		delays = append(delays, *job)
	}
	slices.SortFunc(delays, func(a, b Delay) int { return cmp.Or(cmp.Compare(a.Kept, b.Kept), cmp.Compare(a.Job, b.Job)) })
	follow(delays, ended, named)
	return delays
}

func keptOf(line Line) *Delay {
	step, _ := strconv.ParseUint(line.field("step"), 10, 64)
	return &Delay{
		Model: line.field("model"), Step: step, Job: line.field("id"), Kept: line.Time, Accept: line.number("took"),
		Items: line.number("items"),
	}
}

// work takes over what the runner and the end of the job tell.
func (d *Delay) work(done Line, ended int64) {
	if done.Event == "" {
		return
	}
	begun := done.Time - done.number("took_ms")
	d.TakenOver = max(0, begun-d.Kept)
	d.FirstWait, d.LaterWaits = done.number("deciding_first_wait_ms"), done.number("deciding_later_waits_ms")
	d.Ran, d.Unused, d.Scored = done.number("deciding_ran_ms"), done.number("deciding_unused_ms"), done.number("deciding_scored_ms")
	d.Deciding, d.Refused, d.Cut = done.field("deciding_item"), done.number("refused"), done.number("cut")
	whole := done.number("whole_90_ms")
	d.Whole = whole > 0
	if d.Whole && ended > 0 {
		d.Read = max(0, ended-begun-whole)
	}
}

// follow joins each job with the next one of its model.
func follow(delays []Delay, ended map[string]int64, named map[string][]int64) {
	next := map[string]*Delay{}
	for i := len(delays) - 1; i >= 0; i-- {
		d := &delays[i]
		end := ended[d.Job]
		if after := next[d.Model]; after != nil {
			d.Total = after.Kept - d.Kept
			if at, found := between(named[d.Model], end, after.Kept); found && end > 0 {
				d.Named, d.Asked = at-end, after.Kept-at
			}
		} else if end > 0 {
			d.Total = end - d.Kept
		}
		next[d.Model] = d
		d.Unexplained = d.Total - (d.TakenOver + d.FirstWait + d.LaterWaits + d.Ran + d.Unused + d.Scored + d.Read + d.Named + d.Asked)
	}
}

// between gives the first of some times within two.
func between(times []int64, from, to int64) (int64, bool) {
	for _, at := range times {
		if at >= from && at <= to {
			return at, true
		}
	}
	return 0, false
}

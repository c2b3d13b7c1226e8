package logtrace

import (
	"cmp"
	"slices"
	"strconv"
)

// EventJobDone is the event of the line that summarizes a job.
const EventJobDone = "job.done"

// Step holds the figures of one job from the line of one runner. Times are in milliseconds
// since the runner started the job; 0 means never.
type Step struct {
	Job     string `json:"job"`
	Step    uint64 `json:"step"`
	Process string `json:"process"`
	// Started is the time at which the runner started the job, in Unix milliseconds.
	Started int64 `json:"begun"`
	// Ended reports whether the job itself ended, not only the runner's work on it.
	Ended       bool   `json:"ended"`
	Items       int64  `json:"items"`
	Runs        int64  `json:"runs"`
	LastPlaced  int64  `json:"last_placed_ms"`
	Whole50     int64  `json:"whole_50_ms"`
	Whole90     int64  `json:"whole_90_ms"`
	Whole100    int64  `json:"whole_100_ms"`
	Took        int64  `json:"took_ms"`
	LastItem    string `json:"last_item"`
	LastReplica string `json:"last_replica"`
	LastEvents  int64  `json:"last_events"`
	LastMoves   int64  `json:"last_moves"`
	LastWaited  int64  `json:"last_waited_ms"`
}

// Steps returns the jobs that runners finished, in order of their start.
func Steps(lines []Line) []Step {
	var steps []Step
	for _, line := range lines {
		if line.Event != EventJobDone {
			continue
		}
		took := line.number("took_ms")
		steps = append(steps, Step{
			Job: line.field("id"), Step: uint64(line.number("step")), Process: line.Process, Started: line.Time - took,
			Ended: line.field("ended") == "true", Items: line.number("items"), Runs: line.number("runs"),
			LastPlaced: line.number("last_placed_ms"), Whole50: line.number("whole_50_ms"), Whole90: line.number("whole_90_ms"),
			Whole100: line.number("whole_100_ms"), Took: took, LastItem: line.field("last_item"), LastReplica: line.field("last_replica"),
			LastEvents: line.number("last_events"), LastMoves: line.number("last_moves"), LastWaited: line.number("last_waited_ms"),
		})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.Started, b.Started) })
	return steps
}

// number returns a field as an integer, or 0 if it is not a number.
func (l Line) number(name string) int64 {
	value, err := strconv.ParseFloat(l.field(name), 64)
	if err != nil {
		return 0
	}
	return int64(value)
}

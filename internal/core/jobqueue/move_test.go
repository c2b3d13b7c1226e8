package jobqueue_test

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
)

func paced(id string, free int, pace time.Duration) jobqueue.Replica {
	paced := replica(id, free, 5)
	paced.Pace = pace
	return paced
}

func TestMovesSaveTime(t *testing.T) {
	const normal, slow = 40 * time.Millisecond, 60 * time.Millisecond
	run := func(index int, at string, pace time.Duration, remaining float64) jobqueue.Run {
		return jobqueue.Run{Item: item("j", index, jobqueue.Rank{}), Replica: at, Pace: pace, RemainingEvents: remaining}
	}
	needs := func(r jobqueue.Run, version uint64) jobqueue.Run {
		r.Item.MinVersion = version
		return r
	}
	for name, row := range map[string]struct {
		runs     []jobqueue.Run
		replicas []jobqueue.Replica
		want     []int
	}{
		"long run on a slow replica":          {[]jobqueue.Run{run(0, "s", slow, 50)}, []jobqueue.Replica{paced("f", 1, normal)}, []int{0}},
		"nearly complete":                     {[]jobqueue.Run{run(0, "s", slow, 5)}, []jobqueue.Replica{paced("f", 1, normal)}, nil},
		"only slightly slower":                {[]jobqueue.Run{run(0, "s", 44*time.Millisecond, 500)}, []jobqueue.Replica{paced("f", 1, normal)}, nil},
		"no free slot":                        {[]jobqueue.Run{run(0, "s", slow, 50)}, []jobqueue.Replica{paced("f", 0, normal)}, nil},
		"other replica is as slow":            {[]jobqueue.Run{run(0, "s", slow, 50)}, []jobqueue.Replica{paced("t", 1, slow)}, nil},
		"largest saving moves first":          {[]jobqueue.Run{run(0, "s", slow, 30), run(1, "s", slow, 90)}, []jobqueue.Replica{paced("f", 1, normal)}, []int{1}},
		"weights of the target are too old":   {[]jobqueue.Run{needs(run(0, "s", slow, 50), 6)}, []jobqueue.Replica{paced("f", 1, normal)}, nil},
		"stalled run":                         {[]jobqueue.Run{run(0, "s", time.Second, 2)}, []jobqueue.Replica{paced("t", 1, slow)}, []int{0}},
		"only its own replica has free slots": {[]jobqueue.Run{run(0, "s", 90*time.Millisecond, 50)}, []jobqueue.Replica{paced("s", 1, normal)}, nil},
	} {
		moves := jobqueue.Moves(row.runs, row.replicas)
		if len(moves) != len(row.want) {
			t.Errorf("%s: %v", name, moves)
			continue
		}
		for i, move := range moves {
			if move.Item.Key.Item != row.want[i] {
				t.Errorf("%s: item %d moves, want %d", name, move.Item.Key.Item, row.want[i])
			}
		}
	}
}

package sitestore

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
)

func quietRunner() *runner {
	logger := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	r := &runner{store: &Store{config: Config{Logger: logger, Recorder: noRecorder{}}}}
	r.leadership = newLeadership(context.Background(), 1, 1)
	return r
}

// endUnder lets a run of the item end with its replica.
func endUnder(r *runner, item *work, replica string, now time.Time) {
	item.placedAt = now
	r.noteReplica(runEvent{item: item, replica: replica, kind: runBroken, ended: true}, now)
}

// TestWithheldItems plays the ends of replicas under one item, by seconds.
func TestWithheldItems(t *testing.T) {
	at := func(second float64) time.Time { return bookTime.Add(time.Duration(second * float64(time.Second))) }
	type look struct {
		second   float64
		withheld bool
	}
	for name, row := range map[string]struct {
		earlier int
		ended   []float64 // each under another replica
		answers map[string]float64
		looks   []look
	}{
		"two replicas ended":                      {ended: []float64{1, 2}, looks: []look{{3, false}}},
		"three ended, then it is tried once":      {ended: []float64{1, 2, 3}, looks: []look{{3, true}, {5.9, true}, {6.1, false}, {6.2, false}}},
		"one of three had not":                    {ended: []float64{1, 2, 3}, answers: map[string]float64{"r1": 4}, looks: []look{{3, true}, {4.1, false}}},
		"one answered before its end only":        {ended: []float64{1, 2, 3}, answers: map[string]float64{"r1": 1.5}, looks: []look{{4, true}}},
		"those of an earlier leadership count":    {earlier: 2, ended: []float64{1}, looks: []look{{1, true}}},
		"with none left to try it stays for good": {earlier: 3, looks: []look{{0, true}, {3.1, false}}},
	} {
		t.Run(name, func(t *testing.T) {
			r := quietRunner()
			item := &work{key: jobqueue.Key{Job: "j"}, earlierEnds: row.earlier}
			r.works[item.key] = item
			for i, second := range row.ended {
				endUnder(r, item, fmt.Sprint("r", i), at(second))
			}
			for _, step := range row.looks {
				for replica, second := range row.answers {
					if step.second > second && second > 3 || second < 3 {
						other := &work{key: jobqueue.Key{Job: "j", Item: 1}, placedAt: at(second)}
						r.noteReplica(runEvent{item: other, replica: replica, kind: runWhole, answered: true}, at(second))
					}
				}
				if got := r.withhold(item, at(step.second)); got != step.withheld {
					t.Errorf("second %v: withheld %v, %d ends", step.second, got, r.ends(item))
				}
			}
		})
	}
}

// TestTrialsOfAnItemAreFew: each trial that ends a replica too is followed by a longer wait,
// the last one by none. A trial that no replica ran is not used up.
func TestItemTrials(t *testing.T) {
	r := quietRunner()
	item := &work{key: jobqueue.Key{Job: "j"}, earlierEnds: 3}
	r.works[item.key] = item
	runs := 0
	for step := range 1200 { // two minutes
		now := bookTime.Add(time.Duration(step) * 100 * time.Millisecond)
		if r.withhold(item, now) {
			continue
		}
		if runs++; runs == 1 {
			item.placedAt = now
			r.noteReplica(runEvent{item: item, replica: "full", kind: runRefused, answered: true}, now)
			continue
		}
		endUnder(r, item, fmt.Sprint("r", runs), now)
	}
	if runs != 3 || r.ends(item) != 5 {
		t.Errorf("%d runs, %d ends", runs, r.ends(item))
	}
	if kept, dirty := item.take(); !dirty || kept.Crashes != 2 {
		t.Errorf("the log is told of %d ends", kept.Crashes)
	}
}

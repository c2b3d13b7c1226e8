package localsite

import (
	"context"
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

const (
	// Model is what the trainer trains.
	Model = "captions"

	groups     = 4
	groupItems = 3
	// wanted is how many whole groups the trainer waits for.
	wanted    = 3
	readPause = 30 * time.Millisecond
	trainTime = 100 * time.Millisecond
	pageBytes = 1 << 20
	// firstVersion is what replicas start with.
	firstVersion = 1
)

// jobRecord is a job as its client saw it.
type jobRecord struct {
	submission jobstate.Submission
	results    []jobstate.ResultView
	// endedAt is when its end was acknowledged.
	endedAt time.Time
	// faults are what the client saw go wrong.
	faults []string
}

// Summary is what a trainer did.
type Summary struct {
	// Jobs were accepted and ended, Results read, Errored of them given up.
	Jobs    int `json:"jobs"`
	Results int `json:"results"`
	Errored int `json:"errored"`
	// Version is the newest published weight version.
	Version uint64 `json:"version"`
	// Slowest is the longest time from handing in a job to its wanted groups, in
	// milliseconds.
	SlowestMs int64 `json:"slowest_ms"`
}

// Train hands in one job after the other until the context ends, and gives what
// it did with what the audit found.
func (s *Site) Train(ctx context.Context) (Summary, []Violation) {
	summary := Summary{Version: firstVersion}
	var records []*jobRecord
	for step := uint64(0); ctx.Err() == nil; step++ {
		record := &jobRecord{submission: newJob(step, max(firstVersion, summary.Version-1))}
		records = append(records, record)
		began := time.Now()
		if !s.submit(ctx, record) || !s.readWanted(ctx, record) || !s.end(ctx, record) {
			break
		}
		summary.Jobs++
		summary.SlowestMs = max(summary.SlowestMs, record.endedAt.Sub(began).Milliseconds())
		if !pause(ctx, trainTime) || !s.publish(ctx, summary.Version+1) {
			break
		}
		summary.Version++
	}
	for _, record := range records {
		for _, result := range record.results {
			summary.Results++
			if result.Errored {
				summary.Errored++
			}
		}
	}
	return summary, audit(records, s.runs())
}

func (s *Site) runs() []run {
	var all []run
	for _, r := range s.replicas() {
		all = append(all, r.seen()...)
	}
	return all
}

// newJob makes a job of several groups.
func newJob(step, minVersion uint64) jobstate.Submission {
	job := jobstate.Submission{
		ID: fmt.Sprintf("job-%d", step), Host: host, Path: jobPrefix + "submit", Model: Model,
		MinVersion: minVersion, Desired: wanted, Step: step,
	}
	for group := range groups {
		for i := range groupItems {
			id := fmt.Sprintf("item-%d-%d-%d", step, group, i)
			job.Items = append(job.Items, jobstate.Item{
				ID: id, Path: jobPrefix + id, Group: fmt.Sprintf("group-%d-%d", step, group), Body: []byte("prompt"),
				Scorer: &jobstate.Scorer{ID: scorerID(id), Host: host, Path: scorePrefix + id},
			})
		}
	}
	return job
}

func scorerID(item string) string { return "score-" + item }

// until repeats a call until it succeeds; false means that the context ended.
func until(ctx context.Context, call func(context.Context) error) bool {
	for {
		attempt, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(attempt)
		cancel()
		if err == nil {
			return true
		}
		if !pause(ctx, readPause) {
			return false
		}
	}
}

func (s *Site) submit(ctx context.Context, record *jobRecord) bool {
	return until(ctx, func(ctx context.Context) error {
		_, err := s.jobs.Submit(ctx, &record.submission, routing.AllowedRegions{})
		return err
	})
}

// readWanted reads results until the wanted groups are whole.
func (s *Site) readWanted(ctx context.Context, record *jobRecord) bool {
	for !record.enough() {
		var page jobstate.Page
		read := until(ctx, func(ctx context.Context) error {
			read, found, err := s.jobs.Page(ctx, jobsapi.PageRequest{
				Job: record.submission.ID, WaitMillis: readPause.Milliseconds(), MaxBytes: pageBytes,
			})
			if err == nil && !found {
				record.fault("an accepted job is not known")
			}
			page = read
			return err
		})
		if !read || !pause(ctx, readPause) {
			return false
		}
		record.take(page)
	}
	return true
}

func (s *Site) end(ctx context.Context, record *jobRecord) bool {
	ended := until(ctx, func(ctx context.Context) error {
		_, err := s.jobs.End(ctx, jobsapi.EndRequest{Job: record.submission.ID})
		return err
	})
	if ended {
		record.endedAt = time.Now()
	}
	return ended
}

func (s *Site) publish(ctx context.Context, version uint64) bool {
	command := sitestate.Command{Weights: &sitestate.Weights{Model: Model, Version: version}}
	return until(ctx, func(ctx context.Context) error { return s.control(ctx, sitecontrol.Request{Command: &command}) })
}

func (r *jobRecord) fault(format string, arguments ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, arguments...))
}

// take compares a page from the first position on with what was read before.
func (r *jobRecord) take(page jobstate.Page) {
	for i, held := range r.results {
		if i >= len(page.Results) || !sameResult(held, page.Results[i]) {
			r.fault("position %d held %+v and changed", i, held)
			return
		}
	}
	r.results = page.Results
}

func sameResult(a, b jobstate.ResultView) bool {
	return a.ID == b.ID && a.Errored == b.Errored && a.Text == b.Text && a.Score == b.Score && fmt.Sprint(a.Versions) == fmt.Sprint(b.Versions)
}

// enough reports whether the wanted groups are whole: every item listed.
func (r *jobRecord) enough() bool {
	groupOf, listed := map[string]string{}, map[string]int{}
	for _, item := range r.submission.Items {
		groupOf[item.ID] = item.Group
	}
	whole := 0
	for _, result := range r.results {
		group := groupOf[result.ID]
		if listed[group]++; listed[group] == groupItems {
			whole++
		}
	}
	return whole >= r.submission.Desired
}

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
	// Model is the name of the trained model.
	Model = "captions"

	groupCount = 4
	groupSize  = 3
	// desiredGroups is the number of complete groups that the trainer waits for.
	desiredGroups = 3
	readPause     = 30 * time.Millisecond
	trainTime     = 100 * time.Millisecond
	pageBytes     = 1 << 20
	// firstVersion is the weight version that replicas start with.
	firstVersion = 1
)

// jobRecord holds a job and what its client observed.
type jobRecord struct {
	submission jobstate.Submission
	results    []jobstate.ResultView
	// endedAt is when the end of the job was acknowledged, zero before.
	endedAt time.Time
	// faults lists the violations that the client detected.
	faults []string
}

// Summary holds the figures of a trainer's run.
type Summary struct {
	// Jobs counts the completed jobs, Results the results read, and Errored those of
	// them that failed.
	Jobs    int `json:"jobs"`
	Results int `json:"results"`
	Errored int `json:"errored"`
	// Version is the newest published weight version.
	Version uint64 `json:"version"`
	// SlowestMs is the longest time from submitting a job until its end was
	// acknowledged, in milliseconds.
	SlowestMs int64 `json:"slowest_ms"`
}

// Train runs one job after another until ctx is done. It returns a summary and the
// violations found by the audit.
func (s *Site) Train(ctx context.Context) (Summary, []Violation) {
	summary := Summary{Version: firstVersion}
	var records []*jobRecord
	for step := uint64(0); ctx.Err() == nil; step++ {
		record := &jobRecord{submission: newJob(step, max(firstVersion, summary.Version-1))}
		records = append(records, record)
		started := time.Now()
		if !s.submit(ctx, record) || !s.readDesired(ctx, record) || !s.end(ctx, record) {
			break
		}
		summary.Jobs++
		summary.SlowestMs = max(summary.SlowestMs, record.endedAt.Sub(started).Milliseconds())
		if !sleep(ctx, trainTime) || !s.publish(ctx, summary.Version+1) {
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
		all = append(all, r.recordedRuns()...)
	}
	return all
}

// newJob returns a job of several groups.
func newJob(step, minVersion uint64) jobstate.Submission {
	job := jobstate.Submission{
		ID: fmt.Sprintf("job-%d", step), Host: host, Path: jobPrefix + "submit", Model: Model,
		MinVersion: minVersion, Desired: desiredGroups, Step: step,
	}
	for group := range groupCount {
		for i := range groupSize {
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

// retry repeats a call until it succeeds. It reports false if ctx is done first.
func retry(ctx context.Context, call func(context.Context) error) bool {
	for {
		attempt, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(attempt)
		cancel()
		if err == nil {
			return true
		}
		if !sleep(ctx, readPause) {
			return false
		}
	}
}

func (s *Site) submit(ctx context.Context, record *jobRecord) bool {
	return retry(ctx, func(ctx context.Context) error {
		_, err := s.jobs.Submit(ctx, &record.submission, routing.AllowedRegions{})
		return err
	})
}

// readDesired reads results until the desired number of groups is complete.
func (s *Site) readDesired(ctx context.Context, record *jobRecord) bool {
	for !record.desiredComplete() {
		var page jobstate.Page
		read := retry(ctx, func(ctx context.Context) error {
			read, found, err := s.jobs.Page(ctx, jobsapi.PageRequest{
				Job: record.submission.ID, WaitMillis: readPause.Milliseconds(), MaxBytes: pageBytes,
			})
			if err == nil && !found {
				record.addFault("an accepted job was not found")
			}
			page = read
			return err
		})
		if !read || !sleep(ctx, readPause) {
			return false
		}
		record.apply(page)
	}
	return true
}

func (s *Site) end(ctx context.Context, record *jobRecord) bool {
	ended := retry(ctx, func(ctx context.Context) error {
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
	return retry(ctx, func(ctx context.Context) error { return s.callControl(ctx, sitecontrol.Request{Command: &command}) })
}

func (r *jobRecord) addFault(format string, arguments ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, arguments...))
}

// apply replaces the results with those of a page that begins at the first position. It
// records a fault if a result that was read before is missing or has changed.
func (r *jobRecord) apply(page jobstate.Page) {
	for i, previous := range r.results {
		if i >= len(page.Results) || !sameResult(previous, page.Results[i]) {
			r.addFault("the result at position %d was %+v and has changed", i, previous)
			return
		}
	}
	r.results = page.Results
}

func sameResult(a, b jobstate.ResultView) bool {
	return a.ID == b.ID && a.Errored == b.Errored && a.Text == b.Text && a.Score == b.Score && fmt.Sprint(a.Versions) == fmt.Sprint(b.Versions)
}

// desiredComplete reports whether the desired number of groups is complete, that is, all
// their items are listed.
func (r *jobRecord) desiredComplete() bool {
	groupOf, listed := map[string]string{}, map[string]int{}
	for _, item := range r.submission.Items {
		groupOf[item.ID] = item.Group
	}
	complete := 0
	for _, result := range r.results {
		group := groupOf[result.ID]
		if listed[group]++; listed[group] == groupSize {
			complete++
		}
	}
	return complete >= r.submission.Desired
}

package localsite

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/core/jobstate"
)

func discardLogger() *log.Logger {
	return &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
}

// TestTrainHasNoViolations trains until some weights are loaded and requires that the audit
// finds no violation.
func TestTrainHasNoViolations(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	site, err := Start(ctx, 1, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	training, stop := context.WithCancel(ctx)
	go func() {
		defer stop()
		const wantLoads = 6
		for sleep(ctx, readPause) {
			loads := uint64(0)
			for _, engine := range site.engines {
				engine.mutex.Lock()
				loads += engine.orderCount
				engine.mutex.Unlock()
			}
			if loads >= wantLoads {
				return
			}
		}
	}()
	summary, violations := site.Train(training)
	if err := site.Close(); err != nil {
		t.Error(err)
	}
	for _, violation := range violations {
		t.Error(violation)
	}
	if summary.Jobs == 0 || summary.Results == 0 || summary.Version == firstVersion {
		t.Errorf("too little progress: %+v", summary)
	}
}

// validRecord returns the record of a job with one listed item.
func validRecord() *jobRecord {
	submission := newJob(1, 3)
	id := submission.Items[0].ID
	return &jobRecord{submission: submission, results: []jobstate.ResultView{{
		ID: id, Text: completeText(id), Versions: []uint64{3, 4}, Score: signatureOf(scorerID(id)),
	}}}
}

func TestAuditFindsViolations(t *testing.T) {
	now := time.Now()
	for _, row := range []struct {
		name    string
		corrupt func(*jobRecord) []run
		want    string
	}{
		{"valid", func(*jobRecord) []run { return nil }, ""},
		{"failed item", func(r *jobRecord) []run {
			r.results[0] = jobstate.ResultView{ID: r.results[0].ID, Errored: true}
			return nil
		}, ""},
		{"truncated text", func(r *jobRecord) []run { r.results[0].Text = r.results[0].Text[:4]; return nil }, "not the complete text"},
		{"duplicate event", func(r *jobRecord) []run {
			r.results[0].Text += "\n" + eventData(r.results[0].ID, textEvents)
			return nil
		}, "not the complete text"},
		{"score of another item", func(r *jobRecord) []run { r.results[0].Score = signatureOf("x"); return nil }, "score"},
		{"no version", func(r *jobRecord) []run { r.results[0].Versions = nil; return nil }, "lists no version"},
		{"old weights", func(r *jobRecord) []run { r.results[0].Versions = []uint64{2}; return nil }, "older"},
		{"listed twice", func(r *jobRecord) []run { r.results = append(r.results, r.results[0]); return nil }, "twice"},
		{"item of another job", func(r *jobRecord) []run { r.results[0].ID = "x"; return nil }, "not an item of it"},
		{"changed result", func(r *jobRecord) []run {
			changed := r.results[0]
			changed.Score = "other"
			r.apply(jobstate.Page{Results: []jobstate.ResultView{changed}})
			return nil
		}, "changed"},
		{"missing result", func(r *jobRecord) []run { r.apply(jobstate.Page{}); return nil }, "changed"},
		{"run without a job", func(*jobRecord) []run { return []run{{ID: "x", At: now}} }, "without having been submitted"},
		{"run after the end", func(r *jobRecord) []run {
			r.endedAt = now
			return []run{{ID: scorerID(r.results[0].ID), At: now.Add(cancelGrace + time.Second)}}
		}, "after the end"},
	} {
		record := validRecord()
		violations := audit([]*jobRecord{record}, row.corrupt(record))
		var messages []string
		for _, violation := range violations {
			messages = append(messages, violation.String())
		}
		if got := strings.Join(messages, "; "); (row.want == "") != (got == "") || !strings.Contains(got, row.want) {
			t.Errorf("%s: %q, want %q", row.name, got, row.want)
		}
	}
}

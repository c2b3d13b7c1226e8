package jobstate_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// log applies commands in order.
type log struct {
	t     testing.TB
	state *jobstate.State
	index uint64
}

func newLog(t testing.TB) *log { return &log{t: t, state: jobstate.New()} }

func (l *log) apply(command jobstate.Command) any {
	l.t.Helper()
	data, err := command.Encode()
	if err != nil {
		l.t.Fatal(err)
	}
	l.index++
	return l.state.Apply(l.index, data)
}

func (l *log) record(records ...jobstate.ItemRecord) {
	l.apply(jobstate.Command{Record: &jobstate.Record{Items: records}})
}

func submission(id string, items ...string) *jobstate.Submission {
	job := &jobstate.Submission{ID: id, Host: "h", Path: "/jobs/", Model: "m", MinVersion: 3}
	for _, item := range items {
		job.Items = append(job.Items, jobstate.Item{ID: item, Path: "/jobs/" + item, Body: []byte("body of " + item), Group: "g"})
	}
	return job
}

func text(job string, item, events int, pieces ...string) jobstate.ItemRecord {
	return jobstate.ItemRecord{Job: job, Item: item, Events: events, Text: pieces, LastEvent: fmt.Sprint(events + len(pieces)), Versions: []uint64{3}}
}

func TestAJobIsAcceptedOnce(t *testing.T) {
	l := newLog(t)
	if got := l.apply(jobstate.Command{Accept: submission("j", "a")}); got != jobstate.Accepted {
		t.Errorf("first: %v", got)
	}
	other := submission("j", "b", "c")
	if got := l.apply(jobstate.Command{Accept: other}); got != jobstate.AlreadyAccepted {
		t.Errorf("second: %v", got)
	}
	if job := l.state.Job("j"); len(job.Items) != 1 || job.Items[0].Item.ID != "a" {
		t.Errorf("%+v", job)
	}
}

func TestRecordAppendsOnlyContiguousText(t *testing.T) {
	l := newLog(t)
	l.apply(jobstate.Command{Accept: submission("j", "a")})
	l.record(text("j", 0, 0, "1", "2"))
	l.record(text("j", 0, 0, "1", "2")) // duplicate from a replaced runner
	l.record(text("j", 0, 5, "6"))      // gap
	l.record(text("j", 7, 0, "1"))      // unknown item
	l.record(text("nobody", 0, 0, "1")) // unknown job
	stale := text("j", 0, 1, "2", "3")  // overlaps the stored text
	stale.Complete = true
	l.record(stale)
	l.record(text("j", 0, 2, "3"))
	item := l.state.Job("j").Items[0]
	if item.Text != "1\n2\n3" || item.Events != 3 || item.LastEvent != "3" || item.Complete {
		t.Errorf("%+v", item)
	}
	l.record(jobstate.ItemRecord{Job: "j", Item: 0, Reset: true, Text: []string{"x"}, LastEvent: "1", Versions: []uint64{4}})
	if item = l.state.Job("j").Items[0]; item.Text != "x" || item.Events != 1 || !slices.Equal(item.Versions, []uint64{4}) {
		t.Errorf("after a reset: %+v", item)
	}
}

func TestResultRequiresCompleteText(t *testing.T) {
	l := newLog(t)
	l.apply(jobstate.Command{Accept: submission("j", "a", "b")})
	early := text("j", 0, 0, "1")
	early.Result, early.Score = jobstate.ResultCompleted, "s"
	l.record(early)
	if page := l.state.Job("j").Page(0, 1000); len(page.Results) != 0 {
		t.Errorf("completed with an incomplete text: %+v", page)
	}
	complete := text("j", 0, 1, "2")
	complete.Complete, complete.Result, complete.Score = true, jobstate.ResultCompleted, "s"
	l.record(complete)
	l.record(jobstate.ItemRecord{Job: "j", Item: 0, Events: 2, Result: jobstate.ResultErrored})
	l.record(jobstate.ItemRecord{Job: "j", Item: 1, Result: jobstate.ResultErrored})
	page := l.state.Job("j").Page(0, 1000)
	if len(page.Results) != 2 || page.Results[0].Text != "1\n2" || page.Results[0].Errored || page.Results[0].Score != "s" || !page.Results[1].Errored {
		t.Errorf("%+v", page)
	}
	if job := l.state.Job("j"); job.Items[0].Item.Body != nil || !job.Done() {
		t.Errorf("a finished item still has its body: %+v", job.Items[0])
	}
}

func TestPagesHoldAtLeastOneResult(t *testing.T) {
	l := newLog(t)
	l.apply(jobstate.Command{Accept: submission("j", "a", "b", "c")})
	for item := range 3 {
		done := text("j", item, 0, strings.Repeat("x", 500))
		done.Complete, done.Result = true, jobstate.ResultCompleted
		l.record(done)
	}
	for _, row := range []struct{ from, bytes, results, next int }{
		{0, 10, 1, 1}, {0, 1400, 2, 2}, {0, 1 << 20, 3, 3}, {2, 10, 1, 3}, {3, 10, 0, 3}, {9, 10, 0, 3}, {-1, 10, 1, 1},
	} {
		if page := l.state.Job("j").Page(row.from, row.bytes); len(page.Results) != row.results || page.Next != row.next || page.Total != 3 {
			t.Errorf("%+v: %d results, next %d", row, len(page.Results), page.Next)
		}
	}
}

func TestResubmittedItemReusesText(t *testing.T) {
	for name, row := range map[string]struct {
		change func(*jobstate.Submission)
		want   string
	}{
		"the same":          {func(*jobstate.Submission) {}, "1\n2"},
		"higher MinVersion": {func(s *jobstate.Submission) { s.MinVersion = 4 }, ""},
		"other model":       {func(s *jobstate.Submission) { s.Model = "n" }, ""},
		"other body":        {func(s *jobstate.Submission) { s.Items[0].Body = []byte("x") }, ""},
		"other path":        {func(s *jobstate.Submission) { s.Items[0].Path = "/x/" }, ""},
		"other item":        {func(s *jobstate.Submission) { s.Items[0].ID = "x" }, ""},
		"one version":       {func(s *jobstate.Submission) { s.OneVersion = true }, "1\n2"},
		"lower MinVersion":  {func(s *jobstate.Submission) { s.MinVersion = 1 }, "1\n2"},
	} {
		l := newLog(t)
		l.apply(jobstate.Command{Accept: submission("first", "a")})
		l.record(text("first", 0, 0, "1", "2"))
		l.apply(jobstate.Command{End: &jobstate.End{ID: "first"}})
		again := submission("second", "a")
		row.change(again)
		l.apply(jobstate.Command{Accept: again})
		if got := l.state.Job("second").Items[0].Text; got != row.want {
			t.Errorf("%s: %q, want %q", name, got, row.want)
		}
	}
}

func TestEndAndForgetJobs(t *testing.T) {
	l := newLog(t)
	l.apply(jobstate.Command{Accept: submission("j", "a")})
	for range 2 {
		if known := l.apply(jobstate.Command{End: &jobstate.End{ID: "j"}}); known != true {
			t.Error("ending the job returned false")
		}
	}
	if known := l.apply(jobstate.Command{End: &jobstate.End{ID: "x"}}); known != false {
		t.Error("ending an unknown job returned true")
	}
	l.apply(jobstate.Command{Forget: &jobstate.Forget{Jobs: []string{"j", "x"}}})
	if l.state.Job("j") != nil {
		t.Error("the job is still stored")
	}
}

// TestResultPositionsNeverChange checks that result positions never change and contain no item twice,
// whatever runners record, and that a snapshot preserves them.
func TestResultPositionsNeverChange(t *testing.T) {
	testkit.Check(t, 14, func(r *rapid.T) {
		l := newLog(t)
		items := []string{"a", "b", "c", "d"}
		l.apply(jobstate.Command{Accept: submission("j", items...)})
		var seen []jobstate.ResultView
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			record := jobstate.ItemRecord{
				Job: "j", Item: rapid.IntRange(0, len(items)).Draw(r, "item"), Events: rapid.IntRange(0, 4).Draw(r, "events"),
				Text:  rapid.SliceOfN(rapid.StringMatching("[a-z]"), 0, 3).Draw(r, "text"),
				Reset: rapid.IntRange(0, 5).Draw(r, "reset") == 0, Complete: rapid.Bool().Draw(r, "whole"), Versions: []uint64{3},
				Result: jobstate.Result(rapid.IntRange(0, 2).Draw(r, "result")),
			}
			if record.Reset {
				record.Events = 0
			}
			l.record(record)
			if rapid.IntRange(0, 9).Draw(r, "snapshot") == 0 {
				data, err := l.state.Snapshot().Bytes()
				if err != nil {
					r.Fatal(err)
				}
				counted := l.state.Bytes()
				l.state = jobstate.New()
				if err := l.state.Restore(data); err != nil {
					r.Fatal(err)
				}
				if counted != l.state.Bytes() || counted < len(data) {
					r.Fatalf("%d bytes counted incrementally, %d after restore, %d encoded", counted, l.state.Bytes(), len(data))
				}
			}
			page := l.state.Job("j").Page(0, 1<<20)
			if len(page.Results) < len(seen) {
				r.Fatalf("%d results, previously %d", len(page.Results), len(seen))
			}
			names := map[string]bool{}
			for i, result := range page.Results {
				if i < len(seen) && fmt.Sprint(result) != fmt.Sprint(seen[i]) {
					r.Fatalf("position %d changed from %v to %v", i, seen[i], result)
				}
				if names[result.ID] {
					r.Fatalf("%s is listed twice", result.ID)
				}
				names[result.ID] = true
			}
			seen = page.Results
		}
	})
}

// TestSnapshotIsPointInTime checks that a snapshot encoded later holds the state at the time
// of its capture.
func TestSnapshotIsPointInTime(t *testing.T) {
	testkit.Check(t, 15, func(r *rapid.T) {
		l := newLog(t)
		l.apply(jobstate.Command{Accept: submission("j", "a", "b", "c")})
		var captured []groupmember.Encoder
		var want [][]byte
		for range rapid.IntRange(1, 20).Draw(r, "steps") {
			at, err := l.state.Snapshot().Bytes()
			if err != nil {
				r.Fatal(err)
			}
			captured, want = append(captured, l.state.Snapshot()), append(want, at)
			l.record(jobstate.ItemRecord{
				Job: "j", Item: rapid.IntRange(0, 2).Draw(r, "item"), Events: rapid.IntRange(0, 3).Draw(r, "events"),
				Text: rapid.SliceOfN(rapid.StringMatching("[a-z]"), 0, 2).Draw(r, "text"), Complete: rapid.Bool().Draw(r, "whole"),
				Versions: []uint64{rapid.Uint64Range(3, 5).Draw(r, "version")}, Failures: rapid.IntRange(0, 1).Draw(r, "failures"),
				Result: jobstate.Result(rapid.IntRange(0, 2).Draw(r, "result")),
			})
		}
		l.apply(jobstate.Command{End: &jobstate.End{ID: "j"}})
		l.apply(jobstate.Command{Forget: &jobstate.Forget{Jobs: []string{"j"}}})
		for i, encode := range captured {
			if got, err := encode.Bytes(); err != nil || !bytes.Equal(got, want[i]) {
				r.Fatalf("snapshot %d differs from the captured state: %v", i, err)
			}
		}
	})
}

// benchmarkJob returns a job with 116 items in groups of four.
func benchmarkJob(id string) *jobstate.Submission {
	job := submission(id)
	for i := range 116 {
		job.Items = append(job.Items, jobstate.Item{ID: fmt.Sprint(id, "-", i), Path: "/jobs/x", Body: make([]byte, 600), Group: fmt.Sprint(i / 4)})
	}
	return job
}

func BenchmarkAccept(b *testing.B) {
	l := newLog(b)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		id := fmt.Sprint("j", n)
		l.apply(jobstate.Command{Accept: benchmarkJob(id)})
		l.apply(jobstate.Command{Forget: &jobstate.Forget{Jobs: []string{id}}})
	}
}

func BenchmarkAppend(b *testing.B) {
	l := newLog(b)
	l.apply(jobstate.Command{Accept: benchmarkJob("j")})
	piece := strings.Repeat("x", 260)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%64 == 0 {
			l.record(jobstate.ItemRecord{Job: "j", Reset: true})
		}
		l.record(text("j", 0, n%64, piece))
	}
}

func BenchmarkPage(b *testing.B) {
	l := newLog(b)
	l.apply(jobstate.Command{Accept: benchmarkJob("j")})
	for item := range 116 {
		done := text("j", item, 0, strings.Repeat("x", 4700))
		done.Complete, done.Result = true, jobstate.ResultCompleted
		l.record(done)
	}
	job := l.state.Job("j")
	b.ReportAllocs()
	for b.Loop() {
		job.Page(100, 1<<20)
	}
}

// TestSnapshotBufferDoesNotGrow checks that encoding a snapshot does not grow its buffer,
// which would hold a large state in memory several times.
func TestSnapshotBufferDoesNotGrow(t *testing.T) {
	l := newLog(t)
	job := submission("j", "a", "b", "c")
	for i := range job.Items {
		job.Items[i].Body, job.Items[i].Headers = make([]byte, 20_000), []jobstate.Header{{Name: "n", Value: strings.Repeat("v", 500)}}
	}
	l.apply(jobstate.Command{Accept: job})
	for i := range job.Items {
		l.record(jobstate.ItemRecord{Job: "j", Item: i, Text: []string{strings.Repeat("text ", 30_000)}, Versions: []uint64{3}})
	}
	var buffer bytes.Buffer
	if err := l.state.Snapshot()(&buffer); err != nil {
		t.Fatal(err)
	}
	if limit := buffer.Len() * 11 / 10; buffer.Cap() > limit {
		t.Errorf("buffer of %d bytes for a snapshot of %d bytes", buffer.Cap(), buffer.Len())
	}
}

// TestBytesTracksState checks Bytes over the life of a job.
func TestBytesTracksState(t *testing.T) {
	l := newLog(t)
	var before int
	checkGrowth := func(what string, want bool) {
		t.Helper()
		if grew := l.state.Bytes() > before; grew != want {
			t.Errorf("%s: %d bytes, previously %d", what, l.state.Bytes(), before)
		}
		before = l.state.Bytes()
	}
	l.apply(jobstate.Command{Accept: submission("j", "a", "b")})
	checkGrowth("accepted job", true)
	l.record(text("j", 0, 0, strings.Repeat("x", 1000)))
	checkGrowth("text", true)
	l.record(jobstate.ItemRecord{Job: "j", Item: 0, Events: 1, Complete: true, Result: jobstate.ResultCompleted})
	checkGrowth("result, which frees the request", false)
	l.apply(jobstate.Command{Accept: submission("k", "c")})
	checkGrowth("second job", true)
	l.apply(jobstate.Command{End: &jobstate.End{ID: "j"}})
	checkGrowth("ended job", false)
	l.apply(jobstate.Command{Forget: &jobstate.Forget{Jobs: []string{"j", "k"}}})
	if l.state.Bytes() != 0 {
		t.Errorf("%d bytes without jobs", l.state.Bytes())
	}
}

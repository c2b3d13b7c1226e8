package jobstate_test

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// encoded returns a snapshot of a state.
func encoded(t *rapid.T, state *jobstate.State) []byte {
	var buffer bytes.Buffer
	if err := state.Snapshot()(&buffer); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

// drawCommand returns a command on few jobs and items, so that they meet again.
func drawCommand(t *rapid.T) jobstate.Command {
	job := rapid.SampledFrom([]string{"j", "k", "l", "m"})
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0, 1:
		items := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3).Draw(t, "items")
		accepted := submission(job.Draw(t, "job"), items...)
		accepted.MinVersion = rapid.Uint64Range(3, 4).Draw(t, "oldest version")
		return jobstate.Command{Accept: accepted}
	case 2, 3:
		record := text(job.Draw(t, "job"), rapid.IntRange(0, 2).Draw(t, "item"), rapid.IntRange(0, 2).Draw(t, "events"),
			fmt.Sprint("text ", rapid.IntRange(0, 9).Draw(t, "text")))
		record.Versions = []uint64{rapid.Uint64Range(3, 4).Draw(t, "version")}
		record.Complete = rapid.Bool().Draw(t, "complete")
		record.Result = rapid.SampledFrom([]jobstate.Result{jobstate.ResultNone, jobstate.ResultCompleted, jobstate.ResultErrored}).Draw(t, "result")
		return jobstate.Command{Record: &jobstate.Record{Items: []jobstate.ItemRecord{record}}}
	case 4:
		return jobstate.Command{End: &jobstate.End{ID: job.Draw(t, "job")}}
	default:
		return jobstate.Command{Forget: &jobstate.Forget{Jobs: rapid.SliceOfN(job, 1, 2).Draw(t, "jobs")}}
	}
}

// TestMembersWithAndWithoutSnapshotAgree guards against two members that differ after the
// same commands because one of them restored a snapshot in between.
func TestMembersWithAndWithoutSnapshotAgree(t *testing.T) {
	testkit.Check(t, 31, func(t *rapid.T) {
		kept, restored := jobstate.New(), jobstate.New()
		for index := range rapid.Uint64Range(1, 25).Draw(t, "commands") {
			data, err := drawCommand(t).Encode()
			if err != nil {
				t.Fatal(err)
			}
			if one, other := kept.Apply(index+1, data), restored.Apply(index+1, data); one != other {
				t.Fatalf("command %d: outcome %v without a snapshot, %v with one", index+1, one, other)
			}
			if rapid.Bool().Draw(t, "restore") {
				snapshot := encoded(t, restored)
				restored = jobstate.New()
				if err := restored.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
			}
			if !bytes.Equal(encoded(t, kept), encoded(t, restored)) || kept.Bytes() != restored.Bytes() {
				t.Fatalf("the states differ after command %d: %d and %d bytes", index+1, kept.Bytes(), restored.Bytes())
			}
			for _, job := range kept.Jobs() {
				other := restored.Job(job.Submission.ID)
				if !reflect.DeepEqual(job.NeededGroups(), other.NeededGroups()) {
					t.Fatalf("job %s after command %d: the needed groups differ", job.Submission.ID, index+1)
				}
			}
		}
	})
}

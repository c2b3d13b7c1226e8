package sitestate_test

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// decodeRecorded decodes a file written by an earlier build.
func decodeRecorded(t *testing.T, build, name string, into any) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata/formats", build, name))
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(data, into); err != nil {
		t.Fatalf("%s of %s: %v", name, build, err)
	}
}

// TestDecodeFormatsOfEarlierBuilds checks that entries, snapshot and update recorded
// by earlier builds decode to the same state, field by field.
func TestDecodeFormatsOfEarlierBuilds(t *testing.T) {
	builds, err := os.ReadDir("testdata/formats")
	if err != nil || len(builds) == 0 {
		t.Fatalf("%d builds recorded, %v", len(builds), err)
	}
	for _, build := range builds {
		var entries [][]byte
		var snapshot []byte
		var update sitestate.Update
		decodeRecorded(t, build.Name(), "entries.cbor", &entries)
		decodeRecorded(t, build.Name(), "snapshot.cbor", &snapshot)
		decodeRecorded(t, build.Name(), "update.cbor", &update)
		applied, restored := sitestate.New(), sitestate.New()
		for i, entry := range entries {
			if outcome := applied.Apply(uint64(i+1), entry); outcome == sitestate.OutcomeMalformed {
				t.Errorf("%s: entry %d is malformed", build.Name(), i)
			}
		}
		if err := restored.Restore(snapshot); err != nil {
			t.Fatalf("%s: snapshot: %v", build.Name(), err)
		}
		var byEntries, bySnapshot, byUpdate *sitestate.View
		byEntries = byEntries.Apply(applied.Update(0, sitestate.InterestAll))
		bySnapshot = bySnapshot.Apply(restored.Update(0, sitestate.InterestAll))
		byUpdate = byUpdate.Apply(update)
		compareViews(t, build.Name()+", snapshot", byEntries, bySnapshot)
		compareViews(t, build.Name()+", update", byEntries, byUpdate)
		if !restored.HasLeft("i-3") || !applied.HasLeft("i-3") {
			t.Errorf("%s: the departure of a replica is lost", build.Name())
		}
		if restored.Level() != applied.Level() || restored.Level() > sitestate.LevelNewest {
			t.Errorf("%s: level %d from the snapshot, %d from the entries", build.Name(), restored.Level(), applied.Level())
		}
	}
}

// compareViews reports each field in which two views differ.
func compareViews(t *testing.T, name string, a, b *sitestate.View) {
	t.Helper()
	sorted := func(view *sitestate.View) []sitestate.Replica { return view.Update().Replicas }
	if !reflect.DeepEqual(sorted(a), sorted(b)) {
		t.Errorf("%s: Replicas: %+v and %+v", name, sorted(a), sorted(b))
	}
	first, second := reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem()
	for i := range first.NumField() {
		field := first.Type().Field(i).Name
		if slices.Contains([]string{"Replicas", "ByService", "Quarantine"}, field) {
			continue // compared above, or derived from other fields
		}
		if !reflect.DeepEqual(first.Field(i).Interface(), second.Field(i).Interface()) {
			t.Errorf("%s: %s: %+v and %+v", name, field, first.Field(i), second.Field(i))
		}
	}
}

// TestUnknownCommandIsMalformed checks that an entry with unknown fields only is
// reported as malformed and changes nothing.
func TestUnknownCommandIsMalformed(t *testing.T) {
	state := sitestate.New()
	later, err := cbor.Marshal(map[int]any{999: map[int]any{1: "x"}})
	if err != nil {
		t.Fatal(err)
	}
	if got := state.Apply(1, later); got != sitestate.OutcomeMalformed || state.Position() != 0 {
		t.Errorf("outcome %v, position %d", got, state.Position())
	}
}

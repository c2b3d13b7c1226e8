package engine

import (
	"reflect"
	"testing"

	"github.com/loomgrade/loomgrade/internal/port"
)

func TestReportListsServedStagedAndLoaded(t *testing.T) {
	load := Load{
		Weights:  Weights{Version: 3},
		Staged:   []Weights{{Version: 4}, {Version: 5}, {Adapter: "notes", Version: 8}},
		Staging:  []Weights{{Version: 6}, {Adapter: "notes", Version: 9}, {Adapter: "summaries", Version: 2}},
		Adapters: map[string]port.WeightVersion{"notes": 7},
	}
	report := load.Report()
	if report.Version != 3 || report.Staged != 5 || report.Staging != 6 {
		t.Errorf("base model: %+v", report)
	}
	want := []port.AdapterVersion{
		{Name: "notes", Version: 7, Staged: 8, Staging: 9},
		{Name: "summaries", Staging: 2},
	}
	if !reflect.DeepEqual(report.Adapters, want) {
		t.Errorf("adapters %+v, want %+v", report.Adapters, want)
	}
	if report.StagingVersion("") != 6 || report.StagingVersion("notes") != 9 || report.StagingVersion("other") != 0 {
		t.Errorf("loads %d, %d, %d", report.StagingVersion(""), report.StagingVersion("notes"), report.StagingVersion("other"))
	}
	if loaded := report.LoadedAdapters(); len(loaded) != 1 || loaded[0] != "notes" {
		t.Errorf("loaded %v", loaded)
	}
}

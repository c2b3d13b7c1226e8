package home_test

import (
	"reflect"
	"slices"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/port"
)

func TestServingCountsEveryPoolThatSharesAReplica(t *testing.T) {
	pools := []port.Pool{
		{Name: "lm"}, {Name: "notes", ReplicasOf: "lm", Adapter: "notes"},
		{Name: "summaries", ReplicasOf: "lm", Adapter: "summaries"}, {Name: "pages"},
	}
	reporting := func(notes port.WeightVersion) *home.Record {
		record := newEngineRecord()
		record.ApplyReport(at(1), at(1), port.LoadReport{
			Version: 3, Adapters: []port.AdapterVersion{{Name: "notes", Version: notes}, {Name: "summaries", Staged: 9}},
		})
		return record
	}
	page := &home.Record{Replica: port.Replica{ID: "p1", Pool: "pages"}}
	records := []*home.Record{reporting(7), reporting(7), reporting(8), newEngineRecord(), page}
	want := []port.ServingCount{
		{Pool: "lm", Version: 0, Replicas: 1}, {Pool: "lm", Version: 3, Replicas: 3},
		{Pool: "notes", Version: 0, Replicas: 1}, {Pool: "notes", Version: 7, Replicas: 2}, {Pool: "notes", Version: 8, Replicas: 1},
		{Pool: "summaries", Version: 0, Replicas: 4},
	}
	if got := home.ServingCounts(at(2), pools, slices.Values(records)); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

var start = time.Unix(1_000_000, 0)

func newChooser() *placement.Chooser { return placement.New(rand.New(rand.NewPCG(1, 2))) }

func zone(replicas ...port.ReplicaID) []scheduling.Candidate {
	var candidates []scheduling.Candidate
	for _, id := range replicas {
		candidates = append(candidates, scheduling.Candidate{Replica: id, Version: 3, Limit: 4})
	}
	return candidates
}

func TestLocal(t *testing.T) {
	cases := []struct {
		name    string
		request scheduling.Request
		tried   []port.ReplicaID
		modify  func(candidates []scheduling.Candidate)
		want    port.ReplicaID
	}{
		{"a tried replica is avoided", scheduling.Request{}, []port.ReplicaID{"a"}, nil, "b"},
		{"a tried replica is better than none", scheduling.Request{}, []port.ReplicaID{"a", "b"},
			func(c []scheduling.Candidate) { c[0].Leaving = true }, "b"},
		{"an excluded replica is never chosen", scheduling.Request{Exclude: []port.ReplicaID{"a", "b"}}, nil, nil, ""},
		{"a full replica is better than none", scheduling.Request{Exclude: []port.ReplicaID{"b"}}, nil,
			func(c []scheduling.Candidate) { c[0].Inflight = 9 }, "a"},
		{"all versions too old", scheduling.Request{MinVersion: 4}, nil, nil, ""},
		{"an adapter's version is not checked", scheduling.Request{MinVersion: 4, Adapter: "x"}, nil,
			func(c []scheduling.Candidate) { c[1].Adapters = []string{"x"} }, "b"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			candidates := zone("a", "b")
			if testCase.modify != nil {
				testCase.modify(candidates)
			}
			chosen, _, refusal := newChooser().Local(start, testCase.request, testCase.tried, candidates)
			if testCase.want == "" {
				if refusal == nil || refusal.Verdict != port.NotRun {
					t.Errorf("chose %d, refusal %v", chosen, refusal)
				}
				return
			}
			if refusal != nil || candidates[chosen].Replica != testCase.want {
				t.Errorf("chose %d, refusal %v", chosen, refusal)
			}
		})
	}
}

func TestZone(t *testing.T) {
	cases := []struct {
		name      string
		zones     []placement.ZoneCapacity
		free      float64
		noReplica bool
		want      bool
	}{
		{"no other zone", nil, 0, true, false},
		{"no routable replica in the other zone", []placement.ZoneCapacity{{FreePerReplica: 9}}, 0, true, false},
		{"few more free slots", []placement.ZoneCapacity{{Routable: 1, FreePerReplica: 2}}, 1, false, false},
		{"many more free slots", []placement.ZoneCapacity{{Routable: 1, FreePerReplica: 3}}, 1, false, true},
		{"no replica in this zone", []placement.ZoneCapacity{{Routable: 1, FreePerReplica: -5}}, 0, true, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			if _, crosses := newChooser().Zone(testCase.zones, testCase.free, testCase.noReplica); crosses != testCase.want {
				t.Errorf("crosses zones: %v", crosses)
			}
		})
	}
}

// Requests sent and finished after a report correct it; those in the report are not
// counted twice.
func TestCountsCorrectOldReport(t *testing.T) {
	counts := placement.CountsAtReport{}.Update(start, placement.Counts{Sent: 10, Finished: 8})
	counts = counts.Update(start.Add(time.Microsecond), placement.Counts{Sent: 12, Finished: 9})
	candidate := scheduling.Candidate{Running: 5}
	now := start.Add(time.Second)
	candidate = counts.Apply(now, start, candidate, placement.Counts{Sent: 12, Finished: 9})
	// 3 are in flight, of which the report counted 2; the other 3 of its 5 are from others.
	if got := candidate.Load(); got != 6 || candidate.ReportAge != time.Second {
		t.Errorf("load %d of %+v", got, candidate)
	}
}

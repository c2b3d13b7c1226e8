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
		spoil   func(candidates []scheduling.Candidate)
		want    port.ReplicaID
	}{
		{"the tried one is kept off", scheduling.Request{}, []port.ReplicaID{"a"}, nil, "b"},
		{"a tried one is better than none", scheduling.Request{}, []port.ReplicaID{"a", "b"},
			func(c []scheduling.Candidate) { c[0].Leaving = true }, "b"},
		{"an excluded one is not", scheduling.Request{Exclude: []port.ReplicaID{"a", "b"}}, nil, nil, ""},
		{"a full one is better than none", scheduling.Request{Exclude: []port.ReplicaID{"b"}}, nil,
			func(c []scheduling.Candidate) { c[0].Inflight = 9 }, "a"},
		{"older versions", scheduling.Request{MinVersion: 4}, nil, nil, ""},
		{"the home knows an adapter's versions", scheduling.Request{MinVersion: 4, Adapter: "x"}, nil,
			func(c []scheduling.Candidate) { c[1].Adapters = []string{"x"} }, "b"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			candidates := zone("a", "b")
			if testCase.spoil != nil {
				testCase.spoil(candidates)
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
		name   string
		offers []placement.Offer
		room   float64
		none   bool
		want   bool
	}{
		{"none elsewhere", nil, 0, true, false},
		{"nothing routable elsewhere", []placement.Offer{{Room: 9}}, 0, true, false},
		{"little more room", []placement.Offer{{Routable: 1, Room: 2}}, 1, false, false},
		{"much more room", []placement.Offer{{Routable: 1, Room: 3}}, 1, false, true},
		{"no replica here", []placement.Offer{{Routable: 1, Room: -5}}, 0, true, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			if _, better := newChooser().Zone(testCase.offers, testCase.room, testCase.none); better != testCase.want {
				t.Errorf("crosses: %v", better)
			}
		})
	}
}

// What was sent after a report, and what ended, corrects it; what it counts
// already isn't counted twice.
func TestMarkCorrectsALateReport(t *testing.T) {
	mark := placement.Mark{}.Follow(start, placement.Counts{Sent: 10, Finished: 8})
	mark = mark.Follow(start.Add(time.Microsecond), placement.Counts{Sent: 12, Finished: 9})
	candidate := scheduling.Candidate{Running: 5}
	now := start.Add(time.Second)
	candidate = mark.Correct(now, start, candidate, placement.Counts{Sent: 12, Finished: 9})
	// In flight 3, of which the report counted 2; 3 of its 5 are others'.
	if got := candidate.Load(); got != 6 || candidate.ReportAge != time.Second {
		t.Errorf("load %d of %+v", got, candidate)
	}
}

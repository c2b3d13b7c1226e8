package scheduling

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

func TestFilters(t *testing.T) {
	tests := map[string]struct {
		filter    Filter
		request   Request
		candidate Candidate
		want      bool
	}{
		"healthy":                        {Health{}, Request{}, Candidate{}, true},
		"ejected":                        {Health{}, Request{}, Candidate{Ejected: true}, false},
		"probing and idle":               {Health{}, Request{}, Candidate{Probing: true}, true},
		"probing with a probe in flight": {Health{}, Request{}, Candidate{Probing: true, Inflight: 1}, false},
		"leaving":                        {Leaving{}, Request{}, Candidate{Leaving: true}, false},
		"not leaving":                    {Leaving{}, Request{}, Candidate{}, true},
		"draining":                       {Draining{}, Request{}, Candidate{Draining: true}, false},
		"role unknown":                   {Role{}, Request{}, Candidate{}, true},
		"decode for all phases":          {Role{}, Request{}, Candidate{Role: port.RoleDecode}, false},
		"decode for decode":              {Role{}, Request{Role: port.RoleDecode}, Candidate{Role: port.RoleDecode}, true},
		"both for prefill":               {Role{}, Request{Role: port.RolePrefill}, Candidate{Role: port.RoleBoth}, true},
		"prefill for decode":             {Role{}, Request{Role: port.RoleDecode}, Candidate{Role: port.RolePrefill}, false},
		"version as required":            {Version{}, Request{MinVersion: 7}, Candidate{Version: 7}, true},
		"version too old":                {Version{}, Request{MinVersion: 7}, Candidate{Version: 6, Staged: 7}, false},
		"version unknown, none required": {Version{}, Request{}, Candidate{Version: 9, VersionUnknown: true}, false},
		"no adapter required":            {Adapter{}, Request{}, Candidate{}, true},
		"adapter loaded":                 {Adapter{}, Request{Adapter: "a"}, Candidate{Adapters: []string{"b", "a"}}, true},
		"adapter missing":                {Adapter{}, Request{Adapter: "a"}, Candidate{Adapters: []string{"b"}}, false},
		"below limit":                    {Limit{}, Request{}, Candidate{Limit: 2, Inflight: 1}, true},
		"at limit":                       {Limit{}, Request{}, Candidate{Limit: 2, Inflight: 2}, false},
		"no limit":                       {Limit{}, Request{}, Candidate{Inflight: 99}, true},
		"tried before":                   {Excluded{}, Request{Exclude: []port.ReplicaID{"x"}}, Candidate{Replica: "x"}, false},
		"not tried before":               {Excluded{}, Request{Exclude: []port.ReplicaID{"x"}}, Candidate{Replica: "y"}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.filter.Keep(&test.request, &test.candidate); got != test.want {
				t.Errorf("%s: keep %v, want %v", test.filter.Name(), got, test.want)
			}
		})
	}
}

// drawCandidates draws replicas in random states.
func drawCandidates(t *rapid.T) []Candidate {
	candidates := make([]Candidate, rapid.IntRange(0, 12).Draw(t, "count"))
	for index := range candidates {
		flag := func(name string) bool { return rapid.IntRange(0, 4).Draw(t, name) == 0 }
		candidates[index] = Candidate{
			Replica: port.ReplicaID(rune('a' + index)), Version: port.WeightVersion(rapid.IntRange(0, 3).Draw(t, "version")),
			VersionUnknown: flag("unknown"), Draining: flag("draining"), Leaving: flag("leaving"),
			Ejected: flag("ejected"), Probing: flag("probing"),
			Inflight: rapid.IntRange(0, 4).Draw(t, "inflight"), Limit: rapid.IntRange(0, 4).Draw(t, "limit"),
			Running: rapid.IntRange(0, 9).Draw(t, "running"), ReportAge: time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second,
		}
	}
	return candidates
}

// No profile may pick a replica that the required filters drop, each must pick one if
// any remains, and the counts must add up.
func TestEveryProfileAppliesRequiredFilters(t *testing.T) {
	names := []string{ProfileGeneration, ProfileApplication, ProfileRoundRobin, ProfileRandom, ProfileLeastInflight, ProfileTwoChoices}
	for _, name := range names {
		profile, found := ProfileByName(name)
		if !found {
			t.Fatalf("no profile %s", name)
		}
		scheduler := New(profile)
		testkit.Check(t, 11, func(t *rapid.T) {
			candidates := drawCandidates(t)
			request := Request{MinVersion: 2, Exclude: []port.ReplicaID{"b"}, Record: true}
			random := rand.New(rand.NewPCG(1, uint64(len(candidates))))
			result := scheduler.Pick(&request, candidates, random)
			allowed := allowedReplicas(candidates)
			if result.Chosen < 0 && len(allowed) > 0 {
				t.Fatalf("%s: none chosen, %v allowed", name, allowed)
			}
			if result.Chosen >= 0 && !slices.Contains(allowed, candidates[result.Chosen].Replica) {
				t.Fatalf("%s: chose %+v, allowed %v", name, candidates[result.Chosen], allowed)
			}
			filtered := 0
			for _, count := range result.Filtered {
				filtered += count.Count
			}
			if result.Considered != len(candidates) || filtered+len(allowed) != len(candidates) {
				t.Fatalf("%s: considered %d, filtered %d, allowed %d of %d", name, result.Considered, filtered, len(allowed), len(candidates))
			}
		})
	}
	if _, found := ProfileByName("best"); found {
		t.Error("an unknown profile was found")
	}
}

// allowedReplicas computes the allowed replicas independently of the filters.
func allowedReplicas(candidates []Candidate) []port.ReplicaID {
	var allowed []port.ReplicaID
	for _, c := range candidates {
		dropped := c.Leaving || c.Draining || c.VersionUnknown || c.Version < 2 || c.Replica == "b"
		dropped = dropped || c.Probing && c.Inflight > 0 || c.Ejected && !c.Probing
		dropped = dropped || c.Limit > 0 && c.Inflight >= c.Limit
		if !dropped {
			allowed = append(allowed, c.Replica)
		}
	}
	return allowed
}

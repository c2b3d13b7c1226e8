package scheduling

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

func seededRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// replicas returns healthy replicas with various loads.
func replicas(count int) []Candidate {
	candidates := make([]Candidate, count)
	for index := range candidates {
		candidates[index] = Candidate{
			Replica: port.ReplicaID(fmt.Sprintf("lm-%04d", index)), Zone: "a", Version: 5,
			Inflight: index % 7, Running: index % 5, Limit: 16, KVUsed: index % 90, KVTotal: 100,
		}
	}
	return candidates
}

func TestPickers(t *testing.T) {
	loads := func(inflight ...int) []Candidate {
		candidates := make([]Candidate, len(inflight))
		for index, count := range inflight {
			candidates[index] = Candidate{Inflight: count, Limit: 10}
		}
		return candidates
	}
	// latencies returns replicas from pairs of requests in flight and latency in ms.
	latencies := func(pairs ...int) []Candidate {
		candidates := make([]Candidate, len(pairs)/2)
		for index := range candidates {
			candidates[index].Inflight = pairs[2*index]
			candidates[index].Latency = time.Duration(pairs[2*index+1]) * time.Millisecond
			candidates[index].Running = 50 // requests of others, ignored
		}
		return candidates
	}
	tests := map[string]struct {
		picker Picker
		loads  []Candidate
		scores []float64
		// counts are the expected picks of 6000, within a tenth.
		counts []int
	}{
		"highest score":                 {HighestScore{}, loads(0, 0, 0), []float64{1, 3, 2}, []int{0, 6000, 0}},
		"ties are split evenly":         {HighestScore{}, loads(0, 0, 0), []float64{3, 1, 3}, []int{3000, 0, 3000}},
		"two choices":                   {TwoChoices{}, loads(0, 1, 2), []float64{0, 0, 0}, []int{4000, 2000, 0}},
		"two choices, ties by score":    {TwoChoices{}, loads(1, 1), []float64{0, 1}, []int{0, 6000}},
		"two choices of one":            {TwoChoices{}, loads(1), []float64{0}, []int{6000}},
		"latency of two, idle":          {LowerLatencyOfTwo{}, latencies(0, 9, 0, 1, 0, 5), []float64{0, 0, 0}, []int{0, 4000, 2000}},
		"latency of two, in flight":     {LowerLatencyOfTwo{}, latencies(3, 2, 1, 9), []float64{0, 0}, []int{6000, 0}},
		"latency of two, one unknown":   {LowerLatencyOfTwo{}, latencies(1, 1, 0, 0), []float64{0, 0}, []int{0, 6000}},
		"latency of two, ties by score": {LowerLatencyOfTwo{}, latencies(1, 1, 1, 1), []float64{0, 1}, []int{0, 6000}},
		"higher score of two":           {HigherScoreOfTwo{}, loads(0, 0, 0), []float64{1, 3, 2}, []int{0, 4000, 2000}},
		"least in flight":               {LeastInflight{}, loads(2, 1, 1), []float64{0, 0, 0}, []int{0, 3000, 3000}},
		"random":                        {Random{}, loads(9, 0, 0), []float64{0, 0, 0}, []int{2000, 2000, 2000}},
		"round robin":                   {&RoundRobin{}, loads(9, 0, 0), []float64{0, 0, 0}, []int{2000, 2000, 2000}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := seededRand()
			scored := make([]Scored, len(test.scores))
			for index, score := range test.scores {
				scored[index] = Scored{Index: index, Score: score}
			}
			counts := make([]int, len(scored))
			for range 6000 {
				counts[test.picker.Pick(test.loads, scored, random)]++
			}
			for index, want := range test.counts {
				if difference := counts[index] - want; difference > want/10 || difference < -want/10 {
					t.Errorf("picks %v, want about %v", counts, test.counts)
				}
			}
		})
	}
}

func TestGenerationWeighsLoadAgainstPrefix(t *testing.T) {
	scheduler := New(Generation())
	request := Request{PrefixHashes: []uint64{1, 2}, Prefix: fixedPrefix{"cached": 2}, Record: true}
	pick := func(cachedInflight int) port.ReplicaID {
		candidates := []Candidate{
			{Replica: "cached", Inflight: cachedInflight, Limit: 10},
			{Replica: "idle", Limit: 10},
		}
		return candidates[scheduler.Pick(&request, candidates, seededRand()).Chosen].Replica
	}
	if got := pick(5); got != "cached" {
		t.Errorf("half loaded, prefix cached: picked %s", got)
	}
	if got := pick(8); got != "idle" {
		t.Errorf("nearly full, prefix cached: picked %s", got)
	}
}

func TestRecordHoldsBestScores(t *testing.T) {
	candidates := replicas(8)
	candidates[0].Draining = true
	candidates[1].Ejected = true
	request := Request{Zone: "a", Record: true}
	result := New(Generation()).Pick(&request, candidates, seededRand())
	if len(result.Scores) != recordedScores || result.Considered != 8 || len(result.Filtered) != 2 {
		t.Fatalf("record %+v", result)
	}
	if result.Scores[0].Replica != candidates[result.Chosen].Replica {
		t.Errorf("best score is of %s, chosen %s", result.Scores[0].Replica, candidates[result.Chosen].Replica)
	}
	for index, score := range result.Scores {
		total := 0.0
		for _, part := range score.Parts {
			total += part.Value
		}
		if total != score.Total || len(score.Parts) != 4 {
			t.Errorf("score %d: parts %v do not add up to %v", index, score.Parts, score.Total)
		}
		if index > 0 && score.Total > result.Scores[index-1].Total {
			t.Errorf("scores are not in order: %v", result.Scores)
		}
	}
}

func TestRejectionHasFilterCounts(t *testing.T) {
	result := New(Application()).Pick(&Request{}, []Candidate{{Leaving: true}, {Limit: 1, Inflight: 1}}, seededRand())
	want := []port.FilterCount{{Filter: FilterLeaving, Count: 1}, {Filter: FilterLimit, Count: 1}}
	if result.Chosen != -1 || len(result.Filtered) != 2 || result.Filtered[0] != want[0] || result.Filtered[1] != want[1] {
		t.Errorf("result %+v, want none chosen and %v", result, want)
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	for _, profile := range []Profile{Generation(), Application()} {
		scheduler, candidates, random := New(profile), replicas(250), seededRand()
		request := &Request{Zone: "a"}
		scheduler.Pick(request, candidates, random)
		// A garbage collection may empty the sync.Pool.
		if mean := testing.AllocsPerRun(1000, func() { scheduler.Pick(request, candidates, random) }); mean >= 1 && !raceEnabled {
			t.Errorf("%s: %v allocations per pick, want none", profile.Name, mean)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, name := range []string{ProfileGeneration, ProfileApplication, ProfileLeastInflight} {
		for _, count := range []int{10, 250, 3500} {
			b.Run(fmt.Sprintf("%s/%d", name, count), func(b *testing.B) {
				profile, _ := ProfileByName(name)
				scheduler, candidates, random := New(profile), replicas(count), seededRand()
				request := &Request{Zone: "a", PromptTokens: 500, MaxTokens: 500}
				b.ReportAllocs()
				for b.Loop() {
					scheduler.Pick(request, candidates, random)
				}
			})
		}
	}
}

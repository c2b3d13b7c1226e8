package scheduling

import (
	"math"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

func TestLoadIsCorrectedForLag(t *testing.T) {
	tests := map[string]struct {
		candidate Candidate
		want      int
	}{
		"no load":                              {Candidate{}, 0},
		"own requests in the report":           {Candidate{Running: 3, Inflight: 3}, 3},
		"own requests sent after the report":   {Candidate{Running: 0, Inflight: 4, SentSinceReport: 4}, 4},
		"own and others":                       {Candidate{Running: 5, Waiting: 2, Inflight: 3}, 7},
		"others, own sent after the report":    {Candidate{Running: 5, Inflight: 4, SentSinceReport: 4}, 9},
		"own finished after the report":        {Candidate{Running: 5, Inflight: 1, FinishedSinceReport: 4}, 1},
		"own sent and finished after it":       {Candidate{Running: 5, Inflight: 3, SentSinceReport: 2, FinishedSinceReport: 4}, 3},
		"report too old":                       {Candidate{Running: 50, Inflight: 1, ReportAge: 11 * time.Second}, 1},
		"report shows fewer than own inflight": {Candidate{Running: 1, Inflight: 6}, 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.candidate.Load(); got != test.want {
				t.Errorf("load %d, want %d", got, test.want)
			}
		})
	}
}

type fixedPrefix map[port.ReplicaID]int

func (f fixedPrefix) Match(_ []uint64, replica port.ReplicaID) int { return f[replica] }

func TestScorers(t *testing.T) {
	prompt := Request{PrefixHashes: []uint64{1, 2, 3, 4}, Prefix: fixedPrefix{"half": 2, "all": 4}}
	kv := KVHeadroomScorer{BlockTokens: 10}
	tests := map[string]struct {
		scorer    Scorer
		request   Request
		candidate Candidate
		want      float64
	}{
		"no load":                      {LoadScorer{}, Request{}, Candidate{Limit: 4}, 1},
		"half loaded":                  {LoadScorer{}, Request{}, Candidate{Limit: 4, Inflight: 2}, 0.5},
		"over the limit":               {LoadScorer{}, Request{}, Candidate{Limit: 4, Running: 9}, 0},
		"without limit":                {LoadScorer{}, Request{}, Candidate{Inflight: 1}, 0.5},
		"prefix half cached":           {PrefixScorer{}, prompt, Candidate{Replica: "half"}, 0.5},
		"prefix cached":                {PrefixScorer{}, prompt, Candidate{Replica: "all"}, 1},
		"prefix not cached":            {PrefixScorer{}, prompt, Candidate{Replica: "none"}, 0},
		"no prompt":                    {PrefixScorer{}, Request{}, Candidate{}, 0},
		"same zone":                    {ZoneScorer{}, Request{Zone: "a", Region: "r"}, Candidate{Zone: "a", Region: "r"}, 1},
		"same region":                  {ZoneScorer{}, Request{Zone: "a", Region: "r"}, Candidate{Zone: "b", Region: "r"}, 0.5},
		"other region":                 {ZoneScorer{}, Request{Zone: "a", Region: "r"}, Candidate{Zone: "b", Region: "s"}, 0},
		"no cache":                     {kv, Request{PromptTokens: 50}, Candidate{}, 1},
		"free after this request":      {kv, Request{PromptTokens: 100, MaxTokens: 100}, Candidate{KVTotal: 100, KVUsed: 30}, 0.5},
		"free after those in flight":   {kv, Request{PromptTokens: 100}, Candidate{KVTotal: 100, InflightTokens: 400}, 0.5},
		"none free":                    {kv, Request{PromptTokens: 1000}, Candidate{KVTotal: 100, KVUsed: 30}, 0},
		"block size not set, no panic": {KVHeadroomScorer{}, Request{PromptTokens: 50}, Candidate{KVTotal: 100}, 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.scorer.Score(&test.request, &test.candidate); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("%s: score %v, want %v", test.scorer.Name(), got, test.want)
			}
		})
	}
}

package decision

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

func TestExplain(t *testing.T) {
	tests := map[string]struct {
		decision port.Decision
		want     string
	}{
		"request placed": {
			port.Decision{
				Kind: port.DecisionPlaced, Subject: "r-n1-7", Node: "n1", Replica: "caption-3", Revision: 12, Attempt: 1,
				Detail: "it had the highest score", Considered: 8,
				Filtered: []port.FilterCount{{Filter: "draining", Count: 1}, {Filter: "at limit", Count: 1}},
				Scores:   []port.ReplicaScore{{Replica: "caption-3", Total: 3.5, Parts: []port.ScorePart{{Scorer: "load", Value: 3}, {Scorer: "prefix", Value: 0.5}}}},
			},
			"00:00:01.500 Request r-n1-7 was placed on caption-3 because it had the highest score. " +
				"8 replicas considered, 2 filtered out: draining 1, at limit 1. Best scores: caption-3 3.50 (load 3.00, prefix 0.50). " +
				"This was attempt 1. Decided by n1 under configuration revision 12.",
		},
		"request refused": {
			port.Decision{Kind: port.DecisionRefused, Subject: "r-n1-8", Code: port.CodeQueueFull, Verdict: port.NotRun, Detail: "the queue of 64 is full"},
			"00:00:01.500 Request r-n1-8 was refused with queue_full (it did not run): the queue of 64 is full.",
		},
		"request retried": {
			port.Decision{Kind: port.DecisionRetried, Subject: "r-n1-9", Replica: "caption-1", Considered: 1},
			"00:00:01.500 Request r-n1-9 was retried after a failure on caption-1. 1 replica considered, none filtered out.",
		},
		"retried without a replica": {
			port.Decision{Kind: port.DecisionRetried, Subject: "s-lm-4-17", Detail: "no reward"},
			"00:00:01.500 Sample s-lm-4-17 was retried: no reward.",
		},
		"placed with the highest score": {
			port.Decision{Kind: port.DecisionPlaced, Subject: "r-n1-9", Replica: "lm-1", Scores: []port.ReplicaScore{{Replica: "lm-1", Total: 1}}},
			"00:00:01.500 Request r-n1-9 was placed on lm-1 because it had the highest score. Best scores: lm-1 1.00.",
		},
		"placed by draw": {
			port.Decision{Kind: port.DecisionPlaced, Subject: "r-n1-9", Replica: "lm-2", Scores: []port.ReplicaScore{{Replica: "lm-1", Total: 1}}},
			"00:00:01.500 Request r-n1-9 was placed on lm-2. Best scores: lm-1 1.00.",
		},
		"held": {
			port.Decision{Kind: port.DecisionHeld, Subject: "policy-lm", Detail: "its program failed"},
			"00:00:01.500 Policy policy-lm was held because its program failed.",
		},
		"answer unknown": {
			port.Decision{Kind: port.DecisionAnswered, Subject: "r-n1-9", Replica: "caption-1", Code: port.CodeBackEnd},
			"00:00:01.500 Request r-n1-9 was answered by caption-1 with back_end (it may have run).",
		},
		"sample with spans": {
			port.Decision{
				Kind: port.DecisionStale, Subject: "s-lm-4-17", Detail: "its oldest span is 3 versions old, and the bound is 2", Version: 9,
				Spans: []port.Span{{Version: 6, Tokens: 120}, {Version: 7, Tokens: 1}}, Related: []string{"batch/lm/4"},
			},
			"00:00:01.500 Sample s-lm-4-17 was dropped as stale because its oldest span is 3 versions old, and the bound is 2. " +
				"It holds 120 tokens from version 6, 1 token from version 7. Weight version: 9. See also batch/lm/4.",
		},
		"attempt":  {port.Decision{Kind: port.DecisionDelivered, Subject: "b-lm-4-1", Detail: "32 samples"}, "00:00:01.500 Batch b-lm-4-1 was delivered: 32 samples."},
		"batch":    {port.Decision{Kind: port.DecisionCommitted, Subject: "batch/lm/4"}, "00:00:01.500 Batch lm/4 was committed."},
		"replica":  {port.Decision{Kind: port.DecisionEjected, Subject: "replica/lm-1", Detail: "consecutive failures"}, "00:00:01.500 Replica lm-1 was ejected from routing: consecutive failures."},
		"revision": {port.Decision{Kind: port.DecisionRefused, Subject: "revision/12", Code: port.CodeConflict, Verdict: port.NotRun}, "00:00:01.500 Configuration revision 12 was refused with conflict (it did not run)."},
		"other":    {port.Decision{Kind: "odd", Subject: "x"}, "00:00:01.500 x had decision odd."},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.decision.Time = 1500
			got := Explain(test.decision.Subject, []port.Decision{test.decision})
			if len(got) != 1 || got[0] != test.want {
				t.Errorf("got  %q\nwant %q", got, test.want)
			}
		})
	}
	if got := Explain("r-n1-1", nil); len(got) != 1 || !strings.HasPrefix(got[0], "No decision about r-n1-1") {
		t.Errorf("without decisions: got %q", got)
	}
}

// The store stays within its memory limit, drops the oldest records and counts them.
func TestStoreIsBounded(t *testing.T) {
	testkit.Check(t, 71, func(t *rapid.T) {
		// The limit exceeds any single record; TestStoreDropsOversizedRecord covers larger ones.
		limit := rapid.IntRange(1500, 9000).Draw(t, "bound")
		store := NewStore(limit)
		added := rapid.IntRange(0, 80).Draw(t, "added")
		for index := range added {
			store.Add(port.Decision{
				Subject: fmt.Sprint("r-", rapid.IntRange(0, 5).Draw(t, "subject")), Time: int64(index),
				Detail: strings.Repeat("x", rapid.IntRange(0, 400).Draw(t, "detail")),
			})
			if store.Bytes() > limit {
				t.Fatalf("%d bytes, limit %d", store.Bytes(), limit)
			}
		}
		if store.Len()+int(store.Dropped()) != added {
			t.Fatalf("%d stored, %d dropped of %d", store.Len(), store.Dropped(), added)
		}
		recent := store.Recent(store.Len())
		bySubject := make(map[string][]port.Decision)
		for position, decision := range recent {
			if decision.Time != int64(added-len(recent)+position) {
				t.Fatalf("time %d at position %d of %d, added %d", decision.Time, position, len(recent), added)
			}
			bySubject[decision.Subject] = append(bySubject[decision.Subject], decision)
		}
		for subject, want := range bySubject {
			got := store.Get(subject)
			if len(got) != len(want) || got[0].Time != want[0].Time || got[len(got)-1].Time != want[len(want)-1].Time {
				t.Fatalf("%s: %d decisions, want %d", subject, len(got), len(want))
			}
		}
	})
}

func TestStoreDropsOversizedRecord(t *testing.T) {
	store := NewStore(600)
	store.Add(port.Decision{Subject: "r-1"})
	store.Add(port.Decision{Subject: "r-2", Detail: strings.Repeat("x", 1000)})
	if store.Dropped() != 1 || len(store.Get("r-1")) != 1 || store.Get("r-2") != nil {
		t.Errorf("dropped %d, stored %d", store.Dropped(), store.Len())
	}
	if len(store.Recent(-1)) != 0 || len(store.Recent(9)) != 1 {
		t.Error("Recent returns more or fewer decisions than the store holds")
	}
}

// Get returns for a sample also the decisions that committed or voided its batch.
func TestSamplesAreFoundByTheirBatches(t *testing.T) {
	store := NewStore(4000)
	store.Add(port.Decision{Kind: port.DecisionAnswered, Subject: "s-lm-1-1", Time: 1})
	store.Add(port.Decision{Kind: port.DecisionCommitted, Subject: "batch/lm/4", Time: 2, Related: []string{"s-lm-1-1", "s-lm-1-2"}})
	store.Add(port.Decision{Kind: port.DecisionDelivered, Subject: "batch/lm/4", Time: 3})
	store.Add(port.Decision{Kind: port.DecisionVoided, Subject: "batch/lm/4", Time: 4, Related: []string{"s-lm-1-2"}})
	for subject, want := range map[string][]int64{"s-lm-1-1": {1, 2}, "s-lm-1-2": {2, 4}, "batch/lm/4": {2, 3, 4}} {
		var times []int64
		for _, decision := range store.Get(subject) {
			times = append(times, decision.Time)
		}
		if !slices.Equal(times, want) {
			t.Errorf("%s: decisions %v, want %v", subject, times, want)
		}
	}
	lines := Explain("s-lm-1-1", store.Get("s-lm-1-1"))
	if last := lines[len(lines)-1]; last != "00:00:00.002 Batch lm/4 was committed." {
		t.Errorf("the sample's batch is explained as %q", last)
	}
	for index := range 50 {
		store.Add(port.Decision{Kind: port.DecisionPlaced, Subject: fmt.Sprint("r-", index)})
	}
	if decisions := store.Get("s-lm-1-2"); decisions != nil || len(store.bySubject) != store.Len() {
		t.Errorf("dropped records still indexed: %v, %d subjects for %d records", decisions, len(store.bySubject), store.Len())
	}
}

func BenchmarkAdd(b *testing.B) {
	store := NewStore(1 << 20)
	subjects := make([]string, 1000)
	for index := range subjects {
		subjects[index] = fmt.Sprint("r-n1-", index)
	}
	b.ReportAllocs()
	index := 0
	for b.Loop() {
		store.Add(port.Decision{Kind: port.DecisionPlaced, Subject: subjects[index%len(subjects)], Node: "n1", Replica: "lm-1"})
		index++
	}
}

package gate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// BenchmarkDecision is a whole decision: a request is offered, granted a place
// on one of the replicas, and released. A third of the prompts share a prefix.
func BenchmarkDecision(b *testing.B) {
	const shared, own = 24, 8
	for _, count := range []int{10, 250, 3500} {
		b.Run(fmt.Sprintf("%d replicas", count), func(b *testing.B) {
			replicas := make([]gate.Replica, count)
			for index := range replicas {
				replicas[index] = gate.Replica{
					ID: port.ReplicaID(fmt.Sprintf("lm-%d", index)), Zone: "a", ReportedAt: start,
					Report: port.LoadReport{Version: 3, Running: index % 5, KVUsed: index % 90, KVTotal: 100},
				}
			}
			under := newGate(16, 64, replicas...)
			prompts := make([][]uint64, 64)
			for prompt := range prompts {
				for block := range uint64(shared + own) {
					hash := uint64(prompt)<<32 | block
					if prompt%3 == 0 && block < shared {
						hash = block
					}
					prompts[prompt] = append(prompts[prompt], hash)
				}
			}
			now := start
			b.ReportAllocs()
			b.ResetTimer()
			for number := range b.N {
				now = now.Add(time.Millisecond)
				asked := &gate.Ticket{Request: gate.Request{
					ID: "request", Pick: scheduling.Request{Zone: "a", PromptTokens: 512, MaxTokens: 256, PrefixHashes: prompts[number%len(prompts)]},
				}}
				under.Offer(now, asked)
				if asked.State != gate.Granted {
					b.Fatalf("state %v: %v", asked.State, asked.Refusal)
				}
				under.Release(now, asked, gate.Outcome{Latency: time.Millisecond})
			}
		})
	}
}

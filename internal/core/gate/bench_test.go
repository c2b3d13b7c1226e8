package gate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// BenchmarkDecision offers, grants and releases one request. A third of the prompts
// share a prefix.
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
			g := newGate(16, 64, replicas...)
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
				offered := &gate.Ticket{Request: gate.Request{
					ID: "request", Scheduling: scheduling.Request{Zone: "a", PromptTokens: 512, MaxTokens: 256, PrefixHashes: prompts[number%len(prompts)]},
				}}
				g.Offer(now, offered)
				if offered.State != gate.Granted {
					b.Fatalf("state %v: %v", offered.State, offered.Refusal)
				}
				g.Release(now, offered, gate.Outcome{Latency: time.Millisecond})
			}
		})
	}
}

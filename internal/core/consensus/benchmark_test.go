package consensus

import (
	"fmt"
	"testing"
)

// BenchmarkReplicate commits entries on three members in one process, without disk or
// network.
func BenchmarkReplicate(b *testing.B) {
	payload := make([]byte, 256)
	for _, batch := range []int{1, 64} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			net := newNetwork(b, 3, nil)
			leader := net.elect()
			messages := 0
			net.filter = func(Message) bool { messages++; return true }
			b.ReportAllocs()
			for done := 0; b.Loop(); done++ {
				if _, _, err := net.node(leader).Propose(payload); err != nil {
					b.Fatal(err)
				}
				if done%batch == batch-1 {
					net.settle()
				}
				if done%4096 == 4095 {
					net.settle()
					net.compactAll()
				}
			}
			b.ReportMetric(float64(messages)/float64(b.N), "messages/commit")
		})
	}
}

// compactAll compacts the logs of all members, to limit the memory of a long benchmark.
func (net *network) compactAll() {
	for _, id := range net.order {
		member := net.members[id]
		member.state = nil
		snapshot, err := member.node.BuildSnapshot(member.node.Status().Applied, nil)
		if err == nil && member.node.Compact(snapshot) == nil {
			member.disk.install(snapshot)
		}
	}
	clear(net.history)
}

// BenchmarkRead compares lease reads with reads confirmed by a heartbeat round.
func BenchmarkRead(b *testing.B) {
	for _, rounds := range []bool{false, true} {
		b.Run(fmt.Sprintf("rounds=%v", rounds), func(b *testing.B) {
			net := newNetwork(b, 3, func(c *Config) { c.NoLeaseReads = rounds })
			leader := net.elect()
			messages, request := 0, uint64(0)
			net.filter = func(Message) bool { messages++; return true }
			b.ReportAllocs()
			for b.Loop() {
				request++
				if err := net.node(leader).ReadIndex(request); err != nil {
					b.Fatal(err)
				}
				net.settle()
			}
			b.ReportMetric(float64(messages)/float64(b.N), "messages/read")
			if got := len(net.members[leader].reads); got != int(request) {
				b.Errorf("%d answers to %d reads", got, request)
			}
		})
	}
}

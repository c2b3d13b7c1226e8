package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/loomgrade/loomgrade/internal/port"
)

// measuredTime is the virtual time over which bytes are counted.
const measuredTime = 10 * time.Second

// BenchmarkDetector runs one zone of n nodes in virtual time. It reports, per node and
// second, the messages, encoded bytes and processor time of a stable zone, and the bytes
// of the busiest node while the notices of a death spread.
func BenchmarkDetector(b *testing.B) {
	for _, size := range []int{20, 60, 200, 660} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			f := newFleet(size, 1)
			f.run(2 * measuredTime)
			quiet := f.maxBytesPerSecond(b)
			f.stopped[f.nodes[size/2]] = true
			death := f.maxBytesPerSecond(b)
			clear(f.sent)
			f.changes = nil // limits the memory, which would grow with b.N
			virtual := time.Duration(0)
			for b.Loop() {
				f.run(DefaultInterval)
				virtual += DefaultInterval
			}
			messages := 0
			for _, sent := range f.sent {
				messages += sent
			}
			nodeSeconds := virtual.Seconds() * float64(size)
			b.ReportMetric(float64(messages)/nodeSeconds, "messages/node/s")
			b.ReportMetric(quiet, "quiet-B/node/s")
			b.ReportMetric(death, "death-B/node/s")
			b.ReportMetric(b.Elapsed().Seconds()*1e6/nodeSeconds, "µs-CPU/node/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// maxBytesPerSecond runs the fleet and returns the encoded bytes per second of the node
// that sends most.
func (f *fleet) maxBytesPerSecond(b *testing.B) float64 {
	sent := make(map[port.NodeID]int)
	f.observe = func(envelope Envelope) {
		encoded, err := cbor.Marshal(envelope.Message)
		if err != nil {
			b.Fatal(err)
		}
		sent[envelope.Message.From] += len(encoded)
	}
	f.run(measuredTime)
	f.observe = nil
	maxSent := 0
	for _, bytes := range sent {
		maxSent = max(maxSent, bytes)
	}
	return float64(maxSent) / measuredTime.Seconds()
}

package engine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures one internal event of a loaded engine: a merged run of decode
// steps, their accounting and the next plan.
func BenchmarkStep(b *testing.B) {
	for _, batch := range []int{8, 32, 128} {
		b.Run(fmt.Sprint("batch=", batch), func(b *testing.B) {
			m := New(Config{MaxSequences: batch})
			submitted := 0
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				for m.InFlight() < batch+4 {
					submitted++
					request := Request{
						ID: fmt.Sprint(submitted), PromptTokens: 200,
						OutputTokens: 100 + submitted*37%900,
					}
					if err := m.Submit(now, request); err != nil {
						b.Fatal(err)
					}
				}
				now, _ = m.Next()
				m.Advance(now)
			}
			b.ReportMetric(float64(m.totals.Steps)/float64(b.N), "steps/op")
		})
	}
}

package sitestate_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// fleetOf returns a log with the given number of replicas, one fifth of them of another service.
func fleetOf(b *testing.B, replicas int) *log {
	l := newLog(b)
	for i := range replicas {
		l.apply(replicaNumber(i, 1))
	}
	return l
}

func replicaNumber(i int, sequence uint64) sitestate.Command {
	return sitestate.Command{Replica: &sitestate.Replica{
		ID: fmt.Sprint("i-", i), Service: fmt.Sprint("s", min(1, i%5)), Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Zone: fmt.Sprint("z", i%5),
		Slots: 6, Sequence: sequence, Models: []sitestate.ModelVersion{{Name: "m", Version: sequence}},
	}}
}

// BenchmarkViewAfterOneChange measures one update at an observer.
func BenchmarkViewAfterOneChange(b *testing.B) {
	for _, size := range []int{100, 1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			l := fleetOf(b, size)
			var view *sitestate.View
			view = view.Apply(l.state.Update(0, sitestate.InterestAll))
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				l.apply(replicaNumber(n%size, uint64(n+2)))
				n++
				view = view.Apply(l.state.Update(view.Position, sitestate.InterestAll))
			}
		})
	}
}

// BenchmarkUpdateEncoded measures encoding an update with the given number of changes.
func BenchmarkUpdateEncoded(b *testing.B) {
	for _, changes := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint(changes), func(b *testing.B) {
			l := fleetOf(b, 10_000)
			after := l.state.Position()
			for i := range changes {
				l.apply(replicaNumber(i, 9))
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := cbor.Marshal(l.state.Update(after, sitestate.InterestAll)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

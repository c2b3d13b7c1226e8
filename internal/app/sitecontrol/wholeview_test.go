package sitecontrol

import (
	"fmt"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// viewOf gives a view of so many replicas at a position.
func viewOf(position uint64, replicas int) *sitestate.View {
	update := sitestate.Update{Position: position, Full: true}
	for i := range replicas {
		update.Replicas = append(update.Replicas, sitestate.Replica{
			ID: fmt.Sprint("replica-", i), Service: "lm", Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Zone: "z", Model: "m",
		})
	}
	return (&sitestate.View{}).Apply(update)
}

// TestAWholeStateIsMadeOnceForAll: watchers that begin within a moment share one.
func TestFullViewIsCached(t *testing.T) {
	now := time.Now()
	steps := []struct {
		name     string
		position uint64
		after    time.Duration
		want     uint64
	}{
		{"the first", 10, 0, 10},
		{"one more", 10, time.Second, 10},
		{"the state goes on", 14, wholeFor - time.Millisecond, 10},
		{"it is old", 14, wholeFor, 14},
		{"the member joined anew, and is behind", 3, wholeFor, 3},
	}
	var whole wholeView
	var before []byte
	for _, step := range steps {
		packed, position, err := whole.get(viewOf(step.position, 3), now.Add(step.after))
		if err != nil || position != step.want {
			t.Fatalf("%s: position %d, %v", step.name, position, err)
		}
		if shared := before != nil && &packed[0] == &before[0]; shared != (step.want == 10 && step.name != "the first") {
			t.Errorf("%s: shared %v", step.name, shared)
		}
		before = packed
		var update sitestate.Update
		if err := wire.UnmarshalCompressed(packed, 1<<20, &update); err != nil || update.Position != step.want || len(update.Replicas) != 3 || !update.Full {
			t.Errorf("%s: %+v, %v", step.name, update, err)
		}
	}
}

// BenchmarkWholeState compares a state that is encoded for each watcher that begins with
// one that they share, at 130 replicas.
func BenchmarkFullView(b *testing.B) {
	view := viewOf(10, 130)
	b.Run("for each", func(b *testing.B) {
		for b.Loop() {
			if _, err := wire.MarshalCompressed(view.Update()); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("shared", func(b *testing.B) {
		var whole wholeView
		for b.Loop() {
			if _, _, err := whole.get(view, time.Time{}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

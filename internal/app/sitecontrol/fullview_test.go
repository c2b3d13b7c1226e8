package sitecontrol

import (
	"fmt"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// viewOf returns a view with a number of replicas at a position.
func viewOf(position uint64, replicas int) *sitestate.View {
	update := sitestate.Update{Position: position, Full: true}
	for i := range replicas {
		update.Replicas = append(update.Replicas, sitestate.Replica{
			ID: fmt.Sprint("replica-", i), Service: "lm", Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Zone: "z", Model: "m",
		})
	}
	return (&sitestate.View{}).Apply(update)
}

// Watchers that start within a short time share one packed view.
func TestFullViewIsCached(t *testing.T) {
	now := time.Now()
	steps := []struct {
		name     string
		position uint64
		after    time.Duration
		want     uint64
	}{
		{"first", 10, 0, 10},
		{"cached", 10, time.Second, 10},
		{"cached though the state advanced", 14, fullViewTTL - time.Millisecond, 10},
		{"expired", 14, fullViewTTL, 14},
		{"member joined again and is behind", 3, fullViewTTL, 3},
	}
	var cache fullView
	var before []byte
	for _, step := range steps {
		packed, position, err := cache.get(viewOf(step.position, 3), now.Add(step.after))
		if err != nil || position != step.want {
			t.Fatalf("%s: position %d, %v", step.name, position, err)
		}
		if shared := before != nil && &packed[0] == &before[0]; shared != (step.want == 10 && step.name != "first") {
			t.Errorf("%s: shared %v", step.name, shared)
		}
		before = packed
		var update sitestate.Update
		if err := wire.UnmarshalCompressed(packed, 1<<20, &update); err != nil || update.Position != step.want || len(update.Replicas) != 3 || !update.Full {
			t.Errorf("%s: %+v, %v", step.name, update, err)
		}
	}
}

// Compares packing the state for each new watcher with sharing one, at 130 replicas.
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
		var cache fullView
		for b.Loop() {
			if _, _, err := cache.get(view, time.Time{}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

package siteview

import (
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// TestWatchAnswerUpdates checks that the packed state is applied before the changes since.
func TestWatchAnswerUpdates(t *testing.T) {
	packed, err := wire.MarshalCompressed(sitestate.Update{Position: 7, Full: true, Replicas: []sitestate.Replica{{ID: "a"}, {ID: "b"}}})
	if err != nil {
		t.Fatal(err)
	}
	sent := WatchAnswer{Packed: packed, Update: sitestate.Update{Position: 9, Removed: []string{"a"}, Replicas: []sitestate.Replica{{ID: "c"}}, Confirmed: true}}
	encoded, err := wire.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	var answer WatchAnswer
	if err := wire.Unmarshal(encoded, &answer); err != nil {
		t.Fatal(err)
	}
	updates, err := answer.updates()
	if err != nil || len(updates) != 2 {
		t.Fatalf("%d updates, %v", len(updates), err)
	}
	var view *sitestate.View
	for _, update := range updates {
		view = view.Apply(update)
	}
	if view.Position != 9 || view.Replicas.Len() != 2 || !view.Replicas.Has("b") || !view.Replicas.Has("c") {
		t.Errorf("%+v", view)
	}

	answer.Packed = answer.Packed[:len(answer.Packed)/2]
	if _, err := answer.updates(); err == nil {
		t.Error("a truncated state was accepted")
	}
	answer.Packed = nil
	if updates, err := answer.updates(); err != nil || len(updates) != 1 || updates[0].Position != 9 {
		t.Errorf("without a packed state: %+v, %v", updates, err)
	}
}

// TestViewIsNotConfirmedAfterSuspension guards against the use of revoked keys after a
// suspension, which the system's monotonic clock does not count.
func TestViewIsNotConfirmedAfterSuspension(t *testing.T) {
	suspended := time.Duration(0)
	watcher := New(Config{
		Changed: func(*View) {}, Clock: func() time.Duration { return boottime.Now() + suspended },
		Logger: &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
	})
	confirm := func() {
		t.Helper()
		if err := watcher.apply("member", []sitestate.Update{{Position: 1, Full: true, Confirmed: true}}); err != nil {
			t.Fatal(err)
		}
	}
	const within = 5 * time.Second
	confirm()
	if !watcher.ConfirmedWithin(within) {
		t.Fatal("not confirmed after the first update")
	}
	suspended = 10 * time.Second
	if watcher.ConfirmedWithin(within) {
		t.Error("confirmed after a suspension of ten seconds")
	}
	if confirm(); !watcher.ConfirmedWithin(within) {
		t.Error("not confirmed by the next update")
	}
}

package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
)

// TestASuspendedLeaderReadsNothingOnItsOwn: a leader that is suspended for longer than an
// election timeout may have a successor when it wakes up, and its steady clock does not show
// that. Here the others cannot answer.
func TestSuspendedLeaderRejectsReads(t *testing.T) {
	var slept [4]atomic.Int64 // by member
	group := startGroup(t, 3, func(config *Config) {
		id := config.ID
		config.Clock = func() time.Duration { return boottime.Now() + time.Duration(slept[id].Load()) }
	})
	group.change(group.client(1), 1)
	leader := group.leader()
	read := func(patience time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_, err := leader.View(ctx, false)
		return err
	}
	if err := read(10 * time.Second); err != nil {
		t.Fatalf("before: %v", err)
	}
	for id := uint64(1); id <= 3; id++ {
		if id != leader.config.ID {
			group.kill(id)
		}
	}
	slept[leader.config.ID].Store(int64(10 * time.Second))
	if err := read(300 * time.Millisecond); err == nil {
		t.Error("it answered a read on its own")
	}
}

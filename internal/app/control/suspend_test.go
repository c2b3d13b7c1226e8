package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
)

// TestSuspendedLeaderRejectsReads checks that a leader that was suspended for longer
// than an election timeout serves no read without its followers. The monotonic clock
// does not advance during a suspension.
func TestSuspendedLeaderRejectsReads(t *testing.T) {
	var suspended [4]atomic.Int64 // by member
	group := startGroup(t, 3, func(config *Config) {
		id := config.ID
		config.Clock = func() time.Duration { return boottime.Now() + time.Duration(suspended[id].Load()) }
	})
	group.change(group.client(1), 1)
	leader := group.leader()
	read := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := leader.View(ctx, false)
		return err
	}
	if err := read(10 * time.Second); err != nil {
		t.Fatalf("before the suspension: %v", err)
	}
	for id := uint64(1); id <= 3; id++ {
		if id != leader.config.ID {
			group.kill(id)
		}
	}
	suspended[leader.config.ID].Store(int64(10 * time.Second))
	if err := read(300 * time.Millisecond); err == nil {
		t.Error("the leader served a read without a quorum")
	}
}

package control

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// TestLeaderStaysDuringLongBatch guards against the loss of a leader that is busy with
// queued requests for longer than an election timeout, none of which takes long.
func TestLeaderStaysDuringLongBatch(t *testing.T) {
	const (
		tick     = 50 * time.Millisecond
		requests = 5 * DefaultElectionTicks
	)
	group := startGroup(t, 3, func(config *Config) { config.Tick = tick })
	leader := group.leader()
	term := leader.loop().published.Load().status.Term
	done := make(chan struct{}, requests)
	for range requests {
		refusal := leader.loop().post(t.Context(), func(*loop) {
			time.Sleep(tick / 2)
			done <- struct{}{}
		})
		if refusal != nil {
			t.Fatal(refusal)
		}
	}
	for range requests {
		<-done
	}
	// A call that the loop answers after the batch, so that the status is a later one.
	group.change(group.client(leader.config.ID), 1)
	if status := leader.loop().published.Load().status; status.Role != consensus.RoleLeader || status.Term != term {
		t.Errorf("%v in term %d, led term %d", status.Role, status.Term, term)
	}
}

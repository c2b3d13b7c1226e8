package sitecontrol

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// TestCommandBeyondAnEntryIsRefusedByAnyMember guards against a configuration that a member sends to the
// leader, in a call that may run out of time, though no log entry can hold it.
func TestCommandBeyondAnEntryIsRefusedByAnyMember(t *testing.T) {
	configuration := func(bytes int) Request {
		return Request{Command: &sitestate.Command{Configuration: &sitestate.Configuration{Raw: make([]byte, bytes)}}}
	}
	follower := &Control{} // it must decide without a group
	_, err := follower.Call(t.Context(), configuration(consensus.MaxEntryBytes+1))
	if failure := port.AsError(err); failure == nil || failure.Code != port.CodeTooLarge || failure.Verdict != port.NotRun {
		t.Errorf("%v", err)
	}
	for name, request := range map[string]Request{"largest": configuration(consensus.MaxEntryBytes), "another command": {Command: &sitestate.Command{}}, "no command": {}} {
		if err := request.checkSize(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

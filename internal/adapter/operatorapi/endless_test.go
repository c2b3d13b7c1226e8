package operatorapi

import (
	"context"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// TestMemberWithoutEndIsCutOff guards against an operator's call that outlives its deadline, or
// reads without a limit, while a member sends bytes without end.
func TestMemberWithoutEndIsCutOff(t *testing.T) {
	const deadline, margin = time.Second, 2 * time.Second
	rows := testkit.EndlessHeads()
	for name, answer := range testkit.EndlessBodies("HTTP/1.1 200 OK\r\n") {
		rows[name] = answer
	}
	for name, answer := range testkit.Dripped(rows) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewEndlessServer(t, "Id", func(int) testkit.EndlessAnswer { return answer })
			client, err := NewClient([]string{server.Address()}, "token")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			started := time.Now()
			if _, err := client.Status(ctx); err == nil || port.AsError(err).Verdict != port.MayHaveRun {
				t.Errorf("the call ended with %v", err)
			}
			if took := time.Since(started); took > deadline+margin {
				t.Errorf("the call took %v", took)
			}
			server.AwaitClosed(t, margin)
			if sent := server.Sent(); sent > maxAnswerBytes+testkit.EndlessLimit {
				t.Errorf("the member sent %d bytes", sent)
			}
		})
	}
}

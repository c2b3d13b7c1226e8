package operatorapi

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// TestDamagedRefusalIsNoPromise guards against a change that counts as not made because a member's refusal says so
// in a head that is malformed.
func TestDamagedRefusalIsNoPromise(t *testing.T) {
	const body = `{"error":{"code":"conflict","message":"m","verdict":"not-run"}}`
	fields := fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	for name, row := range map[string]struct {
		head string
		want port.Verdict
	}{
		"legal":           {"HTTP/1.1 409 No\r\n" + fields, port.NotRun},
		"blank in a name": {"HTTP/1.1 409 No\r\nBad Name: x\r\n" + fields, port.MayHaveRun},
		"status":          {"HTTP/1.1 009 No\r\n" + fields, port.MayHaveRun},
		"version":         {"HTTP/9.9 409 No\r\n" + fields, port.MayHaveRun},
		"no length":       {"HTTP/1.1 409 No\r\nContent-Type: application/json\r\n", port.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := testkit.RawAnswer{Parts: []string{row.head + "\r\n" + body}, End: testkit.CloseAfter}
			server := testkit.NewRawServer(t, "Id", func(int) testkit.RawAnswer { return answer })
			client, err := NewClient([]string{server.Address()}, "token")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if _, err := client.Status(ctx); err == nil || port.AsError(err).Verdict != row.want {
				t.Errorf("the call ended with %v", err)
			}
		})
	}
}

package provider_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/provider"
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/core/usage"
	"github.com/loomgrade/loomgrade/internal/testkit"
	"github.com/loomgrade/loomgrade/platform"
)

const (
	// callDeadline is the deadline of a call, and callMargin how much later it may end at the
	// latest.
	callDeadline = time.Second
	callMargin   = 2 * time.Second
)

func reportUsage(t *testing.T, server *testkit.EndlessServer) (ctx context.Context, status int, err error) {
	ctx, cancel := context.WithTimeout(t.Context(), callDeadline)
	t.Cleanup(cancel)
	started := time.Now()
	status, err = provider.New(server.Address(), platform.Dialect{}).ReportUsage(ctx, sitecontrol.Authority{Machine: "m", Fence: 1}, usage.Total{})
	if took := time.Since(started); took > callDeadline+callMargin {
		t.Errorf("the call took %v", took)
	}
	return ctx, status, err
}

// TestHeadWithoutEndFails guards against a call that is awaited after its deadline, or read without
// a limit, while the provider sends a head without end.
func TestHeadWithoutEndFails(t *testing.T) {
	for name, answer := range testkit.Dripped(testkit.EndlessHeads()) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewEndlessServer(t, "Id", func(int) testkit.EndlessAnswer { return answer })
			if _, status, err := reportUsage(t, server); err == nil {
				t.Errorf("status %d", status)
			}
			server.CheckClosed(t, callMargin)
		})
	}
}

// TestCallIsAnsweredByItsStatus guards against a window of usage that is reported again and again:
// its status was known, but only at the deadline, so that the report could not be recorded.
func TestCallIsAnsweredByItsStatus(t *testing.T) {
	for name, answer := range testkit.Dripped(testkit.EndlessBodies("HTTP/1.1 200 OK\r\n")) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewEndlessServer(t, "Id", func(int) testkit.EndlessAnswer { return answer })
			if ctx, status, err := reportUsage(t, server); status != http.StatusOK || err != nil || ctx.Err() != nil {
				t.Errorf("status %d, %v, deadline %v", status, err, ctx.Err())
			}
			server.CheckClosed(t, callMargin)
		})
	}
}

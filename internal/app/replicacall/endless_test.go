package replicacall_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/dialect"
	"github.com/loomgrade/loomgrade/internal/testkit"
	"github.com/loomgrade/loomgrade/platform"
)

const (
	// callDeadline is the deadline of an order or a report, and callMargin how much later it may
	// end at the latest.
	callDeadline = time.Second
	callMargin   = 2 * time.Second
)

// TestReportWithoutEndFails guards against a report that is awaited after its deadline, or read
// without a limit, while the replica sends bytes without end.
func TestReportWithoutEndFails(t *testing.T) {
	rows := testkit.EndlessHeads()
	for name, answer := range testkit.EndlessBodies("HTTP/1.1 200 OK\r\n") {
		rows[name] = answer
	}
	rows["spaces after a report"] = testkit.EndlessAnswer{Start: "HTTP/1.1 200 OK\r\n\r\n{}", Repeat: " "}
	for name, answer := range testkit.Dripped(rows) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewEndlessServer(t, "Id", func(int) testkit.EndlessAnswer { return answer })
			client := replicacall.New(platform.Dialect{}, 1)
			ctx, cancel := context.WithTimeout(t.Context(), callDeadline)
			defer cancel()
			started := time.Now()
			if report, err := client.Report(ctx, sitestate.Replica{ID: "r", Address: server.Address()}); err == nil {
				t.Errorf("report %+v", report)
			}
			if took := time.Since(started); took > callDeadline+callMargin {
				t.Errorf("the call took %v", took)
			}
			server.CheckClosed(t, callMargin)
		})
	}
}

// TestOrderIsAnsweredByItsStatus guards against an order whose status is known and that is awaited
// until its deadline, because the body of the answer does not end.
func TestOrderIsAnsweredByItsStatus(t *testing.T) {
	for name, answer := range testkit.Dripped(testkit.EndlessBodies("HTTP/1.1 202 Accepted\r\n")) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewEndlessServer(t, "Id", func(int) testkit.EndlessAnswer { return answer })
			client := replicacall.New(platform.Dialect{}, 1)
			ctx, cancel := context.WithTimeout(t.Context(), callDeadline)
			defer cancel()
			status, err := client.Order(ctx, sitestate.Replica{ID: "r", Address: server.Address()}, dialect.Order{})
			if status != http.StatusAccepted || err != nil || ctx.Err() != nil {
				t.Errorf("status %d, %v, deadline %v", status, err, ctx.Err())
			}
			server.CheckClosed(t, callMargin)
		})
	}
}

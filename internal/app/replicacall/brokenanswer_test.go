package replicacall_test

import (
	"fmt"
	"testing"

	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/dialect"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
	"github.com/loomgrade/loomgrade/platform"
)

const reportBody = `{"stage":"mixed","models":[],"sequence":2}`

// TestReportOfBrokenAnswerIsNoReport guards against a report that is taken from a malformed answer, or from one
// that may be a part.
func TestReportOfBrokenAnswerIsNoReport(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(reportBody))
	for name, row := range map[string]struct {
		head  string
		valid bool
	}{
		"legal":           {"HTTP/1.1 200 OK\r\n" + length, true},
		"no length":       {"HTTP/1.1 200 OK\r\n", false},
		"blank in a name": {"HTTP/1.1 200 OK\r\nBad Name: x\r\n" + length, false},
		"version":         {"HTTP/9.9 200 OK\r\n" + length, false},
	} {
		t.Run(name, func(t *testing.T) {
			answer := testkit.RawAnswer{Parts: []string{row.head + "\r\n" + reportBody}, End: testkit.CloseAfter}
			server := testkit.NewRawServer(t, "Id", func(int) testkit.RawAnswer { return answer })
			report, err := replicacall.New(platform.Dialect{}, 1).Report(t.Context(), sitestate.Replica{ID: "r", Address: server.Address()})
			if (err == nil) != row.valid {
				t.Errorf("report %+v, %v", report, err)
			}
		})
	}
}

// TestOrderOfBrokenAnswerIsUnknown guards against an order that counts as taken, or as rejected, by an answer whose
// head is malformed.
func TestOrderOfBrokenAnswerIsUnknown(t *testing.T) {
	rows := testkit.InvalidStatuses("")
	for _, status := range []string{"200 OK", "202 Accepted", "409 No", "421 No"} {
		for name, answer := range testkit.InvalidNames(status, "") {
			rows[status+", "+name] = answer
		}
		for name, answer := range testkit.CutHeads(status, "") {
			rows[status+", "+name] = answer
		}
	}
	for name, answer := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewRawServer(t, "Id", func(int) testkit.RawAnswer { return answer })
			status, err := replicacall.New(platform.Dialect{}, 1).Order(t.Context(), sitestate.Replica{ID: "r", Address: server.Address()}, dialect.Order{})
			if err == nil || port.AsError(err).Verdict != port.MayHaveRun {
				t.Errorf("status %d, %v", status, err)
			}
		})
	}
}

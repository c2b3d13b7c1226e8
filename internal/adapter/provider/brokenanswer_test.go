package provider_test

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/provider"
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/core/usage"
	"github.com/loomgrade/loomgrade/internal/testkit"
	"github.com/loomgrade/loomgrade/platform"
)

// TestBrokenAnswerRecordsNoUsage guards against a window of usage that counts as reported by an answer whose head is
// malformed.
func TestBrokenAnswerRecordsNoUsage(t *testing.T) {
	rows := testkit.InvalidStatuses("")
	for _, answers := range []map[string]testkit.RawAnswer{testkit.InvalidNames("200 OK", ""), testkit.CutHeads("200 OK", ""), testkit.InvalidVersions("200 OK", "")} {
		for name, answer := range answers {
			rows[name] = answer
		}
	}
	for name, answer := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewRawServer(t, "Id", func(int) testkit.RawAnswer { return answer })
			client := provider.New(server.Address(), platform.Dialect{})
			if status, err := client.ReportUsage(t.Context(), sitecontrol.Authority{Machine: "m", Fence: 1}, usage.Total{}); err == nil {
				t.Errorf("status %d", status)
			}
		})
	}
}

package httpcall_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// getChecked returns the status and the body that a CheckedClient gets from the server.
func getChecked(t *testing.T, answer testkit.RawAnswer) (status int, body string, err error) {
	t.Helper()
	server := testkit.NewRawServer(t, "Id", func(int) testkit.RawAnswer { return answer })
	client := httpcall.CheckedClient(&http.Transport{}, closeLimit)
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + server.Address() + "/")
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, string(read), err
}

// TestCheckedClientRefusesBrokenAnswers guards against a reader of responses without verdicts that takes a broken
// one as whole.
func TestCheckedClientRefusesBrokenAnswers(t *testing.T) {
	const status, fields = "200 OK", "X-Some: a\r\n"
	for group, answers := range map[string]map[string]testkit.RawAnswer{
		"no end": testkit.AnswersWithoutEnd(status, fields), "cut body": testkit.CutBodies(status, fields), "cut head": testkit.CutHeads(status, fields),
		"status": testkit.InvalidStatuses(fields), "version": testkit.InvalidVersions(status, fields), "name": testkit.InvalidNames(status, fields),
		"trailer": testkit.InvalidTrailers(status, fields), "value": testkit.InvalidValues(status, fields),
	} {
		for name, answer := range answers {
			t.Run(group+"/"+name, func(t *testing.T) {
				t.Parallel()
				if got, body, err := getChecked(t, answer); err == nil {
					t.Errorf("status %d, %q", got, body)
				}
			})
		}
	}
}

// TestCheckedClientTakesLegalAnswers guards against checks that refuse what the protocol allows.
func TestCheckedClientTakesLegalAnswers(t *testing.T) {
	for name, answer := range testkit.LegalAnswers("X-Some: a\r\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status, body, err := getChecked(t, answer.RawAnswer)
			if status != answer.Status || body != answer.Body || err != nil {
				t.Errorf("status %d, %q, %v", status, body, err)
			}
		})
	}
}

// TestCheckedClientIsReadByLength guards against compression, which hides the length of a body.
func TestCheckedClientIsReadByLength(t *testing.T) {
	transport := &http.Transport{}
	httpcall.CheckedClient(transport, time.Second)
	if !transport.DisableCompression {
		t.Error("the transport asks for compressed bodies")
	}
}

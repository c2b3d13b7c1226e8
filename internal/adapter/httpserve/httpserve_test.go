package httpserve_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

func TestStatusesMatchDocumentation(t *testing.T) {
	documented := map[port.Code]int{}
	for _, row := range testkit.PageRows(t, "docs/PROTOCOLS.md", "Errors") {
		status, err := strconv.Atoi(row[0])
		if err != nil {
			t.Fatalf("status %q: %v", row[0], err)
		}
		for _, code := range testkit.CodeSpans(row[1]) {
			documented[port.Code(code)] = status
		}
	}
	codes := testkit.ErrorCodes(t)
	for _, code := range codes {
		if got := httpserve.Status(code); got != documented[code] {
			t.Errorf("%s is %d, documented as %d", code, got, documented[code])
		}
	}
	if len(documented) != len(codes) {
		t.Errorf("%d codes are documented, %d exist", len(documented), len(codes))
	}
}

func TestErrorsRoundTrip(t *testing.T) {
	cases := []struct {
		name          string
		failure, want port.Error
		retryAfter    string
	}{
		{"complete", port.Error{Verdict: port.NotRun, Code: port.CodeInvalid, Message: "m", Field: "f", Value: "v", Allowed: "a"},
			port.Error{Verdict: port.NotRun, Code: port.CodeInvalid, Message: "m", Field: "f", Value: "v", Allowed: "a"}, ""},
		{"unset verdict", port.Error{Code: port.CodeInternal}, port.Error{Verdict: port.MayHaveRun, Code: port.CodeInternal}, ""},
		{"retry after", port.Error{Verdict: port.NotRun, Code: port.CodeQueueFull, RetryAfter: 1001 * time.Millisecond},
			port.Error{Verdict: port.NotRun, Code: port.CodeQueueFull, RetryAfter: 1001 * time.Millisecond}, "2"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			httpserve.WriteError(recorder, &test.failure)
			var body api.ErrorBody
			if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
				t.Fatal(err)
			}
			if got := httpserve.ParseDetail(body.Error); *got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
			if got := recorder.Header().Get("Retry-After"); got != test.retryAfter {
				t.Errorf("Retry-After %q, want %q", got, test.retryAfter)
			}
			if got := recorder.Header().Get(api.HeaderVerdict); got != test.want.Verdict.String() {
				t.Errorf("%s %q, want %q", api.HeaderVerdict, got, test.want.Verdict)
			}
		})
	}
}

func TestUnencodableResponseIsError(t *testing.T) {
	recorder := httptest.NewRecorder()
	httpserve.WriteJSON(recorder, http.StatusOK, func() {})
	if recorder.Code != http.StatusInternalServerError || recorder.Header().Get(api.HeaderVerdict) != port.MayHaveRun.String() {
		t.Errorf("status %d, header %v", recorder.Code, recorder.Header())
	}
}

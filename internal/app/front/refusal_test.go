package front

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/dialect"
	"github.com/loomgrade/loomgrade/internal/port"
)

// plainDialect has the header that log lines need.
type plainDialect struct{ dialect.Dialect }

func (plainDialect) Headers() dialect.Headers { return dialect.Headers{RequestID: "Id"} }

func newTestFront() *Front {
	logger := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	return New(Config{Dialect: plainDialect{}, Watcher: siteview.New(siteview.Config{Logger: logger}), Logger: logger})
}

// A refusal must tell its caller when to come back, by the time that the limit computed, varied
// so that callers don't return together.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	for name, row := range map[string]struct {
		failure proxy.Failure
		mean    time.Duration
	}{
		"by the limit":     {proxy.Failure{Verdict: port.NotRun, Code: port.CodeQueueFull, Refusal: admission.ReasonQueue, RetryAfter: 800 * time.Millisecond}, 800 * time.Millisecond},
		"deadline not met": {proxy.Failure{Verdict: port.NotRun, Code: port.CodeDeadline, Refusal: admission.ReasonDeadline, RetryAfter: 2 * time.Second}, 2 * time.Second},
		"process stops":    {proxy.Failure{Verdict: port.NotRun, Code: port.CodeDraining}, retryDelay},
	} {
		seen := map[string]bool{}
		for range 20 {
			recorder := httptest.NewRecorder()
			newTestFront().writeFailure(recorder, httptest.NewRequest(http.MethodGet, "/x", nil), &routing.Route{}, &row.failure)
			value := recorder.Header().Get("Retry-After")
			seen[value] = true
			seconds, err := strconv.ParseFloat(value, 64)
			if mean := row.mean.Seconds(); err != nil || recorder.Code != http.StatusServiceUnavailable || seconds < mean/2 || seconds > mean*3/2 {
				t.Errorf("%s: status %d, Retry-After %q", name, recorder.Code, value)
			}
		}
		if len(seen) < 2 {
			t.Errorf("%s: every caller is told %v", name, seen)
		}
	}
}

// A request that may have run must not be answered like a refusal.
func TestFailureThatMayHaveRunIsNoRefusal(t *testing.T) {
	recorder := httptest.NewRecorder()
	failure := &proxy.Failure{Verdict: port.MayHaveRun, Code: port.CodeBackEnd, RetryAfter: time.Second}
	newTestFront().writeFailure(recorder, httptest.NewRequest(http.MethodGet, "/x", nil), &routing.Route{}, failure)
	if recorder.Code != http.StatusBadGateway || recorder.Header().Get("Retry-After") != "" {
		t.Errorf("status %d, Retry-After %q", recorder.Code, recorder.Header().Get("Retry-After"))
	}
}

// The send limit needs the priority and the tenant of each request.
func TestRequestCarriesPriorityAndTenant(t *testing.T) {
	urgent := 0
	route := &routing.Route{Name: "r", Service: "s", Priority: 5}
	for name, row := range map[string]struct {
		caller   Caller
		priority port.Priority
		tenant   string
	}{
		"no tenant":                {Caller{}, -5, ""},
		"tenant":                   {Caller{tenant: &routing.Tenant{Name: "t"}, restricted: true}, -5, "t"},
		"tenant with its priority": {Caller{tenant: &routing.Tenant{Name: "t", Priority: &urgent}, restricted: true}, 0, "t"},
	} {
		request := newTestFront().newRequest(httptest.NewRequest(http.MethodGet, "/x", nil), route, row.caller, nil)
		if request.Priority != row.priority || request.Caller != row.tenant || request.Traffic != admission.CallerTraffic {
			t.Errorf("%s: %+v", name, request)
		}
	}
}

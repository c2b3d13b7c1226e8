package front

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/routing"
)

// TestAgeOfRequestThatCameBack guards against a limit that takes a request that came back after
// a refusal for a new one.
func TestAgeOfRequestThatCameBack(t *testing.T) {
	f := newTestFront()
	lookup, feed := &routing.Route{Name: "lookup"}, &routing.Route{Name: "feed"}
	now := time.Unix(1000, 0)
	for range 5 {
		f.ages.observe(lookup, now, 1500*time.Millisecond)
	}
	for _, row := range []struct {
		name   string
		route  *routing.Route
		header string
		want   time.Duration
	}{
		{"first attempt", lookup, "1500", 0},
		{"came back", lookup, "1180.5", 319500 * time.Microsecond},
		{"other route", feed, "800", 0},
		{"no time named", lookup, "", 0},
		{"no number", lookup, "soon", 0},
	} {
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		r.Header.Set(f.headers.Deadline, row.header)
		if got := f.ages.observe(row.route, now, f.patience(r)); got != row.want {
			t.Errorf("%s: age %v, want %v", row.name, got, row.want)
		}
	}
}

// TestAgeWithTenantThatWaitsLonger guards against a tenant whose long deadlines make the first
// attempts of others look late, so that the send limit serves them last.
func TestAgeWithTenantThatWaitsLonger(t *testing.T) {
	var ages callerAges
	route, now := &routing.Route{Name: "lookup"}, time.Unix(1000, 0)
	ages.observe(route, now, 10*time.Second)
	for range 5 {
		if age := ages.observe(route, now, 1500*time.Millisecond); age != 0 {
			t.Errorf("age %v of the first attempt of another tenant", age)
		}
	}
	if age := ages.observe(route, now, 1200*time.Millisecond); age != 300*time.Millisecond {
		t.Errorf("age %v of a request that came back, want 300ms", age)
	}
}

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

package admission

import (
	"testing"
	"time"
)

// TestCallerAge guards against requests that came back after a refusal and are taken for new
// ones.
func TestCallerAge(t *testing.T) {
	start := time.Unix(1000, 0)
	var age CallerAge
	for _, row := range []struct {
		name      string
		at        time.Duration
		remaining time.Duration
		want      time.Duration
	}{
		{"first request", 0, 1500 * time.Millisecond, 0},
		{"another first attempt", time.Second, 1500 * time.Millisecond, 0},
		{"came back after 0.3 s", 2 * time.Second, 1200 * time.Millisecond, 300 * time.Millisecond},
		{"a caller with more patience", 3 * time.Second, 2 * time.Second, 0},
		{"measured against the most patient", 4 * time.Second, 1500 * time.Millisecond, 500 * time.Millisecond},
		{"still in the next span", 35 * time.Second, 1500 * time.Millisecond, 500 * time.Millisecond},
		{"forgotten two spans later", 70 * time.Second, 1500 * time.Millisecond, 0},
		{"a clock that went back", 0, 1400 * time.Millisecond, 100 * time.Millisecond},
	} {
		if got := age.Observe(start.Add(row.at), row.remaining); got != row.want {
			t.Errorf("%s: age %v, want %v", row.name, got, row.want)
		}
	}
}

func TestRemainingAim(t *testing.T) {
	for _, row := range []struct {
		name      string
		aim, age  time.Duration
		remaining time.Duration
	}{
		{"new", 150, 0, 150},
		{"came back in time", 150, 100, 50},
		{"late", 150, 150, -1},
		{"no aim", 0, 300, 0},
	} {
		if got := RemainingAim(row.aim, row.age); got != row.remaining {
			t.Errorf("%s: %v, want %v", row.name, got, row.remaining)
		}
	}
}

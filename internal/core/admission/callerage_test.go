package admission

import (
	"testing"
	"time"
)

// TestCallerAge guards against requests that came back after a refusal and are taken for new
// ones, and against first attempts that are taken for old ones.
func TestCallerAge(t *testing.T) {
	start := time.Unix(1000, 0)
	var age CallerAge
	for _, row := range []struct {
		name      string
		at        time.Duration
		remaining time.Duration
		// times is how often the request is observed; want is the age at each.
		times int
		want  time.Duration
	}{
		{"first attempts, of which nothing is known", 0, 1500 * time.Millisecond, 3, 0},
		{"first attempts", time.Second, 1498 * time.Millisecond, 20, 0},
		{"came back after 0.3 s", 2 * time.Second, 1200 * time.Millisecond, 1, 300 * time.Millisecond},
		{"one caller with more patience", 3 * time.Second, 10 * time.Second, 1, 0},
		{"first attempts beside it", 3 * time.Second, 1500 * time.Millisecond, 5, 0},
		{"came back, measured against the common patience", 4 * time.Second, 1100 * time.Millisecond, 1, 400 * time.Millisecond},
		{"callers with less patience, until they are common", 5 * time.Second, 800 * time.Millisecond, 4, 700 * time.Millisecond},
		{"callers with less patience", 5 * time.Second, 800 * time.Millisecond, 3, 0},
		{"came back, of a caller with less patience", 6 * time.Second, 700 * time.Millisecond, 1, 100 * time.Millisecond},
		{"still known in the next span", 35 * time.Second, 1200 * time.Millisecond, 1, 300 * time.Millisecond},
		{"forgotten two spans later", 70 * time.Second, 1200 * time.Millisecond, 1, 0},
		{"a clock that went back", 0, 1200 * time.Millisecond, 1, 0},
	} {
		for range row.times {
			if got := age.Observe(start.Add(row.at), row.remaining); got != row.want {
				t.Errorf("%s: age %v, want %v", row.name, got, row.want)
			}
		}
	}
}

// TestCallerAgeIsBounded guards against memory that grows with the times that callers name.
func TestCallerAgeIsBounded(t *testing.T) {
	var age CallerAge
	for index := range 10 * maxPatiences {
		age.Observe(time.Unix(1000, 0), time.Duration(index)*patienceStep)
	}
	if size := len(age.current.named); size > maxPatiences {
		t.Errorf("%d times are kept", size)
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

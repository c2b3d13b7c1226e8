package home_test

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/port"
)

func TestPollIntervalKeepsTheBudget(t *testing.T) {
	const minimum = 200 * time.Millisecond
	cases := []struct {
		name                   string
		engines, bytes, budget int
		want                   time.Duration
	}{
		{"none", 0, 720, 3000, minimum},
		{"few", 1, 500, 3000, minimum},
		{"paced", 2, 750, 3000, 500 * time.Millisecond},
		{"limited by the maximum", 40, 720, 3000, home.MaxPollInterval},
		{"no budget", 40, 720, 0, minimum},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := home.PollInterval(minimum, test.engines, test.bytes, test.budget); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
	if got := home.PollInterval(2*time.Second, 1, 720, 3000); got != 2*time.Second {
		t.Errorf("%v, below the minimum", got)
	}
}

func TestPollsAreDueAtNearestCheck(t *testing.T) {
	const checkInterval = 200 * time.Millisecond
	cases := []struct {
		elapsed, interval time.Duration
		want              bool
	}{
		{199 * time.Millisecond, checkInterval, true},
		{start.Sub(time.Time{}), time.Second, true}, // never polled
		{799 * time.Millisecond, time.Second, false},
		{999 * time.Millisecond, time.Second, true},
	}
	for _, test := range cases {
		if got := home.PollDue(test.elapsed, test.interval, checkInterval); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
}

func TestNeedsFastPolls(t *testing.T) {
	serving := port.LoadReport{Version: 4, Staged: 4, Incarnation: 1}
	staged := port.LoadReport{Version: 4, Staged: 5, Incarnation: 1}
	cases := []struct {
		name string
		act  func(record *home.Record)
		want bool
	}{
		{"before the first report", func(*home.Record) {}, true},
		{"serving", func(r *home.Record) { r.ApplyReport(at(1), at(1), serving) }, false},
		{"one poll failed", func(r *home.Record) { r.ApplyReport(at(1), at(1), serving); r.PollFailed() }, true},
		{"poll succeeded again", func(r *home.Record) { r.PollFailed(); r.ApplyReport(at(1), at(1), serving) }, false},
		{"excluded by a rollout", func(r *home.Record) { r.ApplyReport(at(1), at(1), serving); r.ExcludeUntil(at(9)) }, true},
		{"exclusion expired", func(r *home.Record) { r.ApplyReport(at(1), at(1), serving); r.ExcludeUntil(at(2)) }, false},
		{"weights staged", func(r *home.Record) { r.ApplyReport(at(1), at(1), staged) }, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			record := newEngineRecord()
			test.act(record)
			if got := record.NeedsFastPolls(at(3)); got != test.want {
				t.Errorf("needs fast polls: %v", got)
			}
		})
	}
}

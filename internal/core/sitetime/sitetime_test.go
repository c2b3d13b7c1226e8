package sitetime_test

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitetime"
)

func TestEstimateIgnoresMinorityOfWrongClocks(t *testing.T) {
	truth := time.Unix(1_000_000, 0)
	reading := func(monotonic, wrong time.Duration) sitetime.Reading {
		return sitetime.Reading{Monotonic: monotonic, Wall: truth.Add(monotonic + wrong)}
	}
	const ms, late = time.Millisecond, 2 * time.Second
	for name, row := range map[string]struct {
		readings []sitetime.Reading
		machines int
		ok       bool
	}{
		"all agree":              {[]sitetime.Reading{reading(0, ms), reading(7*ms, 0), reading(9*ms, -ms)}, 3, true},
		"one ahead":              {[]sitetime.Reading{reading(0, late), reading(7*ms, 0), reading(9*ms, -ms)}, 3, true},
		"one ahead, one behind":  {[]sitetime.Reading{reading(0, late), reading(1, -late), reading(2, 0), reading(3, ms), reading(4, -ms)}, 5, true},
		"two of five ahead":      {[]sitetime.Reading{reading(0, late), reading(1, late), reading(2, 0), reading(3, ms), reading(4, -ms)}, 5, true},
		"single machine":         {[]sitetime.Reading{reading(5*ms, 0)}, 1, true},
		"three of five readings": {[]sitetime.Reading{reading(0, 0), reading(1, ms), reading(2, late)}, 5, true},
		"too few":                {[]sitetime.Reading{reading(0, 0), reading(1, 0)}, 5, false},
		"half is not a majority": {[]sitetime.Reading{reading(0, 0), reading(1, 0)}, 4, false},
		"no machines":            {nil, 0, false},
	} {
		offset, ok := sitetime.Estimate(row.readings, row.machines)
		if ok != row.ok {
			t.Errorf("%s: ok %v", name, ok)
		}
		if off := offset.Time(time.Second).Sub(truth.Add(time.Second)); ok && off.Abs() > ms {
			t.Errorf("%s: off by %v", name, off)
		}
	}
}

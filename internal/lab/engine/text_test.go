package engine

import (
	"slices"
	"testing"
)

func TestTextEncodesVersionAndContent(t *testing.T) {
	key := ContentKey("a prompt", 1)
	text := Text(key, 0, 10, 3) + Text(key, 10, 5, UnknownVersion)
	if len(text) != 15*BytesPerToken || text[0] != VersionDigit(3) || text[10*BytesPerToken] != '?' {
		t.Fatalf("text %q", text)
	}
	cases := []struct {
		name string
		text string
		key  uint64
		want bool
	}{
		{"same key", text, key, true},
		{"other seed", text, ContentKey("a prompt", 2), false},
		{"shifted", text[BytesPerToken:], key, false},
		{"truncated token", text[:7], key, false},
	}
	for _, c := range cases {
		if got := SameContent(c.text, c.key); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

func TestLengthsAreHeavyTailed(t *testing.T) {
	lengths := Lengths{Median: 200, Sigma: 1, Max: 4000}
	var drawn []int
	for key := range uint64(1001) {
		drawn = append(drawn, lengths.Of(key))
	}
	slices.Sort(drawn)
	if drawn[500] < 170 || drawn[500] > 230 || drawn[990] < 5*drawn[500] || drawn[1000] > 4000 || drawn[0] < 1 {
		t.Fatalf("median %d, p99 %d, range %d to %d", drawn[500], drawn[990], drawn[0], drawn[1000])
	}
}

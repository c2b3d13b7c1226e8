package sitestore

import "testing"

func TestUsesAllStores(t *testing.T) {
	for _, row := range []struct {
		name                   string
		voters, active, wanted int
		want                   bool
	}{
		{"three of three, five wanted", 3, 3, 5, true},
		{"three of four: an odd number votes", 3, 4, 5, true},
		{"two of three have joined", 2, 3, 5, false},
		{"one machine", 1, 1, 3, true},
		{"enough machines, not all have joined", 3, 5, 5, false},
		{"more than enough", 3, 13, 5, false},
		{"no machine is known", 3, 0, 5, false},
	} {
		if got := allThereIs(row.voters, row.active, row.wanted); got != row.want {
			t.Errorf("%s: %v", row.name, got)
		}
	}
}

package sitestore

import "testing"

func TestUsesAllStores(t *testing.T) {
	for _, row := range []struct {
		name                   string
		voters, active, wanted int
		want                   bool
	}{
		{"all three machines vote", 3, 3, 5, true},
		{"three of four vote, an odd number", 3, 4, 5, true},
		{"two of three have joined", 2, 3, 5, false},
		{"one machine", 1, 1, 3, true},
		{"enough machines, not all joined", 3, 5, 5, false},
		{"more than enough machines", 3, 13, 5, false},
		{"no known machine", 3, 0, 5, false},
	} {
		if got := usesAllStores(row.voters, row.active, row.wanted); got != row.want {
			t.Errorf("%s: %v", row.name, got)
		}
	}
}

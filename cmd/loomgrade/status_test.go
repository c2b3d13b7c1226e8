package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
)

// A follower does not know how far the others are; its zeros must not look as if
// they were.
func TestFollowerStatusOmitsProgressOfOthers(t *testing.T) {
	for asked, lines := range map[uint64][]string{
		1: {"1 a voter true 9 true true 0s", "2 b voter false 8 true true 20ms"},
		2: {"1 a voter true - - - -", "2 b voter false 8 true true 20ms"},
	} {
		var printed bytes.Buffer
		shown := newTable(&printed)
		showStatus(shown, operatorapi.Status{Member: asked, Leader: 1, Members: []operatorapi.Member{
			{ID: 1, Address: "a", Role: "voter", Leader: true, Match: 9, Active: true, CaughtUp: true},
			{ID: 2, Address: "b", Role: "voter", Match: 8, Active: true, CaughtUp: true, SilentMillis: 20},
		}})
		if err := shown.flush(); err != nil {
			t.Fatal(err)
		}
		for _, line := range lines {
			if plain := strings.Join(strings.Fields(printed.String()), " "); !strings.Contains(plain, line) {
				t.Errorf("member %d asked: %q is missing in\n%s", asked, line, printed.String())
			}
		}
	}
}

package main

import "testing"

func TestBadCommandLinesAreUsageErrors(t *testing.T) {
	cases := [][]string{
		{}, {"stand-in"}, {"stand-in", "engine", "--nope"}, {"stand-in", "trainer", "--token-file=/does/not/exist"},
	}
	for _, arguments := range cases {
		if code := run(arguments); code != exitUsage {
			t.Errorf("%q: exit code %d, want %d", arguments, code, exitUsage)
		}
	}
	if code := run([]string{"stand-in", "scorer", "--listen=127.0.0.1:nowhere"}); code != exitFailure {
		t.Errorf("bad address: exit code %d, want %d", code, exitFailure)
	}
}

package ringlog_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/ringlog"
)

func TestRingKeepsTheLastLinesAndIsSilentUntilAnError(t *testing.T) {
	var out bytes.Buffer
	ring := ringlog.New(3, &out)
	logger := ring.Logger()
	for _, message := range []string{"one", "two", "three", "four"} {
		logger.Info().Msg(message)
	}
	if out.Len() != 0 {
		t.Fatalf("written without an error: %q", out.String())
	}
	logger.Error().Str("field", "value").Msg("five")
	text := out.String()
	for _, want := range []string{"three", "four", "five", `"field":"value"`, "3 lines, 2 overwritten"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in %q", want, text)
		}
	}
	if strings.Contains(text, "two") {
		t.Errorf("an overwritten line was written out: %q", text)
	}
}

func TestWriteOutWritesEachLineOnce(t *testing.T) {
	var out bytes.Buffer
	ring := ringlog.New(8, &out)
	ring.Logger().Info().Msg("once")
	for range 2 {
		if err := ring.WriteOut("test"); err != nil {
			t.Fatal(err)
		}
	}
	if count := strings.Count(out.String(), "once"); count != 1 {
		t.Fatalf("the line was written %d times, want 1", count)
	}
}

func TestLongLinesAreCut(t *testing.T) {
	var out bytes.Buffer
	ring := ringlog.New(2, &out)
	ring.Logger().Error().Msg(strings.Repeat("x", 1<<16))
	if out.Len() > 8192 {
		t.Fatalf("%d bytes written, want a truncated line", out.Len())
	}
}

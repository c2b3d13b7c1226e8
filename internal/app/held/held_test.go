package held_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/loomgrade/loomgrade/internal/app/held"
)

func TestBudgetLimitsAllReservations(t *testing.T) {
	budget := held.NewBudget(100)
	first, second := budget.Open(), budget.Open()
	if !first.Take(60) || second.Take(41) || !second.Take(40) || first.Take(1) {
		t.Errorf("%d of 100 bytes are held", budget.Used())
	}
	first.Close()
	first.Close()
	if first.Take(1) {
		t.Error("bytes are held for a request that has ended")
	}
	if got := budget.Used(); got != 40 {
		t.Errorf("%d bytes are held, want 40", got)
	}
	second.Close()
	if got := budget.Used(); got != 0 {
		t.Errorf("%d bytes are held, want none", got)
	}
}

func TestNoBudgetMeansNoLimit(t *testing.T) {
	holding := held.NewBudget(0).Open()
	defer holding.Close()
	if !holding.Take(1<<40) || !(*held.Holding)(nil).Take(1) {
		t.Error("no room")
	}
}

// TestRequestsThatEndWhileOthersTake: nothing stays held.
func TestConcurrentReserveAndClose(t *testing.T) {
	budget := held.NewBudget(1 << 20)
	var group sync.WaitGroup
	for range 50 {
		holding := budget.Open()
		for range 4 {
			group.Go(func() {
				for range 100 {
					holding.Take(7)
				}
			})
		}
		group.Go(holding.Close)
	}
	group.Wait()
	if got := budget.Used(); got != 0 {
		t.Errorf("%d bytes stay held", got)
	}
}

func TestReadWithinBudget(t *testing.T) {
	const kilo = 1 << 10
	for name, row := range map[string]struct {
		size  int
		known bool
		room  int64
		whole bool
	}{
		"of known length":               {100 * kilo, true, 100 * kilo, true},
		"of known length, no room":      {100 * kilo, true, 99 * kilo, false},
		"of unknown length":             {100 * kilo, false, 128 * kilo, true},
		"of unknown length, no room":    {100 * kilo, false, 90 * kilo, false},
		"of unknown length, a few more": {64 * kilo, false, 96 * kilo, true},
		"empty":                         {0, false, 64 * kilo, true},
		"empty, of known length":        {0, true, 64 * kilo, true},
		"large, of known length":        {3000 * kilo, true, 4000 * kilo, true},
	} {
		content := strings.Repeat("x", row.size)
		size := int64(-1)
		if row.known {
			size = int64(row.size)
		}
		budget := held.NewBudget(row.room)
		holding := budget.Open()
		read, rest, whole, err := held.Read(iotest.HalfReader(strings.NewReader(content)), size, holding)
		if err != nil || whole != row.whole {
			t.Errorf("%s: whole %v, %v", name, whole, err)
		}
		if !whole {
			if read, err = io.ReadAll(rest); err != nil {
				t.Errorf("%s: the rest: %v", name, err)
			}
		}
		if !bytes.Equal(read, []byte(content)) {
			t.Errorf("%s: %d of %d bytes", name, len(read), row.size)
		}
		holding.Close()
		if got := budget.Used(); got != 0 {
			t.Errorf("%s: %d bytes stay held", name, got)
		}
	}
}

func TestReadTruncatedBody(t *testing.T) {
	for _, size := range []int64{10, -1, 1 << 50} {
		broken := io.MultiReader(strings.NewReader("four"), iotest.ErrReader(io.ErrUnexpectedEOF))
		if _, _, _, err := held.Read(broken, size, nil); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("size %d: %v", size, err)
		}
	}
}

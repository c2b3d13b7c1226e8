package membudget_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
)

func TestBudgetLimitsAllReservations(t *testing.T) {
	budget := membudget.NewBudget(100)
	first, second := budget.NewReservation(), budget.NewReservation()
	if !first.Reserve(60) || second.Reserve(41) || !second.Reserve(40) || first.Reserve(1) {
		t.Errorf("%d of 100 bytes are reserved", budget.Used())
	}
	first.Close()
	first.Close()
	if first.Reserve(1) {
		t.Error("bytes reserved after Close")
	}
	if got := budget.Used(); got != 40 {
		t.Errorf("%d bytes are reserved, want 40", got)
	}
	second.Close()
	if got := budget.Used(); got != 0 {
		t.Errorf("%d bytes are reserved, want none", got)
	}
}

func TestNoBudgetMeansNoLimit(t *testing.T) {
	reservation := membudget.NewBudget(0).NewReservation()
	defer reservation.Close()
	if !reservation.Reserve(1<<40) || !(*membudget.Reservation)(nil).Reserve(1) {
		t.Error("Reserve failed without a limit")
	}
}

// TestConcurrentReserveAndClose checks that concurrent Close and Reserve calls leave
// nothing reserved.
func TestConcurrentReserveAndClose(t *testing.T) {
	budget := membudget.NewBudget(1 << 20)
	var group sync.WaitGroup
	for range 50 {
		reservation := budget.NewReservation()
		for range 4 {
			group.Go(func() {
				for range 100 {
					reservation.Reserve(7)
				}
			})
		}
		group.Go(reservation.Close)
	}
	group.Wait()
	if got := budget.Used(); got != 0 {
		t.Errorf("%d bytes stay reserved", got)
	}
}

func TestReadWithinBudget(t *testing.T) {
	const kilo = 1 << 10
	for name, row := range map[string]struct {
		size     int
		known    bool
		limit    int64
		complete bool
	}{
		"of known length":                    {100 * kilo, true, 100 * kilo, true},
		"of known length, limit too small":   {100 * kilo, true, 99 * kilo, false},
		"of unknown length":                  {100 * kilo, false, 128 * kilo, true},
		"of unknown length, limit too small": {100 * kilo, false, 90 * kilo, false},
		"of unknown length, full chunks":     {64 * kilo, false, 96 * kilo, true},
		"empty":                              {0, false, 64 * kilo, true},
		"empty, of known length":             {0, true, 64 * kilo, true},
		"large, of known length":             {3000 * kilo, true, 4000 * kilo, true},
	} {
		content := strings.Repeat("x", row.size)
		size := int64(-1)
		if row.known {
			size = int64(row.size)
		}
		budget := membudget.NewBudget(row.limit)
		reservation := budget.NewReservation()
		read, rest, complete, err := membudget.Read(iotest.HalfReader(strings.NewReader(content)), size, reservation)
		if err != nil || complete != row.complete {
			t.Errorf("%s: complete %v, %v", name, complete, err)
		}
		if !complete {
			if read, err = io.ReadAll(rest); err != nil {
				t.Errorf("%s: the rest: %v", name, err)
			}
		}
		if !bytes.Equal(read, []byte(content)) {
			t.Errorf("%s: %d of %d bytes", name, len(read), row.size)
		}
		reservation.Close()
		if got := budget.Used(); got != 0 {
			t.Errorf("%s: %d bytes stay reserved", name, got)
		}
	}
}

func TestReadTruncatedBody(t *testing.T) {
	for _, size := range []int64{10, -1, 1 << 50} {
		broken := io.MultiReader(strings.NewReader("four"), iotest.ErrReader(io.ErrUnexpectedEOF))
		if _, _, _, err := membudget.Read(broken, size, nil); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("size %d: %v", size, err)
		}
	}
}

// TestFailedReservationAffectsNoOther guards against a reservation beyond the budget that counts for a moment:
// others that fit would fail by it, and more than the budget would be in use.
func TestFailedReservationAffectsNoOther(t *testing.T) {
	const limit = 100
	budget := membudget.NewBudget(limit)
	stop := make(chan struct{})
	var failing sync.WaitGroup
	for range 4 {
		failing.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					budget.NewReservation().Reserve(limit + 1)
				}
			}
		})
	}
	for range 100_000 {
		reservation := budget.NewReservation()
		if !reservation.Reserve(limit) {
			t.Error("a reservation within the budget failed")
			break
		}
		if used := budget.Used(); used > limit {
			t.Errorf("%d of %d bytes are in use", used, limit)
			break
		}
		reservation.Close()
	}
	close(stop)
	failing.Wait()
}

// TestBodyIsReservedAsItArrives guards against an announced length that takes the budget before a byte has
// arrived.
func TestBodyIsReservedAsItArrives(t *testing.T) {
	const size, kilo = 32 << 20, 1 << 10
	for _, row := range []struct {
		arrived  int
		reserved int64
	}{{0, 0}, {500, 0}, {600, 128 * kilo}, {127 * kilo, 128 * kilo}, {129 * kilo, 4096 * kilo}, {4095 * kilo, 4096 * kilo}} {
		budget := membudget.NewBudget(2 * size)
		reservation := budget.NewReservation()
		body := io.MultiReader(strings.NewReader(strings.Repeat("b", row.arrived)), iotest.ErrReader(io.ErrNoProgress))
		if _, _, _, err := membudget.Read(body, size, reservation); !errors.Is(err, io.ErrNoProgress) {
			t.Fatal(err)
		}
		if got := budget.Used(); got != row.reserved {
			t.Errorf("%d bytes are reserved after %d have arrived, want %d", got, row.arrived, row.reserved)
		}
		reservation.Close()
	}
}

// TestLargeReservationsLeaveRoom checks that a few large requests do not shut out small ones, and that a
// single one may use all of the budget.
func TestLargeReservationsLeaveRoom(t *testing.T) {
	const limit = 8 << 20
	budget := membudget.NewBudget(limit)
	alone := budget.NewReservation()
	if !alone.Reserve(limit) {
		t.Error("a single request cannot use the whole budget")
	}
	alone.Close()
	small, large := budget.NewReservation(), budget.NewReservation()
	if !small.Reserve(1000) || large.Reserve(limit-1000) || !large.Reserve(limit-limit/8-1000) {
		t.Errorf("%d bytes are reserved", budget.Used())
	}
	if another := budget.NewReservation(); another.Reserve(100<<10) || !another.Reserve(10<<10) {
		t.Errorf("%d bytes are reserved", budget.Used())
	}
}

// TestExhaustedBudgetEvicts checks that a reservation gets the memory of evicted clients, and that it fails at
// once if there are none.
func TestExhaustedBudgetEvicts(t *testing.T) {
	budget := membudget.NewBudget(100)
	var stalled []*membudget.Reservation
	for range 4 {
		reservation := budget.NewReservation()
		if !reservation.Reserve(25) {
			t.Fatal("the budget is exhausted too early")
		}
		stalled = append(stalled, reservation)
	}
	budget.OnExhausted(func() bool {
		if len(stalled) == 0 {
			return false
		}
		victim := stalled[0]
		stalled = stalled[1:]
		go victim.Close() // the client's own goroutine notices its end
		return true
	})
	if !budget.NewReservation().Reserve(60) {
		t.Errorf("%d bytes are reserved, %d clients are left", budget.Used(), len(stalled))
	}
	if len(stalled) != 1 {
		t.Errorf("%d clients are left, want 1", len(stalled))
	}
	stalled = nil
	if budget.NewReservation().Reserve(60) {
		t.Error("a reservation beyond the budget succeeded")
	}
	if budget.NewReservation().Reserve(101) {
		t.Error("a reservation above the budget succeeded")
	}
}

func TestReleasePartOfReservation(t *testing.T) {
	budget := membudget.NewBudget(100)
	reservation := budget.NewReservation()
	if !reservation.Reserve(80) || reservation.Fits(21) || !reservation.Fits(20) {
		t.Errorf("%d bytes are reserved", reservation.Reserved())
	}
	reservation.Release(50)
	if got := budget.Used(); got != 30 {
		t.Errorf("%d bytes are reserved, want 30", got)
	}
	reservation.Release(50) // more than is left
	reservation.Close()
	reservation.Release(10)
	if got := budget.Used(); got != 0 {
		t.Errorf("%d bytes are reserved, want none", got)
	}
}

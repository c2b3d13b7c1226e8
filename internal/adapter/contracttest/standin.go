package contracttest

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
)

// StandIn is the interface of a stand-in that the table uses.
type StandIn interface {
	Addr() string
	Inject(standin.Fault) error
}

// Pairing is an adapter's call to the stand-in of the service that the adapter calls.
type Pairing struct {
	// Start starts a stand-in that stops when the test ends.
	Start func(t *testing.T) StandIn
	// Dial returns the call of an adapter for an address. The call checks its response
	// itself: a wrong response is an error.
	Dial func(address string) (call func(ctx context.Context, number int) error)
	// UnsupportedFaults lists the faults that the stand-in doesn't support for this call.
	UnsupportedFaults []standin.FaultKind
}

// longFaultDuration exceeds the duration of every test.
const longFaultDuration = 10 * time.Minute

// pairedRow is a fault of the stand-in with the adapter's expected error.
type pairedRow struct {
	name    string
	fault   standin.Fault
	verdict port.Verdict
	code    port.Code
	// recovers means that the next call must succeed.
	recovers bool
	// waitDown waits until the stand-in accepts no connections.
	waitDown bool
}

var pairedRows = []pairedRow{
	{name: "late", fault: standin.Fault{Kind: standin.FaultLate, Count: 1, DurationMs: longFaultDuration.Milliseconds()}, verdict: port.MayHaveRun, code: port.CodeDeadline, recovers: true},
	{name: "cut off", fault: standin.Fault{Kind: standin.FaultCut, Count: 1}, verdict: port.MayHaveRun, code: port.CodeBackEnd, recovers: true},
	{name: "answer to another request", fault: standin.Fault{Kind: standin.FaultMix, Count: 1}, verdict: port.MayHaveRun, code: port.CodeBackEnd, recovers: true},
	{name: "refused", fault: standin.Fault{Kind: standin.FaultRefuse, DurationMs: longFaultDuration.Milliseconds()}, verdict: port.NotRun, code: port.CodeUnavailable},
	{name: "hung", fault: standin.Fault{Kind: standin.FaultHang, DurationMs: longFaultDuration.Milliseconds()}, verdict: port.MayHaveRun, code: port.CodeDeadline},
	{name: "crashed", fault: standin.Fault{Kind: standin.FaultCrash, DurationMs: longFaultDuration.Milliseconds()}, verdict: port.NotRun, code: port.CodeBackEnd, waitDown: true},
}

// RunPairing runs faults of the stand-in that match those of Run, to check that adapter
// and stand-in follow the same contract.
func RunPairing(t *testing.T, pairing Pairing) {
	t.Run("no fault", func(t *testing.T) {
		call := pairing.Dial(pairing.Start(t).Addr())
		for number := range 3 {
			if err := call(t.Context(), number); err != nil {
				t.Errorf("call %d: %v", number, err)
			}
		}
	})
	for _, row := range pairedRows {
		t.Run(row.name, func(t *testing.T) {
			started := pairing.Start(t)
			if slices.Contains(pairing.UnsupportedFaults, row.fault.Kind) {
				expectUnsupported(t, started, row.fault)
				return
			}
			runPaired(t, started, pairing.Dial(started.Addr()), row)
		})
	}
}

// expectUnsupported checks that the stand-in rejects a fault listed as unsupported.
func expectUnsupported(t *testing.T, started StandIn, fault standin.Fault) {
	t.Helper()
	if err := started.Inject(fault); err == nil {
		t.Errorf("the stand-in supports fault %s; the pairing lists it as unsupported", fault.Kind)
	}
}

func runPaired(t *testing.T, started StandIn, call func(context.Context, int) error, row pairedRow) {
	t.Helper()
	if err := started.Inject(row.fault); err != nil {
		t.Fatal(err)
	}
	if row.waitDown {
		awaitDown(t, started.Addr())
	}
	var err error
	if row.code == port.CodeDeadline {
		err = callUntilDeadline(t.Context(), call)
	} else {
		err = call(t.Context(), 0)
	}
	expectError(t, "", err, row.verdict, row.code)
	if !row.recovers {
		return
	}
	if err := call(t.Context(), 1); err != nil {
		t.Errorf("the next call: %v", err)
	}
}

// callUntilDeadline calls with a deadline that passes while the call waits for its
// response. If the deadline passed before the request was sent, it tries a longer one.
func callUntilDeadline(ctx context.Context, call func(context.Context, int) error) error {
	for allowed := firstDeadline; ; allowed *= 2 {
		limited, cancel := context.WithTimeout(ctx, allowed)
		err := call(limited, 0)
		cancel()
		if failure := port.AsError(err); failure == nil || failure.Verdict != port.NotRun || failure.Code != port.CodeDeadline {
			return err
		}
	}
}

// awaitDown waits until an address refuses connections.
func awaitDown(t *testing.T, address string) {
	t.Helper()
	for {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = connection.Close()
		select {
		case <-t.Context().Done():
			t.Fatal("the stand-in did not go down")
		case <-time.After(time.Millisecond):
		}
	}
}

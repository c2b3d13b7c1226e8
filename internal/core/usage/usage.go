// Package usage counts the started requests of tenants in time windows, so that each window is
// reported once and with the same counts, whichever process reports it.
//
// A front stores its counts in an Outbox until the control group acknowledges them. The control
// state holds a Ledger with the counts of open windows and of closed windows to report. The
// package reads no clock.
package usage

import (
	"slices"
	"time"
)

// Window numbers a time window: window k starts k lengths after the Unix epoch.
type Window int64

// WindowAt returns the window that contains a time.
func WindowAt(at time.Time, length time.Duration) Window {
	nanos, size := at.UnixNano(), int64(length)
	window := nanos / size
	if nanos%size < 0 {
		window--
	}
	return Window(window)
}

// End returns the end of the window.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// StartedRequests counts requests of a tenant that started Age before the report is sent. Ages
// need no synchronized clocks.
type StartedRequests struct {
	Tenant string        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"`
	Count  uint64        `cbor:"3,keyasint"`
}

// Report holds the counts of a front since its previous report.
type Report struct {
	// Reporter identifies one start of a process. Its reports are numbered from 1; repeated
	// reports are not counted again.
	Reporter string            `cbor:"1,keyasint"`
	Sequence uint64            `cbor:"2,keyasint"`
	Requests []StartedRequests `cbor:"3,keyasint"`
}

// Count is a count of requests in a window.
type Count struct {
	Window Window `cbor:"1,keyasint"`
	Tenant string `cbor:"2,keyasint"`
	Count  uint64 `cbor:"3,keyasint"`
}

// WindowedReport is a Report whose requests are assigned to windows.
type WindowedReport struct {
	Reporter string  `cbor:"1,keyasint"`
	Sequence uint64  `cbor:"2,keyasint"`
	Counts   []Count `cbor:"3,keyasint"`
}

// AssignWindows assigns the requests of a report to windows by their age when it arrived.
func (r Report) AssignWindows(arrived time.Time, length time.Duration) WindowedReport {
	windowed := WindowedReport{Reporter: r.Reporter, Sequence: r.Sequence}
	for _, requests := range r.Requests {
		window := WindowAt(arrived.Add(-requests.Age), length)
		windowed.Counts = append(windowed.Counts, Count{Window: window, Tenant: requests.Tenant, Count: requests.Count})
	}
	return windowed
}

// Carry returns the report with the counts of closed windows moved to the oldest open window, so
// that Ledger.Add counts them, and their number. Counts that are so old that the Ledger may have
// forgotten the reporter stay in their window: they may be repetitions.
func (r WindowedReport) Carry(open Window) (carried WindowedReport, moved uint64) {
	carried = r
	carried.Counts = slices.Clone(r.Counts)
	for i, count := range carried.Counts {
		if count.Window >= open || count.Window+reporterRetention < open {
			continue
		}
		moved += count.Count
		carried.Counts[i].Window = open
	}
	return carried, moved
}

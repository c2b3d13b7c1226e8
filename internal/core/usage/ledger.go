package usage

import (
	"maps"
	"slices"
)

const (
	// maxClosed limits the closed windows that are not yet reported; the oldest are dropped. It
	// covers an hour of 5 s windows.
	maxClosed = 720
	// maxClosedPerCall limits the windows that one call of Close closes after an outage of the
	// control group.
	maxClosedPerCall = 64
	// reporterRetention is the number of windows for which a reporter is stored after its last
	// report. Older counts are not carried: a reporter that is no longer stored may repeat them.
	reporterRetention = 60
)

// Total is a window with its final counts.
type Total struct {
	Window Window            `cbor:"1,keyasint"`
	Counts map[string]uint64 `cbor:"2,keyasint"` // by tenant
}

// Ledger holds the counts of windows. It changes only by Add, Close and Acknowledge in the order
// of the control log, so that all replicas of it are equal. The zero Ledger is empty.
type Ledger struct {
	// Next is the oldest open window; valid only if Started is set.
	Next    Window `cbor:"1,keyasint"`
	Started bool   `cbor:"2,keyasint"`
	// Open holds the counts of open windows by window and tenant.
	Open map[Window]map[string]uint64 `cbor:"3,keyasint"`
	// Closed are closed windows that are not yet reported, oldest first.
	Closed    []Total             `cbor:"4,keyasint"`
	Reporters map[string]reporter `cbor:"5,keyasint"`
}

// reporter is the state of one start of a front.
type reporter struct {
	// Sequence is that of its latest report, Window the newest open window at that time.
	Sequence uint64 `cbor:"1,keyasint"`
	Window   Window `cbor:"2,keyasint"`
}

// Add adds a report unless it was added before. It returns the number of requests that were not
// counted because their window is closed.
func (l *Ledger) Add(report WindowedReport) (late uint64) {
	if l.Reporters == nil {
		l.Reporters, l.Open = map[string]reporter{}, map[Window]map[string]uint64{}
	}
	if report.Sequence <= l.Reporters[report.Reporter].Sequence {
		return 0
	}
	newest := l.Next
	for _, count := range report.Counts {
		if l.Started && count.Window < l.Next {
			late += count.Count
			continue
		}
		if l.Open[count.Window] == nil {
			l.Open[count.Window] = map[string]uint64{}
		}
		l.Open[count.Window][count.Tenant] += count.Count
		newest = max(newest, count.Window)
	}
	l.Reporters[report.Reporter] = reporter{Sequence: report.Sequence, Window: newest}
	return late
}

// Due reports whether Close(upTo) would close a window.
func (l *Ledger) Due(upTo Window) bool {
	if l.Started {
		return l.Next <= upTo
	}
	for window := range l.Open {
		if window <= upTo {
			return true
		}
	}
	return false
}

// Close closes all windows up to upTo, which makes their counts final. It does not create windows
// before the first request.
func (l *Ledger) Close(upTo Window) {
	if !l.Due(upTo) {
		return
	}
	if !l.Started {
		l.Started, l.Next = true, slices.Min(slices.Collect(maps.Keys(l.Open)))
	}
	for closed := 0; l.Next <= upTo && closed < maxClosedPerCall; closed++ {
		total := Total{Window: l.Next, Counts: l.Open[l.Next]}
		if total.Counts == nil {
			total.Counts = map[string]uint64{}
		}
		l.Closed = append(slices.Clip(l.Closed), total)
		delete(l.Open, l.Next)
		l.Next++
	}
	if excess := len(l.Closed) - maxClosed; excess > 0 {
		l.Closed = slices.Clone(l.Closed[excess:])
	}
	maps.DeleteFunc(l.Reporters, func(_ string, r reporter) bool { return r.Window+reporterRetention < l.Next })
}

// Acknowledge removes a reported window.
func (l *Ledger) Acknowledge(window Window) {
	l.Closed = slices.DeleteFunc(slices.Clone(l.Closed), func(total Total) bool { return total.Window == window })
}

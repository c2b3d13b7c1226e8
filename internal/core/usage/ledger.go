package usage

import (
	"maps"
	"slices"
)

const (
	// maxFixed bounds the windows that wait to be reported; the oldest give way. With
	// windows of 5 s they cover an hour without the provider.
	maxFixed = 720
	// maxFixedAtOnce bounds the windows that one Fix makes, after a time without a
	// control group.
	maxFixedAtOnce = 64
	// forgetAfter is how many windows after its last report a reporter is forgotten: no
	// report of before is on its way any more.
	forgetAfter = 60
)

// Total is a window with the counts that it is reported with.
type Total struct {
	Window Window            `cbor:"1,keyasint"`
	Counts map[string]uint64 `cbor:"2,keyasint"` // by tenant
}

// Ledger holds the counts of windows. All of it changes only by Note, Fix and Sent, whose
// order the control log decides, so that every holder of it has the same. The zero Ledger
// is empty.
type Ledger struct {
	// Next is the oldest window that is open; it means nothing before Begun.
	Next  Window `cbor:"1,keyasint"`
	Begun bool   `cbor:"2,keyasint"`
	// Open counts by window and tenant.
	Open map[Window]map[string]uint64 `cbor:"3,keyasint"`
	// Fixed are closed windows that are not reported yet, the oldest first.
	Fixed     []Total             `cbor:"4,keyasint"`
	Reporters map[string]reporter `cbor:"5,keyasint"`
}

// reporter is what is known of one start of one front.
type reporter struct {
	// Sequence is that of its newest report, Window the newest open window then.
	Sequence uint64 `cbor:"1,keyasint"`
	Window   Window `cbor:"2,keyasint"`
}

// Note counts a report, unless it was counted before. It gives how many requests came too
// late: their window is closed.
func (l *Ledger) Note(noted Noted) (late uint64) {
	if l.Reporters == nil {
		l.Reporters, l.Open = map[string]reporter{}, map[Window]map[string]uint64{}
	}
	if noted.Sequence <= l.Reporters[noted.Reporter].Sequence {
		return 0
	}
	newest := l.Next
	for _, count := range noted.Counts {
		if l.Begun && count.Window < l.Next {
			late += count.Count
			continue
		}
		if l.Open[count.Window] == nil {
			l.Open[count.Window] = map[string]uint64{}
		}
		l.Open[count.Window][count.Tenant] += count.Count
		newest = max(newest, count.Window)
	}
	l.Reporters[noted.Reporter] = reporter{Sequence: noted.Sequence, Window: newest}
	return late
}

// Due reports whether Fix up to a window would close any.
func (l *Ledger) Due(upTo Window) bool {
	if l.Begun {
		return l.Next <= upTo
	}
	for window := range l.Open {
		if window <= upTo {
			return true
		}
	}
	return false
}

// Fix closes all windows up to one: their counts do not change any more. Before the first
// request there is nothing to report, and no window is made for it.
func (l *Ledger) Fix(upTo Window) {
	if !l.Due(upTo) {
		return
	}
	if !l.Begun {
		l.Begun, l.Next = true, slices.Min(slices.Collect(maps.Keys(l.Open)))
	}
	for made := 0; l.Next <= upTo && made < maxFixedAtOnce; made++ {
		total := Total{Window: l.Next, Counts: l.Open[l.Next]}
		if total.Counts == nil {
			total.Counts = map[string]uint64{}
		}
		l.Fixed = append(slices.Clip(l.Fixed), total)
		delete(l.Open, l.Next)
		l.Next++
	}
	if surplus := len(l.Fixed) - maxFixed; surplus > 0 {
		l.Fixed = slices.Clone(l.Fixed[surplus:])
	}
	maps.DeleteFunc(l.Reporters, func(_ string, known reporter) bool { return known.Window+forgetAfter < l.Next })
}

// Sent drops a window that was reported.
func (l *Ledger) Sent(window Window) {
	l.Fixed = slices.DeleteFunc(slices.Clone(l.Fixed), func(total Total) bool { return total.Window == window })
}

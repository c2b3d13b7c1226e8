// Package usage counts the requests of tenants that began to run, by windows of time, so
// that each window can be reported once, with the same counts by whoever reports it.
//
// A front keeps what it counted in an Outbox until the control group has it. The control
// state holds a Ledger: counts of open windows, then fixed ones that wait to be reported.
// Nothing here reads a clock.
package usage

import "time"

// Window numbers a window: window k begins k lengths after the Unix epoch.
type Window int64

// WindowAt gives the window of a moment.
func WindowAt(at time.Time, length time.Duration) Window {
	nanos, size := at.UnixNano(), int64(length)
	window := nanos / size
	if nanos%size < 0 {
		window--
	}
	return Window(window)
}

// End gives the moment at which the window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Begun are requests of one tenant that began to run so long before a report is sent. Ages
// need no clock that agrees with another machine's.
type Begun struct {
	Tenant string        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"`
	Count  uint64        `cbor:"3,keyasint"`
}

// Report is what a front counted since its report before.
type Report struct {
	// Reporter names one start of one process. Its reports are numbered from 1; one that
	// was kept already is not counted again.
	Reporter string  `cbor:"1,keyasint"`
	Sequence uint64  `cbor:"2,keyasint"`
	Begun    []Begun `cbor:"3,keyasint"`
}

// Count is a Begun in its window.
type Count struct {
	Window Window `cbor:"1,keyasint"`
	Tenant string `cbor:"2,keyasint"`
	Count  uint64 `cbor:"3,keyasint"`
}

// Noted is a Report with its windows decided.
type Noted struct {
	Reporter string  `cbor:"1,keyasint"`
	Sequence uint64  `cbor:"2,keyasint"`
	Counts   []Count `cbor:"3,keyasint"`
}

// Place decides the windows of a report that arrived at a moment of the agreed time.
func (r Report) Place(arrived time.Time, length time.Duration) Noted {
	noted := Noted{Reporter: r.Reporter, Sequence: r.Sequence}
	for _, begun := range r.Begun {
		window := WindowAt(arrived.Add(-begun.Age), length)
		noted.Counts = append(noted.Counts, Count{Window: window, Tenant: begun.Tenant, Count: begun.Count})
	}
	return noted
}

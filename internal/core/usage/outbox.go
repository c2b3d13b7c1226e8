package usage

import "time"

// maxPending bounds the counts that an Outbox holds: at 48 requests a second of a front
// they cover 20 minutes without a control group.
const maxPending = 60_000

// Outbox holds what a front counted until the control group has kept it. It is not safe
// for concurrent use.
type Outbox struct {
	reporter string
	sequence uint64
	// sending is the report under way, pending what came since.
	sending []begunAt
	pending []begunAt
	dropped uint64
}

type begunAt struct {
	tenant string
	at     time.Duration
}

// NewOutbox makes an empty Outbox; reporter names this start of the process.
func NewOutbox(reporter string) *Outbox { return &Outbox{reporter: reporter} }

// Note counts a request that began to run at a moment of the process's clock, one that also
// counts suspended time.
func (o *Outbox) Note(tenant string, at time.Duration) {
	if len(o.pending) >= maxPending {
		o.dropped++
		return
	}
	o.pending = append(o.pending, begunAt{tenant, at})
}

// Dropped is how many requests were not counted for want of room.
func (o *Outbox) Dropped() uint64 { return o.dropped }

// Next gives the report to send: the last one again until Kept is called. It reports
// false if there is nothing to send. Now is by the clock of Note.
func (o *Outbox) Next(now time.Duration) (Report, bool) {
	if len(o.sending) == 0 {
		if len(o.pending) == 0 {
			return Report{}, false
		}
		o.sending, o.pending = o.pending, nil
		o.sequence++
	}
	report := Report{Reporter: o.reporter, Sequence: o.sequence, Begun: make([]Begun, 0, len(o.sending))}
	for _, begun := range o.sending {
		report.Begun = append(report.Begun, Begun{Tenant: begun.tenant, Age: now - begun.at, Count: 1})
	}
	return report, true
}

// Empty reports whether the control group has all that was counted.
func (o *Outbox) Empty() bool { return len(o.sending) == 0 && len(o.pending) == 0 }

// Kept notes that the control group has the report under way.
func (o *Outbox) Kept() { o.sending = nil }

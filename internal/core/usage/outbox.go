package usage

import "time"

// maxPending limits the unacknowledged counts of an Outbox. At 48 requests per second of a front
// it covers 20 minutes without a control group.
const maxPending = 60_000

// Outbox holds the counts of a front until the control group acknowledges them. It is not safe
// for concurrent use.
type Outbox struct {
	reporter string
	sequence uint64
	// sending is the report in flight; pending are the requests since.
	sending []startedRequest
	pending []startedRequest
	dropped uint64
}

type startedRequest struct {
	tenant string
	at     time.Duration
}

// NewOutbox returns an empty Outbox; reporter identifies this start of the process.
func NewOutbox(reporter string) *Outbox { return &Outbox{reporter: reporter} }

// Add counts a request that started at a time of the process's monotonic clock, which includes
// suspended time.
func (o *Outbox) Add(tenant string, at time.Duration) {
	if len(o.pending) >= maxPending {
		o.dropped++
		return
	}
	o.pending = append(o.pending, startedRequest{tenant, at})
}

// Dropped returns the number of requests that were not counted because the Outbox was full.
func (o *Outbox) Dropped() uint64 { return o.dropped }

// Next returns the report to send, the same one until Acknowledge is called. It returns false if
// there is nothing to send. Now is of the same clock as in Add.
func (o *Outbox) Next(now time.Duration) (Report, bool) {
	if len(o.sending) == 0 {
		if len(o.pending) == 0 {
			return Report{}, false
		}
		o.sending, o.pending = o.pending, nil
		o.sequence++
	}
	report := Report{Reporter: o.reporter, Sequence: o.sequence, Requests: make([]StartedRequests, 0, len(o.sending))}
	for _, request := range o.sending {
		report.Requests = append(report.Requests, StartedRequests{Tenant: request.tenant, Age: now - request.at, Count: 1})
	}
	return report, true
}

// Empty reports whether the control group acknowledged all counts.
func (o *Outbox) Empty() bool { return len(o.sending) == 0 && len(o.pending) == 0 }

// Acknowledge records that the control group acknowledged the report in flight.
func (o *Outbox) Acknowledge() { o.sending = nil }

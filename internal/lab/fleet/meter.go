package fleet

import "time"

// work is a kind of work that bytes, messages and processor time are counted by.
type work uint8

// The kinds of work.
const (
	workState work = iota
	workWatch
	workMembership
	workSummaries
	workAggregates
	workReports
	workLeases
	workPoolStates
	workOrders
	workSampling
	workPlacement
	workEngines
	workConsensus
	workProposals
	workPings
	works
)

var workNames = [works]string{
	"state", "watch", "membership", "summaries", "aggregates", "reports", "leases", "pool-states", "orders",
	"sampling", "placement", "engine-polls", "consensus", "proposals", "pings",
}

// tally counts what one process sent, received and worked.
type tally struct {
	sent, received         [works]uint64 // messages
	sentBytes, receivedIn  [works]uint64
	busy                   [works]time.Duration
	second                 time.Duration
	secondBytes, mostBytes uint64
}

// countSent counts a frame on its way out.
func (t *tally) countSent(now time.Duration, kind work, bytes int) {
	t.sent[kind]++
	t.sentBytes[kind] += uint64(bytes)
	t.countSecond(now, bytes)
}

// countReceived counts a frame that came in.
func (t *tally) countReceived(now time.Duration, kind work, bytes int) {
	t.received[kind]++
	t.receivedIn[kind] += uint64(bytes)
	t.countSecond(now, bytes)
}

// countSecond keeps the bytes of the busiest second, both ways together.
func (t *tally) countSecond(now time.Duration, bytes int) {
	if second := now.Truncate(time.Second); second != t.second {
		t.second, t.secondBytes = second, 0
	}
	t.secondBytes += uint64(bytes)
	t.mostBytes = max(t.mostBytes, t.secondBytes)
}

// messages gives the messages sent and received.
func (t *tally) messages() uint64 {
	total := uint64(0)
	for kind := range works {
		total += t.sent[kind] + t.received[kind]
	}
	return total
}

// bytes gives the bytes sent and received.
func (t *tally) bytes() (sent, received uint64) {
	for kind := range works {
		sent += t.sentBytes[kind]
		received += t.receivedIn[kind]
	}
	return sent, received
}

// cpu gives the processor time of all work.
func (t *tally) cpu() time.Duration {
	total := time.Duration(0)
	for _, busy := range t.busy {
		total += busy
	}
	return total
}

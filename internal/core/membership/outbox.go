package membership

import (
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// outbox holds the notices that wait to be sent to the whole zone. A later
// notice about a node takes the place of an earlier one, which it makes void, so
// that there is at most one for each node of the zone, however often nodes are
// suspected and refute.
type outbox struct{ notices []notice }

// notice is a message with the receivers that it has not been sent to.
type notice struct {
	message   Message
	receivers []port.NodeID
}

// about names the node that a message is about.
func (m *Message) about() port.NodeID {
	if m.About == "" {
		return m.From
	}
	return m.About
}

// add queues a notice. In place of an earlier one about the same node, it goes
// first to those that the earlier one did not reach, so that notices that follow
// each other quickly don't leave the same receivers out each time.
func (o *outbox) add(message Message, receivers []port.NodeID) {
	place := slices.IndexFunc(o.notices, func(queued notice) bool {
		return queued.message.about() == message.about()
	})
	if place < 0 {
		o.notices = append(o.notices, notice{message: message, receivers: receivers})
		return
	}
	o.notices[place] = notice{message: message, receivers: inTurn(o.notices[place].receivers, receivers)}
}

// inTurn gives the sorted receivers, those that are still to be reached first.
func inTurn(unreached, receivers []port.NodeID) []port.NodeID {
	if len(unreached) == 0 {
		return receivers
	}
	start, _ := slices.BinarySearch(receivers, unreached[0])
	return slices.Concat(receivers[start:], receivers[:start])
}

// take appends up to count messages, those of the oldest notice first.
func (o *outbox) take(count int, messages []Envelope) []Envelope {
	for count > 0 && len(o.notices) > 0 {
		first := &o.notices[0]
		now := min(count, len(first.receivers))
		for _, receiver := range first.receivers[:now] {
			messages = append(messages, Envelope{To: receiver, Message: first.message})
		}
		count -= now
		first.receivers = first.receivers[now:]
		if len(first.receivers) == 0 {
			o.notices = slices.Delete(o.notices, 0, 1)
		}
	}
	return messages
}

package membership

import (
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// outbox queues the notices to all nodes of the zone. A notice replaces an earlier one
// about the same node, so that the queue holds at most one notice per node.
type outbox struct{ notices []notice }

// notice is a message with its remaining receivers.
type notice struct {
	message   Message
	receivers []port.NodeID
}

// about returns the node that a message is about.
func (m *Message) about() port.NodeID {
	if m.About == "" {
		return m.From
	}
	return m.About
}

// add queues a notice. If it replaces an earlier one, the receivers that the earlier one did
// not reach come first, so that frequent notices do not always skip the same receivers.
func (o *outbox) add(message Message, receivers []port.NodeID) {
	position := slices.IndexFunc(o.notices, func(queued notice) bool {
		return queued.message.about() == message.about()
	})
	if position < 0 {
		o.notices = append(o.notices, notice{message: message, receivers: receivers})
		return
	}
	o.notices[position] = notice{message: message, receivers: unreachedFirst(o.notices[position].receivers, receivers)}
}

// unreachedFirst rotates the sorted receivers so that the first unreached one comes first.
func unreachedFirst(unreached, receivers []port.NodeID) []port.NodeID {
	if len(unreached) == 0 {
		return receivers
	}
	start, _ := slices.BinarySearch(receivers, unreached[0])
	return slices.Concat(receivers[start:], receivers[:start])
}

// dequeue appends up to count queued messages to messages, oldest notice first.
func (o *outbox) dequeue(count int, messages []Envelope) []Envelope {
	for count > 0 && len(o.notices) > 0 {
		first := &o.notices[0]
		dequeued := min(count, len(first.receivers))
		for _, receiver := range first.receivers[:dequeued] {
			messages = append(messages, Envelope{To: receiver, Message: first.message})
		}
		count -= dequeued
		first.receivers = first.receivers[dequeued:]
		if len(first.receivers) == 0 {
			o.notices = slices.Delete(o.notices, 0, 1)
		}
	}
	return messages
}

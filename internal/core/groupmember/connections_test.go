package groupmember_test

import (
	"math/rand/v2"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

const (
	// repeatTicks is the time until lost packets are repeated, 200 ms; it doubles with each
	// further loss.
	repeatTicks = 4
	// windowPackets is the number of packets that are under way at once, 64 kB.
	windowPackets = 44
	// idleTicks is the time without a message after which a connection is closed, 1.5 s; the
	// message under way is lost, and the next one uses a new connection.
	idleTicks = 25
)

// connections deliver messages as TCP does over links that lose packets: in order, and later
// than a lost packet that precedes them. The log has a connection of its own for each pair of
// members.
type connections struct {
	random *rand.Rand
	loss   float64
	// entryPackets is the number of packets of a log entry.
	entryPackets int
	byPair       map[connectionKey]*connection
	order        []connectionKey
}

type connectionKey struct {
	from, to consensus.MemberID
	log      bool
}

type connection struct {
	// freeAt is the tick at which the last message arrives.
	freeAt  int
	pending []delivery
}

func newConnections(random *rand.Rand, loss float64, entryPackets int) *connections {
	return &connections{random: random, loss: loss, entryPackets: entryPackets, byPair: map[connectionKey]*connection{}}
}

func (c *connections) send(now int, message consensus.Message) {
	key := connectionKey{from: message.From, to: message.To, log: message.Kind.CarriesLog()}
	link := c.byPair[key]
	if link == nil {
		link = &connection{}
		c.byPair[key] = link
		c.order = append(c.order, key)
	}
	held := c.holdUp(c.packets(message)) // the delay itself is far below a tick
	link.freeAt = max(link.freeAt, now) + min(held, idleTicks)
	if held > idleTicks {
		return // lost with its connection
	}
	link.pending = append(link.pending, delivery{at: link.freeAt, message: message})
}

// packets returns the number of packets of a message; a command in a snapshot takes as many as
// an entry.
func (c *connections) packets(message consensus.Message) int {
	count := 1 + c.entryPackets*len(message.Entries)
	if message.Chunk != nil {
		const commandBytes = 9
		count += c.entryPackets * len(message.Chunk.Data) / commandBytes
	}
	return count
}

// holdUp returns how many ticks the lost packets of a message hold it up.
func (c *connections) holdUp(packets int) int {
	ticks := 0
	for ; packets > 0; packets -= windowPackets {
		lost := c.lost(min(packets, windowPackets))
		for repeat := repeatTicks; lost > 0; repeat *= 2 {
			ticks += repeat
			lost = c.lost(lost)
		}
	}
	return ticks
}

// lost returns how many of a number of packets are lost.
func (c *connections) lost(packets int) int {
	lost := 0
	for range packets {
		if c.random.Float64() < c.loss {
			lost++
		}
	}
	return lost
}

// receive returns the messages that have arrived, those of one connection in order.
func (c *connections) receive(now int) []delivery {
	var due []delivery
	for _, key := range c.order {
		link := c.byPair[key]
		for len(link.pending) > 0 && link.pending[0].at <= now {
			due = append(due, link.pending[0])
			link.pending = link.pending[1:]
		}
	}
	return due
}

// reset ends the connections of a member: what has not arrived is lost.
func (c *connections) reset(id consensus.MemberID) {
	for key := range c.byPair {
		if key.from == id || key.to == id {
			*c.byPair[key] = connection{}
		}
	}
}

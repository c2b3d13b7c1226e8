package chaos

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Times of an observer.
const (
	renewInterval = 500 * time.Millisecond
	// watchTimeout is how long an observer stays with a member that does not confirm its
	// view.
	watchTimeout = 2 * time.Second
)

// observer is a node that watches one member at a time and switches to another when that
// member is unresponsive or does not confirm the view.
type observer struct {
	world     *World
	number    int
	state     *controlstate.Observer
	source    consensus.MemberID
	confirmed time.Duration
	// awayUntil is the time until which the observer drops all messages.
	awayUntil time.Duration
	// startPosition is the log position that a member must have applied before it may send the
	// observer its first view; awaitingStart is set until the leader reports this position.
	startPosition uint64
	awaitingStart bool
	// session counts restarts, which invalidate earlier subscriptions.
	session uint64
	// unguardedView replaces state under WeaknessObserversGoBack: older views replace newer.
	unguardedView *port.View
	position      uint64
	revision      port.Revision
	// firstShown is the time at which the observer first had a revision, for measurements.
	firstShown map[port.Revision]time.Duration
}

func newObserver(world *World, number int) *observer {
	observer := &observer{
		world: world, number: number, state: controlstate.NewObserver(),
		unguardedView: &port.View{}, firstShown: map[port.Revision]time.Duration{},
	}
	world.after(world.randomDuration(0, renewInterval), observer.renew)
	return observer
}

func (o *observer) view() *port.View {
	if o.world.options.Weakness == WeaknessObserversGoBack {
		return o.unguardedView
	}
	return o.state.View()
}

// renew periodically renews the subscription, at another member if the current one does not
// confirm the view.
func (o *observer) renew() {
	o.world.after(renewInterval, o.renew)
	if o.world.now < o.awayUntil {
		return
	}
	if o.source == consensus.None || o.world.now-o.confirmed > watchTimeout {
		o.source = o.world.anyMachine().id
		o.confirmed = o.world.now
	}
	o.subscribe()
}

// disconnect makes the observer drop all messages temporarily. Half of the time it also
// restarts without a view; its later views must not be older than those before the restart.
func (o *observer) disconnect(absence time.Duration) {
	o.awayUntil = o.world.now + absence
	if o.world.random.IntN(2) == 0 {
		return
	}
	o.world.coverage.ObserverRestarts++
	o.session++
	o.state, o.unguardedView = controlstate.NewObserver(), &port.View{}
	o.awaitingStart = o.world.options.Weakness != WeaknessStaleStart
}

// requestStartPosition requests from the leader the position of the first view, as a
// member does for an observer without a view.
func (o *observer) requestStartPosition() {
	leader := o.world.leader()
	if leader == nil {
		return
	}
	session := o.session
	o.world.submit(leader, nil, func(reply response) {
		if reply.err == nil && o.session == session {
			o.startPosition, o.awaitingStart = reply.result.Index, false
		}
	})
}

func (o *observer) subscribe() {
	if o.awaitingStart {
		o.requestStartPosition()
		return
	}
	floor, session := o.startPosition, o.session
	machine, position := o.world.machine(o.source), o.view().Position
	if o.world.options.Weakness == WeaknessObserversGoBack {
		position = 0
	}
	o.world.network.send(outside, machine.id, o.world.now, func() {
		machine.process(func() {
			if machine.member.State().Applied() < floor {
				return
			}
			machine.subscriptions[o.number] = subscription{position: position, session: session}
			machine.pushTo(o.number)
		})
	})
}

func (o *observer) receive(from consensus.MemberID, session uint64, update port.ViewUpdate) {
	if from != o.source || session != o.session || o.world.now < o.awayUntil {
		return
	}
	before := o.view()
	if o.world.options.Weakness == WeaknessObserversGoBack {
		if update.Full != nil {
			o.unguardedView = update.Full
		}
	} else if _, err := o.state.Apply(update); err != nil {
		o.subscribe()
	}
	if update.Confirmed && update.Position >= o.view().Position {
		o.confirmed = o.world.now
	}
	o.world.coverage.countUpdate(before, o.view(), update)
	o.check()
}

// check checks that position and revision never decrease, even after restarts, and that
// the view equals that of the log at its position. It ignores observers without a view.
func (o *observer) check() {
	view := o.view()
	if view.Position == 0 {
		return
	}
	if view.Position < o.position || view.Revision < o.revision {
		o.world.violation("observers never go back", "observer %d went from revision %d at %d to revision %d at %d",
			o.number, o.revision, o.position, view.Revision, view.Position)
	}
	if view.Revision > o.revision {
		o.firstShown[view.Revision] = o.world.now
	}
	o.position, o.revision = view.Position, view.Revision
	o.world.audit.checkView(o.number, view)
}

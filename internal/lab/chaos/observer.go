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
	// watchTimeout is how long an observer stays with a member that does not
	// confirm its view.
	watchTimeout = 2 * time.Second
)

// observer is a node that watches one member at a time and moves on when that
// member is silent or out of touch with a quorum.
type observer struct {
	world     *World
	number    int
	state     *controlstate.Observer
	source    consensus.MemberID
	confirmed time.Duration
	// away is until when the observer is deaf.
	away time.Duration
	// floor is the position in the log that a member must have applied before it
	// may give the observer its first view; fresh is set until it is known.
	floor uint64
	fresh bool
	// session counts restarts: connections from before a restart are gone.
	session uint64
	// loose is the view without the safeguard against going back.
	loose    *port.View
	position uint64
	revision port.Revision
	// reached notes when a revision was first shown, for measurements.
	reached map[port.Revision]time.Duration
}

func newObserver(world *World, number int) *observer {
	observer := &observer{
		world: world, number: number, state: controlstate.NewObserver(),
		loose: &port.View{}, reached: map[port.Revision]time.Duration{},
	}
	world.after(world.between(0, renewInterval), observer.renew)
	return observer
}

func (o *observer) view() *port.View {
	if o.world.options.Weakness == WeaknessObserversGoBack {
		return o.loose
	}
	return o.state.View()
}

// renew asks the member for updates again; it runs all the time.
func (o *observer) renew() {
	o.world.after(renewInterval, o.renew)
	if o.world.now < o.away {
		return
	}
	if o.source == consensus.None || o.world.now-o.confirmed > watchTimeout {
		o.source = o.world.anyMachine().id
		o.confirmed = o.world.now
	}
	o.subscribe()
}

// leave makes the observer deaf for a while. Half of the times it is a restart:
// it comes back with nothing, yet what it showed before still counts.
func (o *observer) leave(absence time.Duration) {
	o.away = o.world.now + absence
	if o.world.random.IntN(2) == 0 {
		return
	}
	o.world.coverage.ObserverRestarts++
	o.session++
	o.state, o.loose = controlstate.NewObserver(), &port.View{}
	o.fresh = o.world.options.Weakness != WeaknessStaleStart
}

// askFloor asks the leader for the position to begin at, as a member does for an
// observer that holds nothing.
func (o *observer) askFloor() {
	leader := o.world.leader()
	if leader == nil {
		return
	}
	session := o.session
	o.world.submit(leader, nil, func(reply answer) {
		if reply.err == nil && o.session == session {
			o.floor, o.fresh = reply.result.Index, false
		}
	})
}

func (o *observer) subscribe() {
	if o.fresh {
		o.askFloor()
		return
	}
	floor, session := o.floor, o.session
	machine, position := o.world.machine(o.source), o.view().Position
	if o.world.options.Weakness == WeaknessObserversGoBack {
		position = 0
	}
	o.world.network.carry(outside, machine.id, o.world.now, func() {
		machine.process(func() {
			if machine.member.State().Applied() < floor {
				return
			}
			machine.watchers[o.number] = watch{position: position, session: session}
			machine.pushTo(o.number)
		})
	})
}

func (o *observer) receive(from consensus.MemberID, session uint64, update port.ViewUpdate) {
	if from != o.source || session != o.session || o.world.now < o.away {
		return
	}
	before := o.view()
	if o.world.options.Weakness == WeaknessObserversGoBack {
		if update.Full != nil {
			o.loose = update.Full
		}
	} else if _, err := o.state.Apply(update); err != nil {
		o.subscribe()
	}
	if update.Confirmed && update.Position >= o.view().Position {
		o.confirmed = o.world.now
	}
	o.world.coverage.noteUpdate(before, o.view(), update)
	o.check()
}

// check demands that position and revision never fall, also not over restarts,
// and that equal positions show equal revisions everywhere. An observer without
// a view shows nothing.
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
		o.reached[view.Revision] = o.world.now
	}
	o.position, o.revision = view.Position, view.Revision
	o.world.audit.checkView(o.number, view)
}

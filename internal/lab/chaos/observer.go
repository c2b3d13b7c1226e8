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
	if o.source == consensus.None || o.world.now-o.confirmed > watchTimeout {
		o.source = o.world.anyMachine().id
		o.confirmed = o.world.now
	}
	o.subscribe()
}

func (o *observer) subscribe() {
	machine, position := o.world.machine(o.source), o.view().Position
	if o.world.options.Weakness == WeaknessObserversGoBack {
		position = 0
	}
	o.world.network.carry(outside, machine.id, o.world.now, func() {
		machine.process(func() {
			machine.watchers[o.number] = position
			machine.pushTo(o.number)
		})
	})
}

func (o *observer) receive(from consensus.MemberID, update port.ViewUpdate) {
	if from != o.source {
		return
	}
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
	o.check()
}

// check demands that position and revision never fall, and that equal positions
// show equal revisions everywhere.
func (o *observer) check() {
	view := o.view()
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

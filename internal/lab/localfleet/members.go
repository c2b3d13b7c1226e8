package localfleet

import (
	"context"
	"fmt"
	"net"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/app/control"
	"github.com/loomgrade/loomgrade/internal/core/policy"
)

// memberSlot is a control member's id and addresses, and the running member, nil while
// it is killed.
type memberSlot struct {
	id              uint64
	peerAddress     string
	operatorAddress string
	member          *control.Member
}

func (f *Fleet) startMembers(ctx context.Context) error {
	listeners := make([][2]net.Listener, f.plan.ControlMembers)
	for index := range listeners {
		pair, err := listenPair()
		if err != nil {
			return err
		}
		listeners[index] = pair
		f.members = append(f.members, &memberSlot{
			id:              uint64(index + 1),
			peerAddress:     pair[0].Addr().String(),
			operatorAddress: pair[1].Addr().String(),
		})
	}
	for index, slot := range f.members {
		config := f.memberConfig(slot)
		config.PeerListener, config.OperatorListener = listeners[index][0], listeners[index][1]
		if err := slot.start(config); err != nil {
			return err
		}
	}
	for _, slot := range f.members {
		select {
		case <-slot.member.Ready():
		case <-slot.member.Done():
			return slot.member.Wait()
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "control member %d", slot.id)
		}
	}
	return nil
}

// listenPair opens two listeners on free loopback ports.
func listenPair() ([2]net.Listener, error) {
	var pair [2]net.Listener
	for index := range pair {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return pair, eris.Wrap(err, "listen")
		}
		pair[index] = listener
	}
	return pair, nil
}

func (f *Fleet) memberConfig(slot *memberSlot) control.Config {
	config := control.Config{
		Cluster:            f.plan.Cluster,
		ID:                 slot.id,
		DataFolder:         f.dataFolder(fmt.Sprintf("control-%d", slot.id)),
		PeerAddress:        slot.peerAddress,
		OperatorAddress:    slot.operatorAddress,
		OperatorToken:      operatorToken,
		Seed:               f.plan.Seed + slot.id,
		CheckConfiguration: policy.CheckConfiguration,
		Logger:             f.options.Logger,
	}
	for _, other := range f.members {
		config.Members = append(config.Members, control.Address{ID: other.id, Peer: other.peerAddress})
	}
	return config
}

func (s *memberSlot) start(config control.Config) error {
	member, err := control.Start(config)
	s.member = member
	return err
}

func (s *memberSlot) kill() error {
	if s.member == nil {
		return nil
	}
	err := s.member.Kill()
	s.member = nil
	return err
}

// KillMember stops a control member as a crash would. Its data folder remains.
func (f *Fleet) KillMember(index int) error { return f.members[index].kill() }

// RestartMember starts a killed control member from its data folder.
func (f *Fleet) RestartMember(index int) error {
	slot := f.members[index]
	return slot.start(f.memberConfig(slot))
}

// OperatorAddress returns the IP:port of a control member's operator interface.
func (f *Fleet) OperatorAddress(index int) string { return f.members[index].operatorAddress }

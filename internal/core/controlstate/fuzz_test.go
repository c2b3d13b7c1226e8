package controlstate

import (
	"bytes"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// commandSeeds returns a command of each kind, in an order that an empty state accepts.
func commandSeeds() []port.Command {
	address := "http://10.0.0.3"
	pool := port.PoolName("a")
	sample := port.CommittedSample{ID: port.SampleID{Pool: pool, Epoch: 1, Sequence: 1}, Prompt: 0, Oldest: 1}
	pair := sample
	pair.ID.Sequence = 2
	return []port.Command{
		change(1, 0, putPool(pool), port.Edit{MachineList: &address}),
		{Time: startTime, AcquireLease: &port.AcquireLease{Name: port.CoordinatorLease(pool), Holder: "node", TTL: time.Minute}},
		{Time: startTime, RegisterConsumer: &port.RegisterConsumer{Pool: pool, Consumer: "trainer"}},
		{Time: startTime, PublishWeights: &port.PublishWeights{Pool: pool, Version: 1, Bytes: 1}},
		{Time: startTime, CommitBatch: &port.CommitBatch{
			Pool: pool, CoordinatorEpoch: 1, ConsumerEpoch: 2, Number: 1, Attempt: 1, Samples: []port.CommittedSample{sample, pair},
		}},
		{Time: startTime, RegisterNode: &port.RegisterNode{Node: port.NodeAddress{ID: "node", Zone: "z", PeerAddress: "10.0.0.1:1", HTTPAddress: "10.0.0.1:2"}}},
		{Time: startTime + 1, TimeJump: 1, RemoveNode: &port.RemoveNode{ID: "node"}},
		{Time: startTime, ReleaseLease: &port.ReleaseLease{Name: port.CoordinatorLease(pool), Holder: "node", Epoch: 1}},
	}
}

// FuzzDecodeCommand applies an arbitrary decoded command: two states must agree, a
// snapshot must restore to the same bytes, and the revision may increase by at most one.
func FuzzDecodeCommand(f *testing.F) {
	for _, command := range commandSeeds() {
		data, err := EncodeCommand(command)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := DecodeCommand(data)
		if err != nil {
			return
		}
		first, second := filledState(), filledState()
		before, next := first.Revision(), first.Applied()+1
		result := first.Apply(next, 2, command)
		second.Apply(next, 2, command)
		if after := first.Revision(); after < before || after > before+1 || after > before && result.Error != nil {
			t.Fatalf("revision %d became %d with %v", before, after, result.Error)
		}
		one, two := mustSnapshot(t, first), mustSnapshot(t, second)
		if !bytes.Equal(one, two) {
			t.Fatal("two states that applied the same commands differ")
		}
		restored := New()
		if err := restored.Restore(one); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(mustSnapshot(t, restored), one) {
			t.Fatal("the restored state differs")
		}
	})
}

// filledState returns a state that applied one command of each kind that adds something.
func filledState() *State {
	state := New()
	for number, command := range commandSeeds()[:6] {
		state.Apply(uint64(number+1), 1, command)
	}
	return state
}

func mustSnapshot(t testing.TB, state *State) []byte {
	t.Helper()
	data, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestCommandSeedsAreAccepted checks that the fuzz seeds are valid commands.
func TestCommandSeedsAreAccepted(t *testing.T) {
	state := New()
	for number, command := range commandSeeds() {
		if result := state.Apply(uint64(number+1), 1, command); result.Error != nil {
			t.Errorf("command %d: %v", number, result.Error)
		}
	}
}

// FuzzRestore restores arbitrary bytes: an accepted snapshot must be usable, and
// encoding it again must restore to the same bytes.
func FuzzRestore(f *testing.F) {
	f.Add(mustSnapshot(f, filledState()))
	f.Add(mustSnapshot(f, New()))
	f.Fuzz(func(t *testing.T, data []byte) {
		restored := New()
		if restored.Restore(data) != nil {
			return
		}
		restored.View()
		for number, command := range commandSeeds() {
			restored.Apply(restored.Applied()+1, uint64(number+1), command)
		}
		encoded := mustSnapshot(t, restored)
		second := New()
		if err := second.Restore(encoded); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(mustSnapshot(t, second), encoded) {
			t.Fatal("the restored state differs")
		}
	})
}

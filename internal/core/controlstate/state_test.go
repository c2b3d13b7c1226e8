package controlstate

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

const startTime = int64(1_700_000_000_000)

func changeID(createdAt int64, number int) string {
	return registry.FormatChangeID(time.UnixMilli(createdAt), []byte{byte(number >> 24), byte(number >> 16), byte(number >> 8), byte(number)})
}

func samplingPool(name port.PoolName) port.Pool {
	return port.Pool{
		Name: name, Kind: port.PoolGeneration,
		Admission: port.Admission{MinInflight: 1, MaxInflight: 8, QueueLength: 16, DefaultDeadline: port.Duration(time.Second)},
		Retry:     port.Retry{MaxAttempts: 1},
		Sampling:  &port.Sampling{StalenessBound: 1, BatchSamples: 2, GroupSize: 2, MaxTokens: 10, PromptSource: "http://10.0.0.1"},
	}
}

func replica(number int, pool port.PoolName) port.Replica {
	return port.Replica{
		ID: port.ReplicaID(fmt.Sprintf("r%05d", number)), Pool: pool, Zone: "z1",
		Address: fmt.Sprintf("10.%d.%d.1:80", number/250, number%250), State: port.ReplicaActive,
	}
}

// change returns a configuration change whose change id was created at startTime.
func change(number int, expected port.Revision, edits ...port.Edit) port.Command {
	return port.Command{
		ChangeID: changeID(startTime, number), Time: startTime + int64(number),
		ChangeConfiguration: &port.ChangeConfiguration{Expected: expected, Edits: edits},
	}
}

func putPool(name port.PoolName) port.Edit {
	pool := samplingPool(name)
	return port.Edit{PutPool: &pool}
}

func code(result port.Result) port.Code {
	if result.Error == nil {
		return ""
	}
	return result.Error.Code
}

func TestConfigurationChangesAreCompareAndSwap(t *testing.T) {
	state := New()
	first := state.Apply(1, 1, change(1, 0, putPool("a")))
	second := state.Apply(2, 1, change(2, 0, putPool("b")))
	if code(first) != "" || code(second) != port.CodeConflict || second.Revision != 1 {
		t.Fatalf("first %+v, second %+v", first, second)
	}
	if repeated := state.Apply(3, 2, change(1, 0, putPool("a"))); !reflect.DeepEqual(repeated, first) {
		t.Fatalf("repeated change returned %+v, want %+v", repeated, first)
	}
	if rejected := state.Apply(4, 2, change(2, 0, putPool("b"))); !reflect.DeepEqual(rejected, second) {
		t.Fatalf("repeated rejected change returned %+v, want %+v", rejected, second)
	}
	if reused := state.Apply(5, 2, change(1, 1, putPool("c"))); code(reused) != port.CodeChangeIDReused {
		t.Fatalf("same id, other body: %+v", reused)
	}
	late := change(1, 0, putPool("a"))
	late.Time = startTime + registry.ResultLifetime.Milliseconds() + 1000
	if expired := state.Apply(6, 2, late); code(expired) != port.CodeChangeExpired || state.Revision() != 1 {
		t.Fatalf("repeated after the change id expired: %+v", expired)
	}
	restored := New()
	if err := restored.Restore(mustSnapshot(t, state)); err != nil {
		t.Fatal(err)
	}
	if expired := restored.Apply(7, 2, late); code(expired) != port.CodeChangeExpired || restored.CachedResults() != 0 {
		t.Fatalf("repeated after a snapshot: %+v, %d cached results", expired, restored.CachedResults())
	}
	if missing := state.Apply(7, 2, port.Command{ChangeConfiguration: &port.ChangeConfiguration{}}); code(missing) != port.CodeInvalid {
		t.Fatalf("without a change id: %+v", missing)
	}
	if history := state.History(); len(history) != 1 || history[0].Index != 1 {
		t.Fatalf("history %+v", history)
	}
}

func TestLogTimeNeverGoesBack(t *testing.T) {
	state := New()
	acquire := func(index uint64, holder port.NodeID, when int64) port.Result {
		return state.Apply(index, 1, port.Command{Time: when, AcquireLease: &port.AcquireLease{Name: "l", Holder: holder, TTL: time.Second}})
	}
	acquire(1, "n1", startTime)
	state.Apply(2, 1, port.Command{Time: startTime + 2000, RemoveNode: &port.RemoveNode{ID: "x"}})
	if acquired := acquire(3, "n2", startTime-5000); code(acquired) != "" || acquired.Lease.Epoch != 2 {
		t.Fatalf("a command with an earlier time renewed an expired lease: %+v", acquired)
	}
	if state.Time() != startTime+2000 {
		t.Fatalf("time %d", state.Time())
	}
}

// TestBatchesAgainstPublications checks commits after publications, lease changes and
// registrations at earlier positions of the log.
func TestBatchesAgainstPublications(t *testing.T) {
	state := New()
	pool := port.PoolName("a")
	index := uint64(0)
	apply := func(command port.Command) port.Result {
		index++
		command.Time = startTime
		return state.Apply(index, 1, command)
	}
	apply(change(1, 0, putPool(pool)))
	publish := func(version port.WeightVersion, epoch port.Epoch) port.Result {
		return apply(port.Command{PublishWeights: &port.PublishWeights{Pool: pool, Version: version, ConsumerEpoch: epoch}})
	}
	lease := apply(port.Command{AcquireLease: &port.AcquireLease{Name: port.CoordinatorLease(pool), Holder: "n1", TTL: time.Minute}}).Lease
	consumer := apply(port.Command{RegisterConsumer: &port.RegisterConsumer{Pool: pool, Consumer: "t"}}).Consumer
	commit := func(number port.BatchNumber, oldest port.WeightVersion) port.Result {
		samples := make([]port.CommittedSample, 2)
		for position := range samples {
			samples[position] = port.CommittedSample{
				ID: port.SampleID{Pool: pool, Epoch: lease.Epoch, Sequence: uint64(number)*2 + uint64(position)}, Prompt: port.PromptIndex(number), Oldest: oldest,
			}
		}
		return apply(port.Command{CommitBatch: &port.CommitBatch{
			Pool: pool, CoordinatorEpoch: lease.Epoch, ConsumerEpoch: consumer.Epoch, Number: number, Attempt: 1, Acknowledge: number - 1, Samples: samples,
		}})
	}
	publish(1, consumer.Epoch)
	steps := []struct {
		name string
		run  func() port.Result
		want port.Code
	}{
		{"current version", func() port.Result { return commit(1, 1) }, ""},
		{"version published twice", func() port.Result { return publish(1, 0) }, port.CodeConflict},
		{"one version behind", func() port.Result { publish(2, consumer.Epoch); return commit(2, 1) }, ""},
		{"over the staleness bound", func() port.Result { publish(3, consumer.Epoch); return commit(3, 1) }, port.CodeStale},
		{"coordinator replaced", func() port.Result {
			apply(port.Command{AcquireLease: &port.AcquireLease{Name: port.CoordinatorLease(pool), Holder: "n1", TTL: time.Minute}})
			return commit(3, 3)
		}, port.CodeFenced},
		{"trainer replaced", func() port.Result {
			apply(port.Command{RegisterConsumer: &port.RegisterConsumer{Pool: pool, Consumer: "t"}})
			return publish(4, consumer.Epoch)
		}, port.CodeFenced},
		{"unknown pool", func() port.Result { pool = "none"; return publish(9, 0) }, port.CodeNotFound},
	}
	for _, step := range steps {
		if got := code(step.run()); got != step.want {
			t.Fatalf("%s: got %q, want %q", step.name, got, step.want)
		}
	}
	if ledger := state.Ledger("a"); ledger.Committed != 2 || ledger.Acknowledged != 1 {
		t.Fatalf("ledger %+v", ledger)
	}
}

// drawCommand draws a command of any kind over a few names.
func drawCommand(t *rapid.T, revision port.Revision, when int64) port.Command {
	pools := []port.PoolName{"a", "b"}
	pool := rapid.SampledFrom(pools).Draw(t, "pool")
	node := rapid.SampledFrom([]port.NodeID{"n1", "n2"}).Draw(t, "node")
	number := rapid.IntRange(0, 6).Draw(t, "number")
	command := port.Command{Time: when}
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0, 1:
		command.ChangeID = changeID(when-when%5000, rapid.IntRange(0, 40).Draw(t, "id"))
		member := replica(number, pool)
		edit := rapid.SampledFrom([]port.Edit{putPool(pool), {PutReplica: &member}, {RemoveReplica: member.ID}, {RemovePool: pool}}).Draw(t, "edit")
		command.ChangeConfiguration = &port.ChangeConfiguration{Expected: revision, Edits: []port.Edit{edit}}
	case 2:
		command.PublishWeights = &port.PublishWeights{Pool: pool, Version: port.WeightVersion(number)}
	case 3:
		command.AcquireLease = &port.AcquireLease{Name: port.CoordinatorLease(pool), Holder: node, TTL: time.Second}
	case 4:
		command.ReleaseLease = &port.ReleaseLease{Name: port.CoordinatorLease(pool), Holder: node, Epoch: port.Epoch(number)}
	case 5:
		command.RegisterConsumer = &port.RegisterConsumer{Pool: pool, Consumer: "t"}
	case 6:
		command.RegisterNode = &port.RegisterNode{Node: port.NodeAddress{ID: node, Zone: "z", PeerAddress: fmt.Sprintf("10.0.0.%d:1", number), HTTPAddress: "10.0.0.1:2"}}
	default:
		command.RemoveNode = &port.RemoveNode{ID: node}
	}
	return command
}

// TestMembersAndObserversAgree checks that a member restored from a snapshot reaches
// the same state, and that an observer that polls either member reaches the same view.
func TestMembersAndObserversAgree(t *testing.T) {
	testkit.Check(t, 45, func(t *rapid.T) {
		first, second := New(), New()
		observer := NewObserver()
		when := startTime
		for index := uint64(1); index <= 120; index++ {
			when += rapid.Int64Range(0, 40_000).Draw(t, "pass")
			command := drawCommand(t, first.Revision(), when)
			data, err := EncodeCommand(command)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := DecodeCommand(data)
			if err != nil {
				t.Fatal(err)
			}
			got, want := second.Apply(index, index/20, decoded), first.Apply(index, index/20, command)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("index %d: got %+v, want %+v", index, got, want)
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				restoreFrom(t, second, first)
			}
			if rapid.Bool().Draw(t, "observe") {
				source := rapid.SampledFrom([]*State{first, second}).Draw(t, "source")
				if _, err := observer.Apply(source.Update(observer.Position())); err != nil {
					t.Fatal(err)
				}
				assertSameView(t, observer.View(), first.View())
			}
		}
		a, errA := first.Snapshot()
		b, errB := second.Snapshot()
		if errA != nil || errB != nil || !bytes.Equal(a, b) {
			t.Fatalf("snapshots differ (%v, %v)", errA, errB)
		}
	})
}

func restoreFrom(t *rapid.T, target, source *State) {
	data, err := source.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := target.Restore(data); err != nil {
		t.Fatal(err)
	}
}

func assertSameView(t *rapid.T, got, want *port.View) {
	a, errA := encoding.Marshal(got)
	b, errB := encoding.Marshal(want)
	if errA != nil || errB != nil || !bytes.Equal(a, b) {
		t.Fatalf("views differ:\n%+v\n%+v", got, want)
	}
}

func TestObserverNeverGoesBack(t *testing.T) {
	ahead, behind := New(), New()
	for index, name := range []port.PoolName{"a", "b", "c"} {
		command := change(index, port.Revision(index), putPool(name))
		ahead.Apply(uint64(index+1), 1, command)
		if index == 0 {
			behind.Apply(1, 1, command)
		}
	}
	observer := NewObserver()
	if _, err := observer.Apply(ahead.Update(0)); err != nil {
		t.Fatal(err)
	}
	stale := behind.Update(observer.Position())
	stale.Confirmed = true
	if advanced, err := observer.Apply(stale); advanced || err != nil || observer.Confirms(stale) {
		t.Fatalf("advanced %v, error %v", advanced, err)
	}
	if advanced, _ := observer.Apply(port.ViewUpdate{Position: 1, Full: behind.View()}); advanced || observer.View().Revision != 3 {
		t.Fatalf("a full view moved the observer back to revision %d", observer.View().Revision)
	}
	if _, err := observer.Apply(port.ViewUpdate{After: 1, Position: 9, Revision: 9}); !errors.Is(err, ErrGap) {
		t.Fatalf("an update with a gap returned %v", err)
	}
}

func TestUpdateFallsBackToFullView(t *testing.T) {
	state := New()
	state.Apply(1, 1, change(1, 0, putPool("a")))
	index := uint64(1)
	for index < maxChanges+10 {
		index++
		member := replica(int(index)%50, "a")
		member.State = []port.ReplicaState{port.ReplicaActive, port.ReplicaDrain}[index%2]
		state.Apply(index, 1, change(int(index), state.Revision(), port.Edit{PutReplica: &member}))
	}
	if update := state.Update(1); update.Full == nil {
		t.Fatal("want a full view for an observer behind the change log")
	}
	if update := state.Update(index - 3); update.Full != nil || len(update.Changes) != 3 {
		t.Fatalf("want 3 changes, got %d", len(update.Changes))
	}
	if len(state.changes.entries) > maxChanges {
		t.Fatalf("%d changes stored", len(state.changes.entries))
	}
}

func TestRestoreRejectsInvalidSnapshots(t *testing.T) {
	state := New()
	state.Apply(1, 1, change(1, 0, putPool("a")))
	valid, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	otherVersion, err := encoding.Marshal(snapshot{Version: snapshotVersion + 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range [][]byte{nil, valid[:len(valid)-1], otherVersion, []byte("text")} {
		if err := state.Restore(data); !errors.Is(err, ErrSnapshot) || state.Revision() != 1 {
			t.Fatalf("restoring %d bytes returned %v, revision %d", len(data), err, state.Revision())
		}
	}
}

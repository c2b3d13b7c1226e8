package sitestate_test

import (
	"flag"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/core/usage"
)

// record is the output folder of TestRecordFormats; see CONTRIBUTING.md.
var record = flag.String("record", "", "folder to record this build's formats into")

// TestRecordFormats records the formats of this build for the tests of later builds.
func TestRecordFormats(t *testing.T) {
	dir := *record
	if dir == "" {
		t.Skip("no output folder set")
	}
	window := usage.Window(40)
	commands := []sitestate.Command{
		{Configuration: &sitestate.Configuration{Version: 7, Raw: []byte(`{"version":7}`)}},
		{Weights: &sitestate.Weights{Model: "m", Version: 3}},
		{Replica: &sitestate.Replica{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 6, Sequence: 4, Models: []sitestate.ModelVersion{{Name: "m", Version: 2}}}},
		{Replica: &sitestate.Replica{ID: "i-2", Service: "s", Address: "10.0.0.2:80", Zone: "z", Slots: 6, Sequence: 9, State: sitestate.ReplicaDraining}},
		{Replica: &sitestate.Replica{ID: "i-3", Service: "t", Address: "10.0.0.3:80", Zone: "y", Slots: 4, Sequence: 1}},
		{Leave: &sitestate.Leave{ID: "i-3"}},
		{Holder: &sitestate.Holder{Machine: "core-1", Address: "10.0.1.1:7720"}},
		{Store: &sitestate.Store{Name: "store-1", Address: "10.0.2.1:7720", Zone: "z", Incarnation: "abc"}},
		{CreateShard: &sitestate.CreateShard{Shard: sitestate.Shard{Number: 1, Founders: []groupmember.Record{{ID: 1, Address: "10.0.2.1:7720", Name: "store-1", Incarnation: "abc"}}}}},
		{Place: &sitestate.Place{Model: "m", Shard: 1}},
		{Assign: &sitestate.Assign{Models: map[string]string{"i-1": "m"}}},
		{Evacuate: &sitestate.Evacuate{Name: "store-1"}},
		{Usage: &sitestate.Usage{CloseUpTo: &window}},
		{Quarantine: &sitestate.Quarantine{Events: []quarantine.Event{{Kind: quarantine.EventCrashed, Fingerprint: quarantine.Fingerprint{Head: quarantine.Digest{7}, Body: quarantine.Digest{1, 2}}, Replica: "i-1"}}}},
	}
	level, senders := sitestate.LevelNewest, uint32(70)
	commands = append(commands,
		sitestate.Command{Level: &level}, sitestate.Command{Senders: &senders},
		sitestate.Command{Drain: &sitestate.DrainZone{Zone: "y"}}, sitestate.Command{Drain: &sitestate.DrainZone{Zone: "z"}},
		sitestate.Command{Drain: &sitestate.DrainZone{Zone: "z", End: true, ColdMillis: map[string]uint32{"s": 3000}}},
		sitestate.Command{Replica: &sitestate.Replica{ID: "i-4@17", Instance: "i-4", StartedAt: 17, ColdMillis: 900, Service: "s", Address: "10.0.0.4:80", Zone: "z", Slots: 6, Sequence: 1}},
	)
	state := sitestate.New()
	var entries [][]byte
	for i, command := range commands {
		data, err := command.Encode()
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, data)
		state.Apply(uint64(i+1), data)
	}
	write := func(name string, value any) {
		data, err := cbor.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(dir+"/"+name, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("entries.cbor", entries)
	snapshot, err := state.Snapshot().Bytes()
	if err != nil {
		t.Fatal(err)
	}
	write("snapshot.cbor", snapshot)
	write("update.cbor", state.Update(0, sitestate.InterestAll))
}

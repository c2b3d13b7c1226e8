package group

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wal/faultfs"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

var durabilitySeeds = flag.Int("durability-seeds", 1200, "seeds of TestFolderSurvivesSeriesOfFaults")

const (
	durableFolder  = "/data/site"
	founderAddress = "founder:1"
)

// TestFolderSurvivesSeriesOfFaults guards against a member that loses its id, its votes or its
// incarnation in a series of kills between any two operations and of power losses, and against a
// member that after damage to its folder votes again under an id that has lost its votes, or
// erases what it gave up.
func TestFolderSurvivesSeriesOfFaults(t *testing.T) {
	g, lines := newJoinServer(t), testkit.NewLineBuffer(t)
	for seed := range uint64(*durabilitySeeds) {
		d := &durableMember{
			t: t, group: g, seed: seed, files: faultfs.New(seed), random: rand.New(rand.NewPCG(seed, 2)),
			lost: map[consensus.MemberID]bool{}, lines: lines, namedByAddress: seed%2 == 0,
		}
		for life := range 14 {
			if err := d.live(); err != nil {
				t.Fatalf("seed %d, life %d: %v", seed, life, err)
			}
		}
	}
}

// joinServer gives an id to every member that asks for one.
type joinServer struct {
	address string
	mutex   sync.Mutex
	last    consensus.MemberID
	ids     map[string]consensus.MemberID
}

func newJoinServer(t *testing.T) *joinServer {
	t.Helper()
	g := &joinServer{last: 1, ids: map[string]consensus.MemberID{}}
	server := wire.NewServer(wire.Options{ClusterID: "test", Name: "leader"})
	server.Handle("test.join", func(_ context.Context, call *wire.Call) error {
		var request joinRequest
		if err := call.Decode(&request); err != nil {
			return err
		}
		return call.Send(joinAnswer{ID: g.id(request.Record.Incarnation)})
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	g.address = listener.Addr().String()
	return g
}

func (g *joinServer) id(incarnation string) consensus.MemberID {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.ids[incarnation] == consensus.None {
		g.last++
		g.ids[incarnation] = g.last
	}
	return g.ids[incarnation]
}

// durableMember opens a member through several lives of its process. It is the founder with id 1
// in its first incarnation, and joins in any other. If it is named by its address, it founds in any
// incarnation that had no id; what it gave up is then the only trace of an earlier one.
type durableMember struct {
	t              *testing.T
	group          *joinServer
	seed           uint64
	files          *faultfs.FileSystem
	random         *rand.Rand
	namedByAddress bool
	// founder is the first incarnation that others were told.
	founder string
	// told is the incarnation that others were told and that has no id yet.
	told string
	// id and hard were relied on: they must survive unless the folder was damaged.
	id   consensus.MemberID
	hard consensus.HardState
	// damaged is set while the folder of id is damaged, and removed while it is being cleared;
	// lost are the ids that lost their votes.
	damaged, removed bool
	lost             map[consensus.MemberID]bool
	// kept are the files of the log that was damaged last.
	kept  map[string][]byte
	lines *testkit.LineBuffer
	// stop ends the process.
	stop context.CancelFunc
}

func newDurableMember(files *faultfs.FileSystem, origin func(context.Context, string) (Origin, error), lines *testkit.LineBuffer) *Member {
	return New(Config{
		Name: "test", Folder: durableFolder, FileSystem: files, Wire: wire.Options{ClusterID: "test", Name: "a"},
		Self:    groupmember.Record{Address: founderAddress, Name: "a"},
		Machine: func() groupmember.StateMachine { return emptyMachine{} },
		Origin:  origin, OnStep: func(Step) {}, Logger: lines.Logger("a"),
		Limits: groupmember.Limits{Voters: 1, MinVoters: 1},
	})
}

func (d *durableMember) live() error {
	d.files.KillAfter(d.random.IntN([]int{8, 40, 80}[d.random.IntN(3)]))
	err := d.open()
	if err != nil && !d.files.Killed() && !errors.Is(err, context.Canceled) {
		return err
	}
	if d.random.IntN(2) == 0 {
		d.files.Crash()
	} else {
		d.files.Stop()
	}
	if err := d.checkKept(); err != nil {
		return err
	}
	if err == nil && d.random.IntN(4) == 0 {
		d.damage()
	}
	return nil
}

// checkKept checks that the files of the damaged log are where they were, or are set aside.
func (d *durableMember) checkKept() error {
	for name, contents := range d.kept {
		setAside, _ := d.files.ReadFile(filepath.Join(durableFolder, unusableFolder, name))
		inPlace, _ := d.files.ReadFile(filepath.Join(durableFolder, logFolder, name))
		if !bytes.Equal(setAside, contents) && !bytes.Equal(inPlace, contents) {
			return fmt.Errorf("%s of a log that was given up is erased", name)
		}
	}
	return nil
}

func (d *durableMember) open() error {
	member := newDurableMember(d.files, d.origin, d.lines)
	defer member.peers.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.stop = cancel
	l, stored, err := member.open(ctx, folder{files: d.files, path: durableFolder})
	if err != nil {
		return err
	}
	if err := d.check(stored.ID, l.member.Status()); err != nil {
		return errors.Join(err, l.log.Close())
	}
	if err := errors.Join(d.vote(l), l.log.Close()); err != nil || d.random.IntN(4) > 0 {
		return err
	}
	return d.end(folder{files: d.files, path: durableFolder})
}

// end ends the member as a leader with a quorum decides: it has the complete log, or is removed.
func (d *durableMember) end(dir folder) error {
	if d.namedByAddress {
		return nil
	}
	if d.random.IntN(2) == 0 {
		d.kept = nil
		return dir.removeFiles(dir.unusablePath())
	}
	d.removed = true
	if err := dir.clear(); err != nil {
		return err
	}
	d.lost[d.id] = true
	return nil
}

// origin records which incarnation others were told, and names the first one as the founder.
func (d *durableMember) origin(_ context.Context, incarnation string) (Origin, error) {
	if d.told != "" && d.told != incarnation {
		d.t.Errorf("seed %d: incarnation %s, others were told %s", d.seed, incarnation, d.told)
	}
	if d.id != consensus.None && !d.damaged && !d.removed {
		d.t.Errorf("seed %d: member %d has no identity any more", d.seed, d.id)
	}
	d.told = incarnation
	if d.founder == "" {
		d.founder = incarnation
	}
	if d.random.IntN(3) == 0 {
		d.stop()
		return Origin{}, errors.New("the founders are not chosen yet")
	}
	founder := groupmember.Record{ID: 1, Address: founderAddress, Name: "a", Incarnation: d.founder}
	if d.namedByAddress {
		founder.Incarnation = ""
	}
	return Origin{Founders: []groupmember.Record{founder}, Contacts: []string{d.group.address}}, nil
}

func (d *durableMember) check(id consensus.MemberID, status consensus.Status) error {
	switch {
	case d.lost[id]:
		return fmt.Errorf("member %d runs again without its votes", id)
	case d.damaged, d.id == consensus.None, d.removed && id != d.id:
	case id != d.id || status.Term < d.hard.Term:
		return fmt.Errorf("member %d in term %d, was %d in term %d", id, status.Term, d.id, d.hard.Term)
	}
	if id != d.id && status.Term > 0 {
		return fmt.Errorf("the new member %d starts in term %d", id, status.Term)
	}
	if d.removed && id != d.id {
		d.lost[d.id] = true
	}
	d.id, d.told, d.damaged, d.removed = id, "", false, false
	d.hard.Term = status.Term // what was read is relied on
	return nil
}

// vote stores votes, as an open member does before it answers a candidate.
func (d *durableMember) vote(l *loop) error {
	for range 1 + d.random.IntN(3) {
		hard := consensus.HardState{Term: d.hard.Term + 1, VotedFor: d.id}
		if err := errors.Join(l.log.Append(&hard, nil), l.log.Sync()); err != nil {
			return err
		}
		d.hard = hard
	}
	return nil
}

// damage damages the folder as no power loss does: the log or the identity is gone, or a
// segment's header is wrong.
func (d *durableMember) damage() {
	if d.removed {
		return
	}
	d.damaged, d.lost[d.id] = true, true
	logPath := filepath.Join(durableFolder, logFolder)
	switch mode := d.random.IntN(3); {
	case mode == 0 && !d.namedByAddress:
		d.files.RemoveAll(logPath)
		return // what was set aside earlier stays
	case mode == 1:
		if err := errors.Join(d.files.Remove(filepath.Join(durableFolder, identityFile)), d.files.SyncDir(durableFolder)); err != nil {
			d.t.Fatalf("seed %d: %v", d.seed, err)
		}
	default:
		names, _ := d.files.ReadDir(logPath)
		segment := slices.IndexFunc(names, func(name string) bool { return strings.HasSuffix(name, ".log") })
		if segment < 0 || d.files.Flip(filepath.Join(logPath, names[segment]), 20) != nil {
			d.t.Fatalf("seed %d: no segment in %v", d.seed, names)
		}
	}
	d.kept = map[string][]byte{}
	names, _ := d.files.ReadDir(logPath)
	for _, name := range names {
		path := filepath.Join(logPath, name)
		if file, err := d.files.OpenAppend(path); err != nil || file.Sync() != nil { // no torn end later
			d.t.Fatalf("seed %d: sync %s: %v", d.seed, name, err)
		}
		d.kept[name], _ = d.files.ReadFile(path)
	}
}

// TestSetAsideLogMakesRoomOnFullDisk guards against a member with a new id that never runs since
// the log that it gave up fills its disk.
func TestSetAsideLogMakesRoomOnFullDisk(t *testing.T) {
	g, files, lines := newJoinServer(t), faultfs.New(1), testkit.NewLineBuffer(t)
	dir := folder{files: files, path: durableFolder}
	origin := func(context.Context, string) (Origin, error) { return Origin{Contacts: []string{g.address}}, nil }
	for range 2 { // the second member gives up the log of the first
		member := newDurableMember(files, origin, lines)
		l, _, err := member.open(context.Background(), dir)
		if err != nil {
			t.Fatal(err)
		}
		member.peers.close()
		if err := l.log.Close(); err != nil {
			t.Fatal(err)
		}
		files.Stop()
		if !dir.hasSetAside() {
			if err := files.Flip(filepath.Join(dir.logPath(), "wal-0000000000000001.log"), 20); err != nil {
				t.Fatal(err)
			}
		}
	}
	if !dir.hasSetAside() {
		t.Fatal("no log is set aside")
	}
	files.SetCapacity(files.Used())
	ctx, cancel := context.WithCancel(context.Background())
	member, done := newDurableMember(files, origin, lines), make(chan struct{})
	go func() { defer close(done); _ = member.Run(ctx) }()
	const wait, timeout = 10 * time.Millisecond, 20 * time.Second
	for deadline := time.Now().Add(timeout); member.PublishedState() == nil && time.Now().Before(deadline); {
		time.Sleep(wait)
	}
	if member.PublishedState() == nil || dir.hasSetAside() {
		t.Errorf("state %v, log set aside: %v", member.PublishedState(), dir.hasSetAside())
	}
	cancel()
	<-done
}

// emptyMachine is a state machine without state.
type emptyMachine struct{}

func (emptyMachine) Apply(uint64, []byte) any { return nil }
func (emptyMachine) Restore([]byte) error     { return nil }
func (emptyMachine) Snapshot() groupmember.Encoder {
	return func(*bytes.Buffer) error { return nil }
}

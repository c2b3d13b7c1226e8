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

	"github.com/loomgrade/loomgrade/internal/adapter/wal/faultfs"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

var durabilitySeeds = flag.Int("durability-seeds", 300, "seeds of TestFolderSurvivesSeriesOfFaults")

const (
	durableFolder  = "/data/site"
	founderAddress = "founder:1"
)

// TestFolderSurvivesSeriesOfFaults guards against a member that loses its id, its votes or its
// incarnation in a series of kills between any two operations and of power losses, and against a
// member that after damage to its log votes again under an id that has lost its votes.
func TestFolderSurvivesSeriesOfFaults(t *testing.T) {
	g, lines := newJoinServer(t), testkit.NewLineBuffer(t)
	for seed := range uint64(*durabilitySeeds) {
		d := &durableMember{
			t: t, group: g, seed: seed, files: faultfs.New(seed), random: rand.New(rand.NewPCG(seed, 2)),
			lost: map[consensus.MemberID]bool{}, lines: lines,
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
// in its first incarnation, and joins in any other.
type durableMember struct {
	t      *testing.T
	group  *joinServer
	seed   uint64
	files  *faultfs.FileSystem
	random *rand.Rand
	// founder is the first incarnation that others were told.
	founder string
	// told is the incarnation that others were told and that has no id yet.
	told string
	// id and hard were relied on: they must survive unless the folder was damaged.
	id   consensus.MemberID
	hard consensus.HardState
	// damaged is set while the log of id is damaged; lost are the ids that lost their votes.
	damaged bool
	lost    map[consensus.MemberID]bool
	lines   *testkit.LineBuffer
	// stop ends the process.
	stop context.CancelFunc
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
	if err == nil && d.random.IntN(4) == 0 {
		d.damage()
	}
	return nil
}

func (d *durableMember) open() error {
	member := New(Config{
		Name: "test", Folder: durableFolder, FileSystem: d.files, Wire: wire.Options{ClusterID: "test", Name: "a"},
		Self:    groupmember.Record{Address: founderAddress, Name: "a"},
		Machine: func() groupmember.StateMachine { return emptyMachine{} },
		Origin:  d.origin, OnStep: func(Step) {}, Logger: d.lines.Logger("a"),
		Limits: groupmember.Limits{Voters: 1, MinVoters: 1},
	})
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
	return errors.Join(d.vote(l), l.log.Close())
}

// origin records which incarnation others were told, and names the first one as the founder.
func (d *durableMember) origin(_ context.Context, incarnation string) (Origin, error) {
	if d.told != "" && d.told != incarnation {
		d.t.Errorf("seed %d: incarnation %s, others were told %s", d.seed, incarnation, d.told)
	}
	if d.id != consensus.None && !d.damaged {
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
	return Origin{Founders: []groupmember.Record{founder}, Contacts: []string{d.group.address}}, nil
}

func (d *durableMember) check(id consensus.MemberID, status consensus.Status) error {
	switch {
	case d.lost[id]:
		return fmt.Errorf("member %d runs again without its votes", id)
	case d.damaged, d.id == consensus.None:
	case id != d.id || status.Term < d.hard.Term:
		return fmt.Errorf("member %d in term %d, was %d in term %d", id, status.Term, d.id, d.hard.Term)
	}
	if id != d.id && status.Term > 0 {
		return fmt.Errorf("the new member %d starts in term %d", id, status.Term)
	}
	d.id, d.told, d.damaged = id, "", false
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

// damage damages the log as no power loss does: the folder is gone, or a segment's header is wrong.
func (d *durableMember) damage() {
	d.damaged, d.lost[d.id] = true, true
	logPath := filepath.Join(durableFolder, logFolder)
	if d.random.IntN(2) == 0 {
		d.files.RemoveAll(logPath)
		return
	}
	names, _ := d.files.ReadDir(logPath)
	segment := slices.IndexFunc(names, func(name string) bool { return strings.HasSuffix(name, ".log") })
	if segment < 0 || d.files.Flip(filepath.Join(logPath, names[segment]), 20) != nil {
		d.t.Fatalf("seed %d: no segment in %v", d.seed, names)
	}
}

// emptyMachine is a state machine without state.
type emptyMachine struct{}

func (emptyMachine) Apply(uint64, []byte) any { return nil }
func (emptyMachine) Restore([]byte) error     { return nil }
func (emptyMachine) Snapshot() groupmember.Encoder {
	return func(*bytes.Buffer) error { return nil }
}

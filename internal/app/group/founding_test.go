package group_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// loneMember is a member that founds a group of its own, named by the incarnation of its folder,
// once it is told so.
type loneMember struct {
	t       *testing.T
	address string
	folder  string
	mutex   sync.Mutex
	// named is the incarnation that founds the group, and asked the last one that the member
	// reported.
	named, asked string
	member       *group.Member
}

func (l *loneMember) origin(_ context.Context, incarnation string) (group.Origin, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.asked = incarnation
	if l.named == "" {
		return group.Origin{}, errors.New("the founders are not chosen yet")
	}
	return group.Origin{Founders: []groupmember.Record{{ID: consensus.MemberID(1), Address: l.address, Name: "a", Incarnation: l.named}}}, nil
}

// run runs the member until a condition holds, and returns the incarnation that it reported.
func (l *loneMember) run(what string, until func() bool) string {
	l.t.Helper()
	options := wire.Options{ClusterID: "test", Name: "a", DialTimeout: 200 * time.Millisecond}
	l.asked = ""
	l.member = group.New(group.Config{
		Name: "test", Folder: l.folder, FileSystem: wal.OS{}, Wire: options, Seed: 1, Tick: testTick,
		Self:    groupmember.Record{Address: l.address, Name: "a"},
		Machine: func() groupmember.StateMachine { return &counter{} },
		Origin:  l.origin, OnStep: func(group.Step) {}, Logger: testkit.NewLineBuffer(l.t).Logger("a"),
		Limits: groupmember.Limits{Voters: 1, MinVoters: 1},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.member.Run(ctx) }()
	waitUntil(l.t, what, until)
	cancel()
	<-done
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.asked
}

func (l *loneMember) hasReported() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.asked != ""
}

func (l *loneMember) leads() bool {
	published := l.member.PublishedState()
	return published != nil && published.LeaderReady
}

// TestFounderKilledBeforeItHasAnIdentityFounds guards against a group that is never founded: its
// founders are named by the incarnations of their folders, and were restarted before they had
// stored that they are founders.
func TestFounderKilledBeforeItHasAnIdentityFounds(t *testing.T) {
	l := &loneMember{t: t, address: testkit.FreeAddress(t), folder: filepath.Join(t.TempDir(), "data")}
	first := l.run("the member reports its incarnation", l.hasReported)
	l.named = first
	if again := l.run("the restarted member leads", l.leads); again != first {
		t.Errorf("incarnation %s after the restart, %s before", again, first)
	}
}

// TestMemberWithoutIdentityDoesNotFoundAgain guards against a founder that has lost its identity
// and its votes, and founds the group again by its incarnation.
func TestMemberWithoutIdentityDoesNotFoundAgain(t *testing.T) {
	l := &loneMember{t: t, address: testkit.FreeAddress(t), folder: filepath.Join(t.TempDir(), "data")}
	l.named = l.run("the member reports its incarnation", l.hasReported)
	l.run("the member leads", l.leads)
	if err := os.Remove(filepath.Join(l.folder, "identity")); err != nil {
		t.Fatal(err)
	}
	if again := l.run("the member reports its incarnation again", l.hasReported); again == l.named {
		t.Error("the incarnation outlived the identity")
	}
}

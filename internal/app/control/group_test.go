package control

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

const (
	testTick    = 10 * time.Millisecond
	testTimeout = 30 * time.Second
	pollPause   = 5 * time.Millisecond
)

// testGroup is a group of members over loopback TCP in one process.
type testGroup struct {
	t         testing.TB
	folder    string
	members   []Address
	running   map[uint64]*Member
	configure func(*Config)
}

// startGroup bootstraps a group of count members and waits for its leader.
func startGroup(t testing.TB, count int, configure func(*Config)) *testGroup {
	t.Helper()
	group := &testGroup{t: t, folder: t.TempDir(), running: make(map[uint64]*Member), configure: configure}
	listeners := make([]net.Listener, count)
	for index := range listeners {
		listeners[index] = listenLoopback(t, testkit.FreeAddress(t))
		group.members = append(group.members, Address{ID: uint64(index + 1), Peer: listeners[index].Addr().String()})
	}
	for index, listener := range listeners {
		group.startOn(uint64(index+1), listener, nil)
	}
	t.Cleanup(group.close)
	group.leader()
	return group
}

func listenLoopback(t testing.TB, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func (g *testGroup) config(id uint64) Config {
	config := Config{
		Cluster: "test", ID: id, Members: g.members, DataFolder: g.dataFolder(id),
		OperatorAddress: "127.0.0.1:0", OperatorToken: "operator", PeerToken: "peer",
		Tick: testTick, Seed: id,
	}
	if g.configure != nil {
		g.configure(&config)
	}
	return config
}

func (g *testGroup) dataFolder(id uint64) string { return filepath.Join(g.folder, memberName(id)) }

func (g *testGroup) startOn(id uint64, listener net.Listener, configure func(*Config)) *Member {
	g.t.Helper()
	member, err := g.tryStartOn(id, listener, configure)
	if err != nil {
		g.t.Fatal(err)
	}
	return member
}

// tryStartOn starts a member that may fail to open its folder.
func (g *testGroup) tryStartOn(id uint64, listener net.Listener, configure func(*Config)) (*Member, error) {
	config := g.config(id)
	config.PeerListener = listener
	if configure != nil {
		configure(&config)
	}
	member, err := Start(config)
	if err == nil {
		g.running[id] = member
	}
	return member, err
}

// restart starts a stopped member on its previous address.
func (g *testGroup) restart(id uint64) *Member {
	g.t.Helper()
	return g.startOn(id, listenLoopback(g.t, g.members[id-1].Peer), nil)
}

// kill stops a member as a crash would.
func (g *testGroup) kill(id uint64) {
	g.t.Helper()
	if err := g.running[id].Kill(); err != nil {
		g.t.Fatal(err)
	}
	delete(g.running, id)
}

func (g *testGroup) close() {
	for _, member := range g.running {
		_ = member.Kill()
	}
}

// leader waits until one member leads with a valid lease.
func (g *testGroup) leader() *Member {
	g.t.Helper()
	var leader *Member
	g.waitUntil("a leader", func() bool {
		for _, member := range g.running {
			l := member.current.Load()
			if l == nil {
				continue
			}
			if status := l.published.Load().status; status.Role == consensus.RoleLeader && status.LeaseValid {
				leader = member
				return true
			}
		}
		return false
	})
	return leader
}

func (g *testGroup) waitUntil(what string, condition func() bool) {
	g.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			g.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(pollPause)
	}
}

// client returns a control client that tries one member before the others.
func (g *testGroup) client(first uint64) *controlclient.Client {
	g.t.Helper()
	addresses := make([]string, 0, len(g.members))
	for offset := range g.members {
		addresses = append(addresses, g.members[(int(first)-1+offset)%len(g.members)].Peer)
	}
	client, err := controlclient.New(controlclient.Config{
		Addresses: addresses,
		Node:      "tester",
		Wire:      wire.Options{ClusterID: "test", Token: "peer"},
	})
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(client.Close)
	return client
}

func (g *testGroup) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	g.t.Cleanup(cancel)
	return ctx
}

func (g *testGroup) revision() port.Revision {
	g.t.Helper()
	view, err := g.leader().View(g.context(), false)
	if err != nil {
		g.t.Fatal(err)
	}
	return view.Revision
}

// machineListChange returns a small configuration change.
func machineListChange(expected port.Revision, number int) port.Command {
	address := fmt.Sprintf("http://127.0.0.1:%d", 10000+number)
	return port.Command{
		ChangeID:            controlclient.NewChangeID(),
		ChangeConfiguration: &port.ChangeConfiguration{Expected: expected, Edits: []port.Edit{{MachineList: &address}}},
	}
}

// mustAccept proposes a change and fails the test unless it is accepted.
func (g *testGroup) mustAccept(client *controlclient.Client, command port.Command) port.Result {
	g.t.Helper()
	result, err := client.Propose(g.context(), command)
	if err != nil {
		g.t.Fatal(err)
	}
	if result.Error != nil {
		g.t.Fatal(result.Error)
	}
	return result
}

// change makes count sequential configuration changes.
func (g *testGroup) change(client *controlclient.Client, count int) port.Revision {
	g.t.Helper()
	revision := g.revision()
	for number := range count {
		result := g.mustAccept(client, machineListChange(revision, number))
		if result.Revision != revision+1 {
			g.t.Fatalf("revision %d after %d", result.Revision, revision)
		}
		revision = result.Revision
	}
	return revision
}

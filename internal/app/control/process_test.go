package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// childVariable is the environment variable that makes the test binary run one
// member.
const childVariable = "LOOMGRADE_TEST_MEMBER"

// childConfig is the JSON value of childVariable.
type childConfig struct {
	ID      uint64
	Members []Address
	Folder  string
	Tick    time.Duration
}

// TestMain runs the tests, or a member in a child process.
func TestMain(m *testing.M) {
	if encoded := os.Getenv(childVariable); encoded != "" {
		os.Exit(runChild(encoded))
	}
	os.Exit(m.Run())
}

func runChild(encoded string) int {
	var child childConfig
	if err := json.Unmarshal([]byte(encoded), &child); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	config := Config{
		Cluster: "test", ID: child.ID, Members: child.Members, DataFolder: child.Folder,
		OperatorAddress: "127.0.0.1:0", Tick: child.Tick, Seed: child.ID,
		SnapshotEntries: 50, RetainEntries: 10,
		Logger: &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: os.Stderr}},
	}
	config.PeerAddress = config.addressOf(child.ID)
	if err := Run(ctx, config); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// processGroup is a group of three member processes.
type processGroup struct {
	t         testing.TB
	tick      time.Duration
	folder    string
	members   []Address
	processes map[uint64]*child
}

type child struct {
	command *exec.Cmd
	stderr  *bytes.Buffer
}

func startProcesses(t testing.TB) *processGroup {
	t.Helper()
	group := &processGroup{t: t, tick: 2 * testTick, folder: t.TempDir(), processes: make(map[uint64]*child)}
	for id := uint64(1); id <= 3; id++ {
		group.members = append(group.members, Address{ID: id, Peer: testkit.FreeAddress(t)})
	}
	t.Cleanup(func() {
		for id, process := range group.processes {
			group.kill(id)
			if t.Failed() {
				t.Logf("member %d at %s wrote:\n%s", id, group.members[id-1].Peer, process.stderr)
			}
		}
	})
	return group
}

func (g *processGroup) dataFolder(id uint64) string { return filepath.Join(g.folder, memberName(id)) }

func (g *processGroup) start(id uint64) *child {
	g.t.Helper()
	encoded, err := json.Marshal(childConfig{ID: id, Members: g.members, Folder: g.dataFolder(id), Tick: g.tick})
	if err != nil {
		g.t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childVariable+"="+string(encoded))
	started := &child{command: command, stderr: &bytes.Buffer{}}
	command.Stderr = started.stderr
	if err := command.Start(); err != nil {
		g.t.Fatal(err)
	}
	g.processes[id] = started
	return started
}

// kill ends a member with SIGKILL.
func (g *processGroup) kill(id uint64) {
	process := g.processes[id].command
	_ = process.Process.Kill()
	_ = process.Wait() // reports the kill as an error
	delete(g.processes, id)
}

func (g *processGroup) signal(id uint64, signal os.Signal) {
	g.t.Helper()
	if err := g.processes[id].command.Process.Signal(signal); err != nil {
		g.t.Fatal(err)
	}
}

func (g *processGroup) client() *controlclient.Client {
	g.t.Helper()
	var addresses []string
	for _, member := range g.members {
		addresses = append(addresses, member.Peer)
	}
	return g.clientOf(addresses)
}

// clientOf returns a client of the members at the addresses.
func (g *processGroup) clientOf(addresses []string) *controlclient.Client {
	g.t.Helper()
	client, err := controlclient.New(controlclient.Config{
		Addresses: addresses, Node: "tester", Wire: wire.Options{ClusterID: "test"},
		AttemptTimeout: time.Second, WatchTimeout: 2 * time.Second,
	})
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(client.Close)
	return client
}

// writer makes sequential changes.
type writer struct {
	accepted port.Revision
	err      error
	stop     chan struct{}
	done     sync.WaitGroup
}

func startWriter(client *controlclient.Client) *writer {
	w := &writer{stop: make(chan struct{})}
	w.done.Go(func() {
		for w.err == nil {
			select {
			case <-w.stop:
				return
			default:
				w.err = w.change(client)
			}
		}
	})
	return w
}

func (w *writer) change(client *controlclient.Client) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	result, err := client.Propose(ctx, machineListChange(w.accepted, int(w.accepted%1000)))
	switch {
	case err != nil:
		return err
	case result.Error != nil:
		return result.Error
	case result.Revision != w.accepted+1:
		return fmt.Errorf("revision %d after %d", result.Revision, w.accepted)
	}
	w.accepted = result.Revision
	return nil
}

// TestProcessesKilledAndSuspended kills members at random with SIGKILL and suspends
// others with SIGSTOP during writes. Each change must take effect once, and no
// observer's revision may decrease.
func TestProcessesKilledAndSuspended(t *testing.T) {
	const rounds = 6
	group := startProcesses(t)
	for id := uint64(1); id <= 3; id++ {
		group.start(id)
	}
	writing := startWriter(group.client())
	watches := []*observerWatch{
		startObserverWatch(group.client(), controlstate.NewObserver()),
		startObserverWatch(group.client(), controlstate.NewObserver()),
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range rounds {
		id := random.Uint64N(3) + 1
		if random.IntN(2) == 0 {
			group.kill(id)
			time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
			group.start(id)
		} else {
			group.signal(id, syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			group.signal(id, syscall.SIGCONT)
		}
		time.Sleep(500 * time.Millisecond)
	}
	close(writing.stop)
	writing.done.Wait()
	if writing.err != nil || writing.accepted == 0 {
		t.Fatalf("after %d changes: %v", writing.accepted, writing.err)
	}
	deadline := time.Now().Add(testTimeout)
	for _, watch := range watches {
		for watch.revision() < writing.accepted && time.Now().Before(deadline) {
			time.Sleep(pollPause)
		}
		if revision := watch.revision(); revision != writing.accepted {
			t.Errorf("an observer is at revision %d, %d were accepted", revision, writing.accepted)
		}
		watch.stop(t)
	}
	t.Logf("%d changes accepted", writing.accepted)
}

// TestProcessWithoutItsFolderExits checks that a killed process whose folder was
// removed does not start, and that SIGTERM stops a process gracefully.
func TestProcessWithoutItsFolderExits(t *testing.T) {
	group := startProcesses(t)
	for id := uint64(1); id <= 3; id++ {
		group.start(id)
	}
	writing := &writer{}
	client := group.client()
	if err := writing.change(client); err != nil {
		t.Fatal(err)
	}
	group.kill(3)
	if err := os.RemoveAll(group.dataFolder(3)); err != nil {
		t.Fatal(err)
	}
	lost := group.start(3)
	delete(group.processes, 3)
	err := lost.command.Wait()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 || !strings.Contains(lost.stderr.String(), "data folder is lost") {
		t.Fatalf("ended with %v: %s", err, lost.stderr)
	}
	if err := writing.change(client); err != nil {
		t.Fatal(err)
	}
	group.signal(1, syscall.SIGTERM)
	stopped := group.processes[1]
	delete(group.processes, 1)
	if err := stopped.command.Wait(); err != nil {
		t.Fatalf("graceful stop: %v: %s", err, stopped.stderr)
	}
}

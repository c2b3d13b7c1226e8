package control

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
)

// slowRecordFiles delays the renames of the bootstrap record until done is closed, and at
// most maxDelay each.
type slowRecordFiles struct {
	wal.OS
	done chan struct{}
}

const maxDelay = 400 * time.Millisecond

func (f slowRecordFiles) Rename(from, to string) error {
	if filepath.Base(to) == bootstrapFile {
		select {
		case <-f.done:
		case <-time.After(maxDelay):
		}
	}
	return f.OS.Rename(from, to)
}

// removeLog removes the segments of a member's log and nothing else.
func removeLog(t *testing.T, folder string) {
	t.Helper()
	segments, err := filepath.Glob(filepath.Join(folder, "wal-*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, segment := range segments {
		removeFile(t, segment)
	}
}

// TestRecordIsNotWrittenAfterLog guards against a voter that founds its group again after
// the loss of its log: the answer to another member's request put the bootstrap record back
// after it had been removed.
func TestRecordIsNotWrittenAfterLog(t *testing.T) {
	done := make(chan struct{})
	group := startGroup(t, 3, func(config *Config) {
		if config.ID == 3 {
			config.FileSystem = slowRecordFiles{done: done}
		}
	})
	<-group.running[3].Ready()
	close(done)
	group.change(group.client(1), 3)
	time.Sleep(maxDelay) // allows time for a record to be written by mistake
	group.kill(3)
	if _, err := os.Stat(filepath.Join(group.dataFolder(3), bootstrapFile)); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("the bootstrap record of a running member: %v, want none", err)
	}
	removeLog(t, group.dataFolder(3))
	lost := group.restart(3)
	select {
	case <-lost.Ready():
		t.Fatal("a voter that lost its log has bootstrapped again")
	case <-lost.Done():
	}
	delete(group.running, 3)
	if err := lost.Wait(); !errors.Is(err, ErrDataLost) {
		t.Fatalf("the member ended with %v, want ErrDataLost", err)
	}
}

// errFilesStopped is returned by the operations of a stopped file system.
var errFilesStopped = errors.New("the file system is stopped")

// stoppingFiles fails each change from some operation on, as if the process was killed right
// before that one.
type stoppingFiles struct {
	wal.OS
	// atStop runs at the first operation that fails.
	atStop func()

	mutex     sync.Mutex
	remaining int
	stop      sync.Once
}

func (f *stoppingFiles) step() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.remaining > 0 {
		f.remaining--
		return nil
	}
	f.stop.Do(f.atStop)
	return errFilesStopped
}

// stopNow fails all further operations.
func (f *stoppingFiles) stopNow() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.remaining = 0
	f.stop.Do(f.atStop)
}

func (f *stoppingFiles) Create(name string) (wal.File, error) {
	if err := f.step(); err != nil {
		return nil, err
	}
	file, err := f.OS.Create(name)
	return stoppingFile{file, f}, err
}

func (f *stoppingFiles) Rename(from, to string) error {
	if err := f.step(); err != nil {
		return err
	}
	return f.OS.Rename(from, to)
}

func (f *stoppingFiles) Remove(name string) error {
	if err := f.step(); err != nil {
		return err
	}
	return f.OS.Remove(name)
}

func (f *stoppingFiles) SyncDir(directory string) error {
	if err := f.step(); err != nil {
		return err
	}
	return f.OS.SyncDir(directory)
}

type stoppingFile struct {
	wal.File
	files *stoppingFiles
}

func (f stoppingFile) Write(data []byte) (int, error) {
	if err := f.files.step(); err != nil {
		return 0, err
	}
	return f.File.Write(data)
}

func (f stoppingFile) Sync() error {
	if err := f.files.step(); err != nil {
		return err
	}
	return f.File.Sync()
}

// TestBootstrapStoppedAtEachStep stops a member at each operation on its folder while it
// bootstraps the group. With its log it starts again. Without its log it is refused if its
// loop ran, since it may have voted, and starts again if its record still stands.
func TestBootstrapStoppedAtEachStep(t *testing.T) {
	const steps = 30 // beyond the first entries of the log
	for step := range steps {
		for _, logLost := range []bool{false, true} {
			t.Run(fmt.Sprintf("step %d, log lost %v", step, logLost), func(t *testing.T) {
				t.Parallel()
				stopBootstrapAt(t, step, logLost)
			})
		}
	}
}

func stopBootstrapAt(t *testing.T, step int, logLost bool) {
	var loopRan atomic.Bool
	var third atomic.Pointer[Member]
	stopped := make(chan struct{})
	files := &stoppingFiles{remaining: step, atStop: func() {
		member := third.Load()
		loopRan.Store(member != nil && member.current.Load() != nil)
		close(stopped)
	}}
	group := &testGroup{t: t, folder: t.TempDir(), running: make(map[uint64]*Member)}
	t.Cleanup(group.close)
	listeners := make([]net.Listener, 3)
	for index := range listeners {
		listeners[index] = listenLoopback(t, "127.0.0.1:0")
		group.members = append(group.members, Address{ID: uint64(index + 1), Peer: listeners[index].Addr().String()})
	}
	group.startOn(1, listeners[0], nil)
	group.startOn(2, listeners[1], nil)
	member, err := group.tryStartOn(3, listeners[2], func(config *Config) { config.FileSystem = files })
	if err == nil {
		third.Store(member)
		select {
		case <-stopped:
		case <-member.Ready():
			time.Sleep(maxDelay) // the first entries of the log
			files.stopNow()
		}
		_ = member.Kill() // reports the stopped file system
		delete(group.running, 3)
	} else if closeErr := listeners[2].Close(); !errors.Is(err, errFilesStopped) || closeErr != nil {
		t.Fatal(err, closeErr)
	}
	_, err = os.Stat(filepath.Join(group.dataFolder(3), bootstrapFile))
	recordStands := err == nil
	if logLost {
		removeLog(t, group.dataFolder(3))
	}
	restarted := group.restart(3)
	select {
	case <-restarted.Ready():
		if logLost && loopRan.Load() {
			t.Error("a member that may have voted has bootstrapped again without its log")
		}
	case <-restarted.Done():
		delete(group.running, 3)
		err := restarted.Wait()
		if !logLost || recordStands || !errors.Is(err, ErrDataLost) {
			t.Errorf("the member ended with %v; log lost %v, loop ran %v, record stands %v", err, logLost, loopRan.Load(), recordStands)
		}
	case <-time.After(testTimeout):
		t.Errorf("the member neither starts nor ends; log lost %v, loop ran %v, record stands %v", logLost, loopRan.Load(), recordStands)
	}
}

package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// memberFiles holds the paths of a control member's files.
type memberFiles struct{ folder, settings, ring, token string }

// writeMember writes the settings of a single-member cluster.
func writeMember(t *testing.T, folder, cluster string) memberFiles {
	t.Helper()
	files := memberFiles{
		folder: folder, settings: filepath.Join(folder, "control.yaml"),
		ring: filepath.Join(folder, "ring.log"), token: filepath.Join(folder, "operator.token"),
	}
	address := freeAddress(t)
	files.write(t, files.token, "secret\n")
	files.write(t, files.settings, fmt.Sprintf(`cluster: %s
operator_token_file: %s
log: {file: %s}
control:
  id: 1
  data_folder: %s
  peer_listen: %s
  operator_listen: 127.0.0.1:0
  members: [{id: 1, address: %q}]
`, cluster, files.token, files.ring, filepath.Join(folder, "data"), address, address))
	return files
}

func (f memberFiles) write(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (f memberFiles) ringText(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile(f.ring)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	return string(content)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// runMember runs the member in this process until it ends or receives SIGTERM.
func runMember(t *testing.T, files memberFiles) (ended <-chan int, printed func() string) {
	t.Helper()
	out, err := os.Create(filepath.Join(files.folder, "out"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = out.Close() })
	codes := make(chan int, 1)
	go func() { codes <- run([]string{"control", files.settings}, out, out) }()
	return codes, func() string {
		content, _ := os.ReadFile(out.Name())
		return string(content)
	}
}

// waitFor polls a condition and fails the test if it does not hold in time.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

// TestProcessSignals sends signals to this process, which runs a member: SIGUSR1 writes
// out the log ring and the member continues; SIGTERM stops it without an error.
func TestProcessSignals(t *testing.T) {
	// The test's own handler keeps an early signal from ending the process.
	early := make(chan os.Signal, 1)
	signal.Notify(early, syscall.SIGUSR1, syscall.SIGTERM)
	defer signal.Stop(early)
	files := writeMember(t, t.TempDir(), "one")
	ended, printed := runMember(t, files)
	waitFor(t, "the member", func() bool { return strings.Contains(printed(), "control member 1") })
	if text := files.ringText(t); text != "" {
		t.Errorf("log ring written without a reason: %q", text)
	}
	waitFor(t, "the ring", func() bool {
		_ = syscall.Kill(os.Getpid(), syscall.SIGUSR1)
		return strings.Contains(files.ringText(t), "log written out: signal SIGUSR1")
	})
	select {
	case code := <-ended:
		t.Fatalf("SIGUSR1 ended the member with exit code %d: %s", code, printed())
	default:
	}
	before := files.ringText(t)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := <-ended; code != exitOK {
		t.Errorf("exit code %d: %s", code, printed())
	}
	if after := files.ringText(t); strings.Contains(strings.TrimPrefix(after, before), "ends with an error") {
		t.Errorf("a graceful stop wrote out the log ring: %q", after)
	}
}

// TestProcessStartErrors checks that a process that cannot start reports the reason,
// writes out the log ring if it has one, and prints nothing on stdout.
func TestProcessStartErrors(t *testing.T) {
	cases := []struct {
		name     string
		prepare  func(t *testing.T, files memberFiles)
		code     int
		contains []string
		ring     bool
	}{
		{"invalid settings", func(t *testing.T, files memberFiles) {
			files.write(t, files.settings, "cluster: one\ncontrol:\n  id: 0\n")
		}, exitUsage, []string{"control.yaml:3: control.id"}, false},
		{"settings of another role", func(t *testing.T, files memberFiles) {
			files.write(t, files.settings, "cluster: one\nnode:\n  id: n\n  zone: z\n  http_listen: 127.0.0.1:0\n  peer_listen: 127.0.0.1:0\n  control_members: [127.0.0.1:1]\n")
		}, exitUsage, []string{"control is missing"}, false},
		{"no token file", func(t *testing.T, files memberFiles) {
			if err := os.Remove(files.token); err != nil {
				t.Fatal(err)
			}
		}, exitUsage, []string{"operator_token_file", "operator.token"}, false},
		{"empty token file", func(t *testing.T, files memberFiles) {
			files.write(t, files.token, " \n")
		}, exitUsage, []string{"operator_token_file", "0 bytes, want 1 to 4096"}, false},
		{"data folder of another cluster", func(t *testing.T, files memberFiles) {
			foreign := writeMember(t, files.folder, "other")
			runOnce(t, foreign)
			writeMember(t, files.folder, "one")
			if err := os.Remove(files.ring); err != nil && !os.IsNotExist(err) {
				t.Fatal(err)
			}
		}, exitFailure, []string{"other"}, true},
		{"damaged data folder", func(t *testing.T, files memberFiles) {
			runOnce(t, files)
			corruptFiles(t, filepath.Join(files.folder, "data"))
		}, exitFailure, []string{"data"}, true},
		{"address in use", func(t *testing.T, files memberFiles) {
			content, err := os.ReadFile(files.settings)
			if err != nil {
				t.Fatal(err)
			}
			_, rest, _ := strings.Cut(string(content), "peer_listen: ")
			address, _, _ := strings.Cut(rest, "\n")
			listener, err := net.Listen("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
		}, exitFailure, []string{"address already in use"}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			files := writeMember(t, t.TempDir(), "one")
			test.prepare(t, files)
			code, stdout, stderr := runCommand(t, "control", files.settings)
			if code != test.code || stdout != "" {
				t.Errorf("exit code %d, want %d; stdout %q", code, test.code, stdout)
			}
			for _, want := range test.contains {
				if !strings.Contains(stderr, want) {
					t.Errorf("%q is missing in %q", want, stderr)
				}
			}
			if wrote := strings.Contains(files.ringText(t), "the process ends with an error"); wrote != test.ring {
				t.Errorf("log ring written out: %v, want %v: %q", wrote, test.ring, files.ringText(t))
			}
		})
	}
}

// runOnce runs a member until it has written its log, and stops it with SIGTERM.
func runOnce(t *testing.T, files memberFiles) {
	t.Helper()
	early := make(chan os.Signal, 1)
	signal.Notify(early, syscall.SIGTERM)
	defer signal.Stop(early)
	ended, printed := runMember(t, files)
	waitFor(t, "the member", func() bool { return strings.Contains(printed(), "control member 1") })
	waitFor(t, "its log", func() bool {
		entries, err := os.ReadDir(filepath.Join(files.folder, "data"))
		return err == nil && len(entries) > 1
	})
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := <-ended; code != exitOK {
		t.Fatalf("exit code %d: %s", code, printed())
	}
}

// corruptFiles flips the bits of one byte near the start of every file in a folder.
func corruptFiles(t *testing.T, folder string) {
	t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		path := filepath.Join(folder, entry.Name())
		content, err := os.ReadFile(path)
		if err != nil || len(content) == 0 {
			continue
		}
		content[min(12, len(content)-1)] ^= 0xff
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

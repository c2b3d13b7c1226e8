package diskfault_test

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wal/diskfault"
)

// disk is a file system whose mode the test sets.
type disk struct {
	wal.FileSystem
	folder string
}

func newDisk(t *testing.T) *disk {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "data")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	return &disk{diskfault.New(wal.OS{}, folder), folder}
}

func (d *disk) set(t *testing.T, mode diskfault.Mode) {
	t.Helper()
	// An atomic rename prevents a read of a partly written mode.
	next := diskfault.ControlFile(d.folder) + ".next"
	if err := errors.Join(os.WriteFile(next, []byte(mode), 0o600), os.Rename(next, diskfault.ControlFile(d.folder))); err != nil {
		t.Fatal(err)
	}
}

func (d *disk) append(t *testing.T) error {
	t.Helper()
	file, err := d.Create(filepath.Join(d.folder, "file"))
	if err != nil {
		return err
	}
	_, err = file.Write([]byte("x"))
	return errors.Join(err, file.Sync(), d.SyncDir(d.folder), file.Close())
}

func TestModes(t *testing.T) {
	cases := []struct {
		name string
		mode diskfault.Mode
		want error
	}{
		{"healthy", "", nil},
		{"slow", diskfault.Slow, nil},
		{"rejects writes", diskfault.Refuse, syscall.ENOSPC},
		{"unknown mode", "other", nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			d := newDisk(t)
			d.set(t, test.mode)
			if err := d.append(t); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func TestStalledDiskResumesAfterModeChange(t *testing.T) {
	d := newDisk(t)
	d.set(t, diskfault.Stall)
	written := make(chan error, 1)
	go func() { written <- d.append(t) }()
	d.set(t, "")
	if err := <-written; err != nil {
		t.Error(err)
	}
}

func TestFaultAppliesToOpenFiles(t *testing.T) {
	d := newDisk(t)
	file, err := d.Create(filepath.Join(d.folder, "file"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	d.set(t, diskfault.Refuse)
	if _, err := file.Write([]byte("x")); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("write: %v", err)
	}
	if err := file.Sync(); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("sync: %v", err)
	}
}

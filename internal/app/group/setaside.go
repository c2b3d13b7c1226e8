package group

import (
	"context"
	"errors"
	"io/fs"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

const (
	// unusableFolder holds the identity and the log that the member gave up last.
	unusableFolder = "unusable"
	// givenUpFile is the identity while the log is moved to unusableFolder, and removedFile while
	// the log of a removed member is deleted. load completes both.
	givenUpFile = "identity.unusable"
	removedFile = "identity.removed"
)

func (f folder) unusablePath() string { return filepath.Join(f.path, unusableFolder) }

// setAside moves the identity and the log to unusableFolder, in place of what is there. The
// identity goes first: a log of which a part was moved must never be opened.
func (f folder) setAside() error {
	if err := f.removeFiles(f.unusablePath()); err != nil {
		return err
	}
	if err := f.retire(givenUpFile); err != nil {
		return err
	}
	return f.completeSettingAside()
}

// clear removes the identity and the log.
func (f folder) clear() error {
	if err := f.retire(removedFile); err != nil {
		return err
	}
	return f.completeClearing()
}

// retire durably renames the identity; a lost one is replaced by an empty file. The incarnation
// goes first, so that it never stands for a member that had an id.
func (f folder) retire(name string) error {
	if err := f.remove(incarnationFile); err != nil {
		return err
	}
	err := f.files.Rename(filepath.Join(f.path, identityFile), filepath.Join(f.path, name))
	if errors.Is(err, fs.ErrNotExist) {
		return f.replace(name, nil)
	}
	if err != nil {
		return eris.Wrap(err, "rename identity")
	}
	return eris.Wrap(f.files.SyncDir(f.path), "sync data folder")
}

func (f folder) completeSettingAside() error {
	names, err := f.logFiles()
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := f.files.Rename(filepath.Join(f.logPath(), name), filepath.Join(f.unusablePath(), name)); err != nil {
			return eris.Wrap(err, "set aside "+name)
		}
	}
	if err := f.syncAll(f.unusablePath(), f.logPath()); err != nil {
		return err
	}
	if err := f.files.Rename(filepath.Join(f.path, givenUpFile), filepath.Join(f.unusablePath(), identityFile)); err != nil {
		return eris.Wrap(err, "set aside identity")
	}
	return f.syncAll(f.unusablePath(), f.path)
}

func (f folder) completeClearing() error {
	if err := f.removeFiles(f.logPath()); err != nil {
		return err
	}
	return f.remove(removedFile)
}

// completeInterrupted makes the names in the folder durable and completes what an earlier process
// has begun. It makes unusableFolder while there is room on the disk; MakeFolder syncs the data
// folder, its parent.
func (f folder) completeInterrupted() error {
	if err := wal.MakeFolder(f.files, f.unusablePath()); err != nil {
		return eris.Wrap(err, "make folder for a log that is set aside")
	}
	if err := f.syncAll(f.unusablePath()); err != nil {
		return err
	}
	names, err := f.files.ReadDir(f.path)
	if err != nil {
		return eris.Wrap(err, "read data folder")
	}
	if slices.Contains(names, givenUpFile) {
		return f.completeSettingAside()
	}
	if slices.Contains(names, removedFile) {
		return f.completeClearing()
	}
	return nil
}

// logFiles returns the names of the files of the log.
func (f folder) logFiles() ([]string, error) {
	names, err := f.files.ReadDir(f.logPath())
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, eris.Wrap(err, "read log folder")
	}
	return slices.DeleteFunc(names, func(name string) bool { return name == wal.LockName }), nil
}

// hasSetAside reports whether the folder has data that an earlier member gave up.
func (f folder) hasSetAside() bool {
	names, err := f.files.ReadDir(f.unusablePath())
	return err == nil && len(names) > 0
}

// removeFiles durably removes the files in a folder, if there is one.
func (f folder) removeFiles(directory string) error {
	names, err := f.files.ReadDir(directory)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return eris.Wrapf(err, "read folder %s", filepath.Base(directory))
	}
	for _, name := range names {
		if err := f.files.Remove(filepath.Join(directory, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return eris.Wrap(err, "remove "+name)
		}
	}
	return f.syncAll(directory)
}

// syncAll syncs folders, if they exist.
func (f folder) syncAll(directories ...string) error {
	for _, directory := range directories {
		if err := f.files.SyncDir(directory); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return eris.Wrapf(err, "sync folder %s", filepath.Base(directory))
		}
	}
	return nil
}

// giveUp sets the identity and the log aside, since no loss of power explains their state.
func (m *Member) giveUp(dir folder, cause error) error {
	line := m.config.Logger.Error().Str(eventlog.Field, eventlog.LogUnusable).Str("group", m.config.Name).Err(cause)
	names, err := dir.logFiles()
	if err != nil {
		return err
	}
	if len(names) == 0 {
		line.Msg("there is no log to keep; this member joins under a new id")
		return dir.clear()
	}
	line.Str("kept_in", dir.unusablePath()).Int("files", len(names)).Bool("replaces_earlier", dir.hasSetAside()).
		Msg("the log is set aside; this member joins under a new id")
	return dir.setAside()
}

// watchSetAside removes the data that is set aside once the group does not need it: this member
// is a voter that has every committed entry.
func (m *Member) watchSetAside(ctx context.Context, dir folder, id consensus.MemberID) {
	ticker := time.NewTicker(m.config.RemovalCheckInterval)
	defer ticker.Stop()
	for dir.hasSetAside() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		published := m.PublishedState()
		if published != nil && published.Confirmed && published.Status.Membership.IsVoter(id) {
			m.removeSetAside(dir, "this member is a voter with the complete log")
			return
		}
	}
}

// removeSetAside removes the data that is set aside, if there is any.
func (m *Member) removeSetAside(dir folder, reason string) {
	if !dir.hasSetAside() {
		return
	}
	err := dir.removeFiles(dir.unusablePath())
	m.config.Logger.Warn().Str(eventlog.Field, eventlog.UnusableLogRemoved).Str("group", m.config.Name).Str("reason", reason).Err(err).Msg("the log that was set aside is removed")
}

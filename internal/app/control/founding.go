package control

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
)

// A first member with an empty data folder may be new, or may have lost its
// disk; in the second case it must not vote again. Only the others can tell.
// Each first member asks all others before it makes its log. A member that is
// itself new notes durably that the asker is new before it says so. A member
// that finds another one founded goes on only if it noted that one as new:
// then the group was founded while it was asking. If there is no such note, its
// own folder is lost.

const (
	foundingFile     = "founding"
	foundingInterval = 200 * time.Millisecond
	foundingTimeout  = time.Second
)

// foundingRequest is asked by a member without a log.
type foundingRequest struct {
	Member uint64 `cbor:"1,keyasint"`
}

// foundingAnswer says what the asked member knows.
type foundingAnswer struct {
	// Founded is set once the asked member has a log.
	Founded bool `cbor:"1,keyasint"`
	// Voter is set if the asked member's group has the asker as a voter.
	Voter bool `cbor:"2,keyasint"`
}

// foundingNote is what a new member keeps until it has a log.
type foundingNote struct {
	Cluster string `cbor:"1,keyasint"`
	Member  uint64 `cbor:"2,keyasint"`
	// New lists members that said they were new while this one was.
	New []uint64 `cbor:"3,keyasint"`
}

// founding decides whether a member without a log may make one.
type founding struct {
	config Config
	mutex  sync.Mutex
	note   foundingNote
}

func openFounding(config Config) (*founding, error) {
	f := &founding{config: config, note: foundingNote{Cluster: config.Cluster, Member: config.ID}}
	if err := config.FileSystem.MkdirAll(config.DataFolder); err != nil {
		return nil, eris.Wrap(err, "make data folder")
	}
	data, err := config.FileSystem.ReadFile(f.path())
	if errors.Is(err, fs.ErrNotExist) {
		return f, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read founding note")
	}
	var note foundingNote
	if err := wire.Unmarshal(data, &note); err != nil {
		return nil, eris.Wrapf(wal.ErrCorrupt, "founding note: %v", err)
	}
	if note.Cluster != config.Cluster || note.Member != config.ID {
		return nil, eris.Wrapf(wal.ErrForeign, "founding note of member %d of cluster %q", note.Member, note.Cluster)
	}
	f.note = note
	return f, nil
}

func (f *founding) path() string { return filepath.Join(f.config.DataFolder, foundingFile) }

// answer notes that the asker is new, durably, and says that this member is
// new as well.
func (f *founding) answer(asker uint64) (foundingAnswer, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if slices.Contains(f.note.New, asker) {
		return foundingAnswer{}, nil
	}
	note := f.note
	note.New = append(slices.Clone(note.New), asker)
	if err := f.save(note); err != nil {
		return foundingAnswer{}, err
	}
	f.note = note
	return foundingAnswer{}, nil
}

func (f *founding) knowsAsNew(member uint64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Contains(f.note.New, member)
}

func (f *founding) save(note foundingNote) error {
	data, err := wire.Marshal(note)
	if err != nil {
		return err
	}
	files := f.config.FileSystem
	temporary := f.path() + ".tmp"
	file, err := files.Create(temporary)
	if err != nil {
		return eris.Wrap(err, "create founding note")
	}
	if _, err := file.Write(data); err != nil {
		return eris.Wrap(errors.Join(err, file.Close()), "write founding note")
	}
	if err := file.Sync(); err != nil {
		return eris.Wrap(errors.Join(err, file.Close()), "sync founding note")
	}
	if err := file.Close(); err != nil {
		return eris.Wrap(err, "close founding note")
	}
	if err := files.Rename(temporary, f.path()); err != nil {
		return eris.Wrap(err, "rename founding note")
	}
	return eris.Wrap(files.SyncDir(f.config.DataFolder), "sync data folder")
}

// forgetFounding removes the note durably from the folder of a member that has a
// log. Were it kept, a member whose log is lost would take the group for new.
func forgetFounding(config Config) error {
	files := config.FileSystem
	err := files.Remove(filepath.Join(config.DataFolder, foundingFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "remove founding note")
	}
	return eris.Wrap(files.SyncDir(config.DataFolder), "sync data folder")
}

// settle waits until every other first member has answered that the group may
// be founded. It fails with ErrDataLost.
func (f *founding) settle(ctx context.Context, ask func(context.Context, Address) (foundingAnswer, error)) error {
	open := f.config.others()
	ticker := time.NewTicker(foundingInterval)
	defer ticker.Stop()
	for {
		var waiting []Address
		for _, member := range open {
			answered, err := f.askOne(ctx, member, ask)
			if err != nil {
				return err
			}
			if !answered {
				waiting = append(waiting, member)
			}
		}
		if len(waiting) == 0 {
			return nil
		}
		open = waiting
		f.config.Logger.Info().Str("waiting_for", fmt.Sprint(open)).Msg("a group is founded once all its first members answer")
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *founding) askOne(ctx context.Context, member Address, ask func(context.Context, Address) (foundingAnswer, error)) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, foundingTimeout)
	defer cancel()
	answer, err := ask(ctx, member)
	if err != nil {
		return false, nil
	}
	if answer.Founded && !f.knowsAsNew(member.ID) {
		return false, eris.Wrapf(ErrDataLost, "%s has no log, and member %d says that the group is at work", f.config.DataFolder, member.ID)
	}
	return true, nil
}

// settleJoin lets a member without a log wait to be added, unless the group
// has it as a voter: then the folder with its votes is lost. One answer is
// needed.
func (f *founding) settleJoin(ctx context.Context, ask func(context.Context, Address) (foundingAnswer, error)) error {
	ticker := time.NewTicker(foundingInterval)
	defer ticker.Stop()
	for {
		for _, member := range f.config.others() {
			attempt, cancel := context.WithTimeout(ctx, foundingTimeout)
			answer, err := ask(attempt, member)
			cancel()
			switch {
			case err != nil || !answer.Founded:
			case answer.Voter:
				return eris.Wrapf(ErrDataLost, "%s has no log, and member %d has member %d as a voter", f.config.DataFolder, member.ID, f.config.ID)
			default:
				return nil
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

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

// An initial member with an empty data folder may be new, or may have lost its
// disk and must then not vote again. Only the other members know. Each initial
// member therefore queries all others before it creates its log. A member that is
// itself new durably records the requester as new before it answers. If a member
// finds another one bootstrapped, it continues only if it has recorded that one as
// new: then the group was bootstrapped in the meantime. Otherwise its own folder
// is lost.

const (
	bootstrapFile     = "founding"
	bootstrapInterval = 200 * time.Millisecond
	bootstrapTimeout  = time.Second
)

// errBootstrapFinished means that the member is creating its log.
var errBootstrapFinished = errors.New("the member is creating its log")

// bootstrapRequest is sent by a member without a log.
type bootstrapRequest struct {
	Member uint64 `cbor:"1,keyasint"`
}

// bootstrapAnswer is the state of the queried member.
type bootstrapAnswer struct {
	// Bootstrapped is set once the queried member has a log.
	Bootstrapped bool `cbor:"1,keyasint"`
	// Voter is set if the requester is a voter in the queried member's group.
	Voter bool `cbor:"2,keyasint"`
}

// bootstrapRecord is the record that a new member stores until it has a log.
type bootstrapRecord struct {
	Cluster string `cbor:"1,keyasint"`
	Member  uint64 `cbor:"2,keyasint"`
	// New lists members that were new while this one was.
	New []uint64 `cbor:"3,keyasint"`
}

// bootstrapper decides whether a member without a log may create one.
type bootstrapper struct {
	config Config
	mutex  sync.Mutex
	record bootstrapRecord
	// finished is set before the log is created: a record that is written beside it could
	// outlive the log.
	finished bool
}

// openBootstrapper reads the record of a member without a log. wal.Open, which found no log, has
// made the names in the folder durable, the record's included.
func openBootstrapper(config Config) (*bootstrapper, error) {
	b := &bootstrapper{config: config, record: bootstrapRecord{Cluster: config.Cluster, Member: config.ID}}
	if err := wal.MakeFolder(config.FileSystem, config.DataFolder); err != nil {
		return nil, eris.Wrap(err, "make data folder")
	}
	data, err := config.FileSystem.ReadFile(b.path())
	if errors.Is(err, fs.ErrNotExist) {
		return b, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read bootstrap record")
	}
	var record bootstrapRecord
	if err := wire.Unmarshal(data, &record); err != nil {
		return nil, eris.Wrapf(wal.ErrCorrupt, "bootstrap record: %v", err)
	}
	if record.Cluster != config.Cluster || record.Member != config.ID {
		return nil, eris.Wrapf(wal.ErrForeign, "bootstrap record of member %d of cluster %q", record.Member, record.Cluster)
	}
	b.record = record
	return b, nil
}

func (b *bootstrapper) path() string { return filepath.Join(b.config.DataFolder, bootstrapFile) }

// recordNew durably records that the requester is new and reports that this member is
// new as well. Once finish was called, it returns errBootstrapFinished for a requester that
// is not recorded.
func (b *bootstrapper) recordNew(requester uint64) (bootstrapAnswer, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if slices.Contains(b.record.New, requester) {
		return bootstrapAnswer{}, nil
	}
	if b.finished {
		return bootstrapAnswer{}, errBootstrapFinished
	}
	record := b.record
	record.New = append(slices.Clone(record.New), requester)
	if err := b.save(record); err != nil {
		return bootstrapAnswer{}, err
	}
	b.record = record
	return bootstrapAnswer{}, nil
}

// finish waits for a record that is being written and ends the recording of requesters.
func (b *bootstrapper) finish() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.finished = true
}

func (b *bootstrapper) isRecordedNew(member uint64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Contains(b.record.New, member)
}

func (b *bootstrapper) save(record bootstrapRecord) error {
	data, err := wire.Marshal(record)
	if err != nil {
		return err
	}
	files := b.config.FileSystem
	temporary := b.path() + ".tmp"
	file, err := files.Create(temporary)
	if err != nil {
		return eris.Wrap(err, "create bootstrap record")
	}
	if _, err := file.Write(data); err != nil {
		return eris.Wrap(errors.Join(err, file.Close()), "write bootstrap record")
	}
	if err := file.Sync(); err != nil {
		return eris.Wrap(errors.Join(err, file.Close()), "sync bootstrap record")
	}
	if err := file.Close(); err != nil {
		return eris.Wrap(err, "close bootstrap record")
	}
	if err := files.Rename(temporary, b.path()); err != nil {
		return eris.Wrap(err, "rename bootstrap record")
	}
	return eris.Wrap(files.SyncDir(b.config.DataFolder), "sync data folder")
}

// removeBootstrapRecord durably removes the bootstrap record of a member that has a
// log. Otherwise, if the member lost its log later, it would treat itself as new. Opening or
// creating the log has made an earlier removal durable.
func removeBootstrapRecord(config Config) error {
	files := config.FileSystem
	err := files.Remove(filepath.Join(config.DataFolder, bootstrapFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "remove bootstrap record")
	}
	return eris.Wrap(files.SyncDir(config.DataFolder), "sync data folder")
}

// awaitInitialMembers blocks until every other initial member has answered and this
// member may bootstrap the group. It returns ErrDataLost if this member's log is lost.
func (b *bootstrapper) awaitInitialMembers(ctx context.Context, request func(context.Context, Address) (bootstrapAnswer, error)) error {
	pending := b.config.others()
	ticker := time.NewTicker(bootstrapInterval)
	defer ticker.Stop()
	for {
		var remaining []Address
		for _, member := range pending {
			answered, err := b.requestOne(ctx, member, request)
			if err != nil {
				return err
			}
			if !answered {
				remaining = append(remaining, member)
			}
		}
		if len(remaining) == 0 {
			return nil
		}
		pending = remaining
		b.config.Logger.Info().Str("waiting_for", fmt.Sprint(pending)).Msg("waiting for all initial members to bootstrap the group")
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (b *bootstrapper) requestOne(ctx context.Context, member Address, request func(context.Context, Address) (bootstrapAnswer, error)) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	answer, err := request(ctx, member)
	if err != nil {
		return false, nil
	}
	if answer.Bootstrapped && !b.isRecordedNew(member.ID) {
		return false, eris.Wrapf(ErrDataLost, "%s has no log, but member %d reports a running group", b.config.DataFolder, member.ID)
	}
	return true, nil
}

// awaitGroup blocks until one member of the group has answered. It returns
// ErrDataLost if the group lists this member as a voter.
func (b *bootstrapper) awaitGroup(ctx context.Context, request func(context.Context, Address) (bootstrapAnswer, error)) error {
	ticker := time.NewTicker(bootstrapInterval)
	defer ticker.Stop()
	for {
		for _, member := range b.config.others() {
			attempt, cancel := context.WithTimeout(ctx, bootstrapTimeout)
			answer, err := request(attempt, member)
			cancel()
			switch {
			case err != nil || !answer.Bootstrapped:
			case answer.Voter:
				return eris.Wrapf(ErrDataLost, "%s has no log, but member %d lists member %d as a voter", b.config.DataFolder, member.ID, b.config.ID)
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

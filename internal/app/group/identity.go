package group

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io/fs"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

const (
	identityFile = "identity"
	logFolder    = "log"
	// incarnationFile holds the incarnation of a folder that has no identity yet.
	incarnationFile  = "incarnation"
	incarnationBytes = 12
)

// identity is stored beside a member's log.
type identity struct {
	ID          consensus.MemberID `cbor:"1,keyasint"`
	Incarnation string             `cbor:"2,keyasint"`
	// Bootstrap is set for an initial member; Records are then the initial members.
	Bootstrap bool `cbor:"3,keyasint"`
	// Records are the members known when the folder was created.
	Records []groupmember.Record `cbor:"4,keyasint"`
	Shard   Shard                `cbor:"5,keyasint,omitempty"`
	// HasLog is set once the log was created, before the member can vote. Without its log
	// such a member has lost its votes.
	HasLog bool `cbor:"6,keyasint,omitempty"`
}

var (
	// errDamagedIdentity reports an identity that cannot be read. It is written under another
	// name, synced and renamed, so that no interrupted write explains it.
	errDamagedIdentity = errors.New("group: the identity is damaged")
	// errLostIdentity reports a log without an identity. The identity is stored before the log
	// is created.
	errLostIdentity = errors.New("group: the log has no identity")
)

// folder is the data folder of a member.
type folder struct {
	files wal.FileSystem
	path  string
}

func (f folder) logPath() string { return filepath.Join(f.path, logFolder) }

// load reads the identity. It makes the folder and the names in it durable first: a process may
// have ended between a change of names and the sync of the folder, and nothing that is relied on
// may depend on a name that a power loss can undo. found is false for an empty or incomplete
// folder. It fails with errDamagedIdentity if the identity cannot be decoded, and with
// errLostIdentity if there is a log without one.
func (f folder) load() (stored identity, found bool, err error) {
	if err := wal.MakeFolder(f.files, f.path); err != nil {
		return identity{}, false, eris.Wrap(err, "make data folder")
	}
	if err := f.completeInterrupted(); err != nil {
		return identity{}, false, err
	}
	data, err := f.files.ReadFile(filepath.Join(f.path, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		names, err := f.logFiles()
		if err == nil && len(names) > 0 {
			err = errLostIdentity
		}
		return identity{}, false, err
	}
	if err != nil {
		return identity{}, false, eris.Wrap(err, "read identity")
	}
	if wire.Unmarshal(data, &stored) != nil || stored.ID == consensus.None {
		return identity{}, false, errDamagedIdentity
	}
	return stored, true, nil
}

// save stores the identity durably.
func (f folder) save(stored identity) error {
	data, err := wire.Marshal(stored)
	if err != nil {
		return err
	}
	if err := f.replace(identityFile, data); err != nil {
		return err
	}
	return f.remove(incarnationFile) // without an identity it stands for a member that never voted
}

// replace replaces a file durably.
func (f folder) replace(name string, data []byte) error {
	path := filepath.Join(f.path, name)
	if err := f.writeSynced(path+".tmp", data); err != nil {
		return err
	}
	if err := f.files.Rename(path+".tmp", path); err != nil {
		return eris.Wrap(err, "rename "+name)
	}
	return eris.Wrap(f.files.SyncDir(f.path), "sync data folder")
}

// incarnation returns the incarnation of a loaded folder without an identity, and stores a new one
// durably if it has none: others may name the member by it before the member has an identity.
func (f folder) incarnation() (string, error) {
	data, err := f.files.ReadFile(filepath.Join(f.path, incarnationFile))
	if err == nil && len(data) == hex.EncodedLen(incarnationBytes) {
		return string(data), nil
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return "", eris.Wrap(err, "read incarnation")
	}
	chosen := newIncarnation()
	return chosen, f.replace(incarnationFile, []byte(chosen))
}

func (f folder) writeSynced(name string, data []byte) error {
	file, err := f.files.Create(name)
	if err != nil {
		return eris.Wrap(err, "create "+filepath.Base(name))
	}
	if _, err := file.Write(data); err != nil {
		return eris.Wrap(errors.Join(err, file.Close()), "write "+filepath.Base(name))
	}
	if err := file.Sync(); err != nil {
		return eris.Wrap(errors.Join(err, file.Close()), "sync "+filepath.Base(name))
	}
	return eris.Wrap(file.Close(), "close "+filepath.Base(name))
}

// remove removes a file durably, if it exists.
func (f folder) remove(name string) error {
	err := f.files.Remove(filepath.Join(f.path, name))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return eris.Wrap(err, "remove "+name)
	}
	return eris.Wrap(f.files.SyncDir(f.path), "sync data folder")
}

func newIncarnation() string {
	random := make([]byte, incarnationBytes)
	_, _ = rand.Read(random) // never returns an error
	return hex.EncodeToString(random)
}

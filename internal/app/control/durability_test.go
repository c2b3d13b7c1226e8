package control

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wal/faultfs"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// TestBootstrapRecordSurvivesSeriesOfFaults guards against a bootstrap record that a power loss
// undoes after others relied on it, or that comes back beside the log of a member that has voted.
// The process ends between any two operations.
func TestBootstrapRecordSurvivesSeriesOfFaults(t *testing.T) {
	for seed := range uint64(2000) {
		files := faultfs.New(seed)
		r := &durableRecord{
			random: rand.New(rand.NewPCG(seed, 3)),
			config: Config{Cluster: "test", ID: 1, DataFolder: "/data/control", FileSystem: files},
		}
		for life := range 10 {
			files.KillAfter(r.random.IntN(20))
			if err := r.live(); err != nil && !files.Killed() {
				t.Fatalf("seed %d, life %d: %v", seed, life, err)
			}
			if r.random.IntN(2) == 0 {
				files.Crash()
			} else {
				files.Stop()
			}
			if _, err := files.ReadFile((&bootstrapper{config: r.config}).path()); r.opened && !errors.Is(err, fs.ErrNotExist) {
				t.Fatalf("seed %d, life %d: the record came back beside the log: %v", seed, life, err)
			}
		}
	}
}

// durableRecord writes the bootstrap record of a member through several lives of its process.
type durableRecord struct {
	config Config
	random *rand.Rand
	// answered are the members that were told that they are new.
	answered []uint64
	// opened is set once the member has opened its log and may have voted.
	opened bool
}

func (r *durableRecord) live() error {
	options := wal.Options{FileSystem: r.config.FileSystem, Directory: r.config.DataFolder, Identity: wal.Identity{Cluster: "test", Member: 1}}
	log, _, err := wal.Open(options)
	if err == nil {
		err = errors.Join(removeBootstrapRecord(r.config), log.Close())
		r.opened = r.opened || err == nil
		return err
	}
	if r.opened || !errors.Is(err, wal.ErrMissing) {
		return err
	}
	b, err := openBootstrapper(r.config)
	if err != nil {
		return err
	}
	for _, member := range r.answered {
		if !b.isRecordedNew(member) {
			return errors.New("a member that was told that it is new is not recorded")
		}
	}
	if requester := 2 + r.random.Uint64N(3); r.random.IntN(3) > 0 {
		if _, err := b.recordNew(requester); err != nil {
			return err
		}
		if !slices.Contains(r.answered, requester) {
			r.answered = append(r.answered, requester)
		}
	}
	if r.random.IntN(4) > 0 {
		return nil
	}
	b.finish()
	log, _, err = wal.Create(options, consensus.Membership{Voters: []consensus.MemberID{1}})
	if err != nil {
		return err
	}
	err = errors.Join(removeBootstrapRecord(r.config), log.Close())
	r.opened = err == nil
	return err
}

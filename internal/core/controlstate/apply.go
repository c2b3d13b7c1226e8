package controlstate

import (
	"crypto/sha256"
	"fmt"
	"strconv"

	"github.com/loomgrade/loomgrade/internal/core/ledger"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Apply applies the log entry at index and returns its result. A rejected command
// returns the reason in Result.Error with verdict NotRun. A command whose change id was
// already used is not applied again: Apply returns the cached result with the current
// ledger. Configuration changes require a change id; for other commands it is optional.
func (s *State) Apply(index, term uint64, command port.Command) port.Result {
	s.applied = index
	s.publish(index, term, s.advanceTime(command))
	s.answers.Expire(s.time)

	digest, refusal := s.check(command)
	if refusal != nil {
		return s.errorResult(index, refusal)
	}
	if command.ChangeID != "" {
		first, found, refusal := s.answers.Lookup(command.ChangeID, digest, s.time)
		if refusal != nil {
			return s.errorResult(index, refusal)
		}
		if found {
			return s.withLedger(command, first)
		}
	}
	result := s.run(index, term, command)
	if command.ChangeID != "" {
		s.answers.Store(command.ChangeID, digest, s.time, result)
	}
	return s.withLedger(command, result)
}

// advanceTime advances the log time, and extends the leases by the part of the
// advance that is a jump.
func (s *State) advanceTime(command port.Command) []port.ViewChange {
	before := s.time
	s.time = max(s.time, command.Time)
	jump := min(command.TimeJump, s.time-before)
	if jump <= 0 {
		return nil
	}
	var changes []port.ViewChange
	for _, lease := range s.leases.Extend(before, jump) {
		changes = append(changes, port.ViewChange{Lease: &lease})
	}
	return changes
}

func (s *State) errorResult(index uint64, refusal *port.Error) port.Result {
	return port.Result{Index: index, Revision: s.revision, Error: refusal}
}

// withLedger adds the pool's delivery state, which cached results do not include.
func (s *State) withLedger(command port.Command, result port.Result) port.Result {
	if command.CommitBatch != nil {
		state := s.Ledger(command.CommitBatch.Pool)
		result.Ledger = &state
	}
	return result
}

// check validates the command's form and returns the digest of its body if it has a
// change id.
func (s *State) check(command port.Command) (registry.Digest, *port.Error) {
	if count := countVariants(command); count != 1 {
		return registry.Digest{}, port.InvalidField("command", strconv.Itoa(count)+" kinds set", "exactly one")
	}
	if command.ChangeID == "" {
		if command.ChangeConfiguration != nil {
			return registry.Digest{}, port.InvalidField("change_id", "", "a change id")
		}
		return registry.Digest{}, nil
	}
	command.ChangeID, command.Time, command.TimeJump = "", 0, 0
	body, err := encoding.Marshal(command)
	if err != nil {
		return registry.Digest{}, port.NewError(port.NotRun, port.CodeInvalid, "command cannot be encoded: %v", err)
	}
	sum := sha256.Sum256(body)
	return registry.Digest(sum[:len(registry.Digest{})]), nil
}

func countVariants(command port.Command) int {
	count := 0
	for _, set := range []bool{
		command.ChangeConfiguration != nil, command.PublishWeights != nil, command.AcquireLease != nil,
		command.ReleaseLease != nil, command.RegisterConsumer != nil, command.CommitBatch != nil,
		command.RegisterNode != nil, command.RemoveNode != nil,
	} {
		if set {
			count++
		}
	}
	return count
}

// run executes a well-formed command that was not applied before. Result.Revision is
// the revision after the command.
func (s *State) run(index, term uint64, command port.Command) port.Result {
	result := port.Result{Index: index}
	var changes []port.ViewChange
	switch {
	case command.ChangeConfiguration != nil:
		changes, result.Error = s.changeConfiguration(index, command.ChangeID, *command.ChangeConfiguration)
	case command.PublishWeights != nil:
		changes, result.Error = s.publishWeights(*command.PublishWeights)
		result.Current = s.weights.Current(command.PublishWeights.Pool)
	case command.AcquireLease != nil:
		changes, result.Lease, result.Error = s.acquireLease(*command.AcquireLease)
	case command.ReleaseLease != nil:
		changes, result.Error = s.releaseLease(*command.ReleaseLease)
	case command.RegisterConsumer != nil:
		result.Consumer, result.Error = s.registerConsumer(*command.RegisterConsumer)
	case command.CommitBatch != nil:
		result.Error = s.commitBatch(*command.CommitBatch)
	case command.RegisterNode != nil:
		changes, result.Error = s.registerNode(command.RegisterNode.Node)
	case command.RemoveNode != nil:
		changes = s.removeNode(command.RemoveNode.ID)
	}
	result.Revision = s.revision
	s.publish(index, term, changes)
	return result
}

// publish adds changes to the view and to the change log.
func (s *State) publish(index, term uint64, changes []port.ViewChange) {
	if len(changes) == 0 {
		return
	}
	s.position, s.term, s.view = index, term, nil
	s.changes.add(index, changes)
}

func (s *State) changeConfiguration(index uint64, changeID string, change port.ChangeConfiguration) ([]port.ViewChange, *port.Error) {
	if change.Expected != s.revision {
		conflict := port.NewError(port.NotRun, port.CodeConflict, "the configuration is at revision %d", s.revision)
		conflict.Field, conflict.Value = "expected", strconv.FormatUint(uint64(change.Expected), 10)
		conflict.Allowed = strconv.FormatUint(uint64(s.revision), 10)
		return nil, conflict
	}
	if len(change.Author) > maxTextBytes || len(change.Note) > maxTextBytes {
		return nil, port.InvalidField("note", fmt.Sprintf("%d bytes", len(change.Note)), fmt.Sprintf("author and note up to %d bytes each", maxTextBytes))
	}
	if refusal := s.document.Apply(change.Edits); refusal != nil {
		return nil, refusal
	}
	s.revision++
	s.history.Add(registry.HistoryEntry{
		Revision: s.revision, Index: index, ChangeID: changeID, Time: s.time,
		Author: change.Author, Note: change.Note, Edits: len(change.Edits),
	})
	changes := make([]port.ViewChange, 0, len(change.Edits))
	for _, edit := range change.Edits {
		if edit.RemovePool != "" {
			s.weights.Remove(edit.RemovePool)
			s.ledger.Remove(edit.RemovePool)
		}
		changes = append(changes, port.ViewChange{Edit: &edit})
	}
	return changes, nil
}

// maxTextBytes limits the author and the note of a history entry.
const maxTextBytes = 1024

// sampling returns the sampling settings of a pool that feeds a trainer.
func (s *State) sampling(name port.PoolName) (port.Sampling, *port.Error) {
	pool, found := s.document.Pool(name)
	if !found {
		return port.Sampling{}, port.NewError(port.NotRun, port.CodeNotFound, "no pool %s", name)
	}
	if pool.Sampling == nil {
		return port.Sampling{}, port.InvalidField("pool", string(name), "a pool that feeds a trainer")
	}
	return *pool.Sampling, nil
}

func (s *State) publishWeights(request port.PublishWeights) ([]port.ViewChange, *port.Error) {
	if _, refusal := s.sampling(request.Pool); refusal != nil {
		return nil, refusal
	}
	current := s.ledger.CurrentEpoch(request.Pool)
	if request.ConsumerEpoch != 0 && request.ConsumerEpoch != current {
		return nil, port.NewError(port.NotRun, port.CodeFenced, "consumer epoch %d is not the current one (%d)", request.ConsumerEpoch, current)
	}
	published, refusal := s.weights.Publish(request, s.time)
	if refusal != nil {
		return nil, refusal
	}
	return []port.ViewChange{{Weights: &published}}, nil
}

func (s *State) acquireLease(request port.AcquireLease) ([]port.ViewChange, *port.Lease, *port.Error) {
	var changes []port.ViewChange
	for _, name := range s.leases.Sweep(s.time) {
		if name != request.Name {
			changes = append(changes, port.ViewChange{LeaseRemoved: name})
		}
	}
	lease, epochUsed, refusal := s.leases.Acquire(request, s.epoch+1, s.time)
	if epochUsed {
		s.epoch++
	}
	if refusal == nil {
		return append(changes, port.ViewChange{Lease: &lease}), &lease, nil
	}
	if _, exists := s.leases.Get(request.Name); !exists {
		changes = append(changes, port.ViewChange{LeaseRemoved: request.Name})
	}
	if lease.Name == "" {
		return changes, nil, refusal
	}
	return changes, &lease, refusal
}

func (s *State) releaseLease(request port.ReleaseLease) ([]port.ViewChange, *port.Error) {
	removed, refusal := s.leases.Release(request)
	if !removed {
		return nil, refusal
	}
	return []port.ViewChange{{LeaseRemoved: request.Name}}, nil
}

func (s *State) registerConsumer(request port.RegisterConsumer) (*port.Consumer, *port.Error) {
	if _, refusal := s.sampling(request.Pool); refusal != nil {
		return nil, refusal
	}
	consumer, refusal := s.ledger.Register(request, s.epoch+1)
	if refusal != nil {
		return nil, refusal
	}
	s.epoch++
	return &consumer, nil
}

func (s *State) commitBatch(command port.CommitBatch) *port.Error {
	sampling, refusal := s.sampling(command.Pool)
	if refusal != nil {
		return refusal
	}
	lease, _ := s.leases.Get(port.CoordinatorLease(command.Pool))
	return s.ledger.Commit(command, ledger.CommitContext{
		CoordinatorEpoch: lease.Epoch,
		Published:        s.weights.Current(command.Pool),
		Sampling:         sampling,
	})
}

func (s *State) registerNode(node port.NodeAddress) ([]port.ViewChange, *port.Error) {
	changed, refusal := s.nodes.Register(node)
	if !changed {
		return nil, refusal
	}
	return []port.ViewChange{{Node: &node}}, nil
}

func (s *State) removeNode(id port.NodeID) []port.ViewChange {
	if !s.nodes.Remove(id) {
		return nil
	}
	return []port.ViewChange{{NodeRemoved: id}}
}

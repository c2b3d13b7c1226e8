package wal

import (
	"errors"
	"fmt"
	"syscall"
)

var (
	// ErrCorrupt reports damage that a torn write cannot explain.
	ErrCorrupt = errors.New("wal: data folder is corrupt")
	// ErrForeign reports a folder that belongs to another cluster or member.
	ErrForeign = errors.New("wal: data folder belongs to another member")
	// ErrMissing reports a folder without a log.
	ErrMissing = errors.New("wal: data folder has no log")
	// ErrExists reports that the folder already has a log.
	ErrExists = errors.New("wal: data folder already has a log")
	// ErrOldSnapshot rejects a snapshot that is not newer than the current one.
	ErrOldSnapshot = errors.New("wal: snapshot is not newer than the current one")
	// ErrLocked reports a folder that another process has open.
	ErrLocked = errors.New("wal: data folder is in use")
	// ErrFailed is returned by every call after a failed write or sync.
	ErrFailed = errors.New("wal: an earlier write or sync failed")
	// ErrFull reports that the disk was full. Such an error also matches ErrFailed.
	ErrFull = errors.New("wal: disk is full")
	// ErrClosed is returned by calls after Close.
	ErrClosed = errors.New("wal: log is closed")
)

// FailedError is the first failure of a Log. It matches ErrFailed, and ErrFull
// if the disk was full.
type FailedError struct {
	// Operation names the failed operation, such as "sync segment".
	Operation string
	Cause     error
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("%v: %s: %v", ErrFailed, e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error {
	return e.Cause
}

// Is reports whether target is ErrFailed or, on a full disk, ErrFull.
func (e *FailedError) Is(target error) bool {
	full := errors.Is(e.Cause, syscall.ENOSPC) || errors.Is(e.Cause, syscall.EDQUOT)
	return target == ErrFailed || target == ErrFull && full
}

// CorruptError locates the damage in a folder. It matches ErrCorrupt.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%v: %s at byte %d: %s", ErrCorrupt, e.File, e.Offset, e.Reason)
}

// Is reports whether target is ErrCorrupt.
func (e *CorruptError) Is(target error) bool {
	return target == ErrCorrupt
}

// ForeignError holds the expected and the found identity. It matches ErrForeign.
type ForeignError struct {
	Expected Identity
	Found    Identity
}

// Error implements error.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("%v: expected %v, found %v", ErrForeign, e.Expected, e.Found)
}

// Is reports whether target is ErrForeign.
func (e *ForeignError) Is(target error) bool {
	return target == ErrForeign
}

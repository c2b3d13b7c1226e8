package faultfs

import (
	"bytes"
	"syscall"
)

// handle is an open file.
type handle struct {
	files *FileSystem
	node  *node
	epoch uint64
	// syncFailed is set after a failed sync: as in a page cache, the unwritten
	// pages count as clean, and later syncs skip them.
	syncFailed bool
}

// Write implements io.Writer. It may write a part of the data before it fails.
func (h *handle) Write(data []byte) (int, error) {
	files := h.files
	files.mutex.Lock()
	defer files.mutex.Unlock()
	if h.epoch != files.epoch {
		return 0, errCrashed
	}
	if err := files.operate(); err != nil {
		return 0, err
	}
	if files.failWrite > 0 {
		files.failWrite--
		if files.failWrite == 0 {
			return h.append(data[:files.random.IntN(len(data)+1)]), ErrInjected
		}
	}
	if free := files.capacity - files.used(); files.capacity > 0 && free < int64(len(data)) {
		files.counters.FullWrites++
		return h.append(data[:max(free, 0)]), syscall.ENOSPC
	}
	return h.append(data), nil
}

func (h *handle) append(data []byte) int {
	h.node.written = append(h.node.written, data...)
	return len(data)
}

// Sync implements wal.File.
func (h *handle) Sync() error {
	files := h.files
	files.mutex.Lock()
	defer files.mutex.Unlock()
	if h.epoch != files.epoch {
		return errCrashed
	}
	if err := files.operate(); err != nil {
		return err
	}
	if files.syncFails() {
		h.syncFailed = true
		return ErrInjected
	}
	if !files.skipSync && !h.syncFailed {
		h.node.durable = h.node.written[:len(h.node.written):len(h.node.written)]
	}
	return nil
}

// Truncate implements wal.File.
func (h *handle) Truncate(size int64) error {
	files := h.files
	files.mutex.Lock()
	defer files.mutex.Unlock()
	if h.epoch != files.epoch {
		return errCrashed
	}
	if err := files.operate(); err != nil {
		return err
	}
	h.node.written = bytes.Clone(h.node.written[:min(size, int64(len(h.node.written)))])
	return nil
}

// Close implements io.Closer. It does not sync.
func (h *handle) Close() error {
	return nil
}

package registry

import (
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// MaxHistory limits the stored changes.
const MaxHistory = 1000

// HistoryEntry is one accepted configuration change.
type HistoryEntry struct {
	Revision port.Revision `cbor:"1,keyasint" json:"revision"`
	// Index is the log position of the change.
	Index    uint64 `cbor:"2,keyasint" json:"index"`
	ChangeID string `cbor:"3,keyasint" json:"change_id"`
	// Time is log time in milliseconds since the epoch.
	Time   int64  `cbor:"4,keyasint" json:"time_ms"`
	Author string `cbor:"5,keyasint,omitempty" json:"author,omitempty"`
	Note   string `cbor:"6,keyasint,omitempty" json:"note,omitempty"`
	Edits  int    `cbor:"7,keyasint" json:"edits"`
}

// History stores the latest accepted changes, oldest first.
type History struct{ entries []HistoryEntry }

// Add appends a change and drops the oldest over the limit.
func (h *History) Add(entry HistoryEntry) {
	h.entries = append(h.entries, entry)
	if len(h.entries) > MaxHistory {
		h.entries = h.entries[len(h.entries)-MaxHistory:]
	}
}

// List returns a copy of the changes, oldest first.
func (h *History) List() []HistoryEntry { return slices.Clone(h.entries) }

// Import replaces the history.
func (h *History) Import(entries []HistoryEntry) { h.entries = slices.Clone(entries) }

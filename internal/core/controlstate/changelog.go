package controlstate

import (
	"sort"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Limits of the change log.
const (
	maxChanges     = 8192
	maxChangeBytes = 8 << 20
	// maxDelta is the number of changes above which a full view is cheaper.
	maxDelta = 4096
	// changeBytes is the assumed size of a change without its policy source.
	changeBytes = 256
)

// numberedChange is a change of the view with its position in the log.
type numberedChange struct {
	position uint64
	change   port.ViewChange
}

// changeLog holds the most recent changes of the view, oldest first.
type changeLog struct {
	entries []numberedChange
	bytes   int
	// floor is the position after which the log is complete.
	floor uint64
}

func (c *changeLog) add(position uint64, changes []port.ViewChange) {
	for _, change := range changes {
		c.entries = append(c.entries, numberedChange{position, change})
		c.bytes += sizeOf(change)
	}
	drop := 0
	for drop < len(c.entries) && (len(c.entries)-drop > maxChanges || c.bytes > maxChangeBytes) {
		c.floor = c.entries[drop].position
		c.bytes -= sizeOf(c.entries[drop].change)
		c.entries[drop] = numberedChange{}
		drop++
	}
	c.entries = c.entries[drop:]
}

// since returns the changes after a position. It reports false if some were dropped
// or a full view is cheaper. Of several changes of one lease it returns the last.
func (c *changeLog) since(after uint64) (changes []port.ViewChange, ok bool) {
	if after < c.floor {
		return nil, false
	}
	first := sort.Search(len(c.entries), func(position int) bool { return c.entries[position].position > after })
	entries := c.entries[first:]
	last := make(map[string]int)
	for position, entry := range entries {
		if name := leaseName(entry.change); name != "" {
			last[name] = position
		}
	}
	for position, entry := range entries {
		if name := leaseName(entry.change); name == "" || last[name] == position {
			changes = append(changes, entry.change)
		}
	}
	return changes, len(changes) <= maxDelta
}

func leaseName(change port.ViewChange) string {
	if change.Lease != nil {
		return change.Lease.Name
	}
	return change.LeaseRemoved
}

func sizeOf(change port.ViewChange) int {
	size := changeBytes
	if change.Edit == nil {
		return size
	}
	if pool := change.Edit.PutPool; pool != nil && pool.Sampling != nil {
		size += len(pool.Sampling.Policy)
	}
	if tenants := change.Edit.Tenants; tenants != nil {
		size += len(*tenants) * changeBytes
	}
	return size
}

// Package jobqueue decides which item runs next, and on which replica. Older jobs run before
// newer ones; within a job, items with a longer expected length run first, because they finish
// last. Which groups the client does not need is unknown until enough others are complete.
// The package does no I/O.
package jobqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
)

// Key identifies an item.
type Key struct {
	Job  string
	Item int
}

// Item is an item waiting to run.
type Item struct {
	Key
	Service string
	Model   string
	// MinVersion is the oldest weight version that may generate its text.
	MinVersion uint64
	// ExactVersion, if not 0, is the weight version that must continue its text.
	ExactVersion uint64
	Group        string
	// Rank orders the items; lower runs first.
	Rank Rank
	// AllowedRegions are the regions in which it may run.
	AllowedRegions routing.AllowedRegions
	// Relaxed is set for an item that finishes in time on any replica.
	Relaxed bool
	// Avoid is a replica that was slow at the item, used only if there is no other.
	Avoid string
	// NotBefore is the earliest time to run the item after it was rejected.
	NotBefore time.Time
}

// Rank is the position of an item in the queue.
type Rank struct {
	// Deferred is set for an item that exceeds the memory of a replica. It runs after all others,
	// which it would keep from the replicas otherwise.
	Deferred bool
	// Accepted is the log position at which the job was accepted.
	Accepted uint64
	// Expected is the length that the job's client expects; longer items run first.
	Expected int
	// Group and Item are the positions of the group and the item in the job.
	Group int
	Item  int
}

// Compare orders ranks; the lowest runs first.
func (r Rank) Compare(other Rank) int {
	if r.Deferred != other.Deferred {
		if r.Deferred {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(r.Accepted, other.Accepted), cmp.Compare(other.Expected, r.Expected),
		cmp.Compare(r.Group, other.Group), cmp.Compare(r.Item, other.Item))
}

// Ranks returns the ranks of a job's items.
func Ranks(job *jobstate.Job) []Rank {
	groups := map[string]int{}
	ranks := make([]Rank, len(job.Items))
	for i := range job.Items {
		name := job.Items[i].Item.Group
		group, known := groups[name]
		if !known || name == "" {
			group = len(groups)
			groups[groupName(name, i)] = group
		}
		ranks[i] = Rank{Accepted: job.AcceptedAt, Expected: job.Items[i].Item.ExpectedLength(), Group: group, Item: i}
	}
	return ranks
}

// groupName returns a unique name for an item without a group.
func groupName(name string, item int) string {
	if name != "" {
		return name
	}
	return string(rune(0)) + string(rune(item))
}

// Replica is the state of a replica that placement depends on.
type Replica struct {
	ID      string
	Service string
	// Region is where it runs, empty if unknown.
	Region string
	// Free is the number of unused slots.
	Free int
	// Running is the number of items it runs.
	Running int
	// Pace is the expected time between two events of an item.
	Pace time.Duration
	// Version returns the version of a model that it serves, 0 if none.
	Version func(model string) uint64
	// HasPrompt reports whether it recently processed the prompt of a group.
	HasPrompt func(group string) bool
}

// Placement assigns an item to a replica.
type Placement struct {
	Item    Item
	Replica string
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue struct {
	waiting []Item
	sorted  bool
}

// Add adds an item.
func (q *Queue) Add(item Item) {
	q.waiting = append(q.waiting, item)
	q.sorted = false
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.waiting) }

// Drop removes the items that match.
func (q *Queue) Drop(match func(Item) bool) { q.waiting = slices.DeleteFunc(q.waiting, match) }

// Place removes the items that can be placed, in rank order, and returns their placements. It
// updates Free and Running of the given replicas.
func (q *Queue) Place(replicas []Replica, now time.Time) []Placement {
	if !q.sorted {
		slices.SortStableFunc(q.waiting, func(a, b Item) int { return a.Rank.Compare(b.Rank) })
		q.sorted = true
	}
	free := 0
	for _, replica := range replicas {
		free += max(0, replica.Free)
	}
	var placed []Placement
	remaining := q.waiting[:0]
	// unplaceable holds requirements that no replica with a free slot meets; slots only decrease.
	unplaceable := map[requirement]bool{}
	for i, item := range q.waiting {
		if free == 0 {
			remaining = append(remaining, q.waiting[i:]...)
			break
		}
		if now.Before(item.NotBefore) || unplaceable[requirementOf(item)] {
			remaining = append(remaining, item)
			continue
		}
		chosen := choose(replicas, item)
		if chosen < 0 {
			unplaceable[requirementOf(item)] = true
			remaining = append(remaining, item)
			continue
		}
		replicas[chosen].Free--
		replicas[chosen].Running++
		free--
		placed = append(placed, Placement{Item: item, Replica: replicas[chosen].ID})
	}
	q.waiting = remaining
	return placed
}

// requirement is the part of an item that a replica has to match.
type requirement struct {
	service, model           string
	minVersion, exactVersion uint64
	homes                    string
}

func requirementOf(item Item) requirement {
	return requirement{service: item.Service, model: item.Model, minVersion: item.MinVersion, exactVersion: item.ExactVersion, homes: item.AllowedRegions.String()}
}

// Package jobqueue decides which item of which job runs next, and at which
// replica. Older jobs go before newer ones, and in a job the items that are
// expected to be long, as its client waits for them in the end. Which groups it
// will not wait for is not known beforehand: those that are whole last. The package
// is pure.
package jobqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
)

// Key names an item.
type Key struct {
	Job  string
	Item int
}

// Item is an item that waits to run.
type Item struct {
	Key
	Service string
	Model   string
	// MinVersion is the oldest weight version that may make its text.
	MinVersion uint64
	// Only, if not 0, is the one version that may go on with its text.
	Only  uint64
	Group string
	// Rank orders the items; lower runs first.
	Rank Rank
	// Homes are the regions in which it may run.
	Homes routing.Homes
	// Relaxed is set for an item that is done in time at any replica.
	Relaxed bool
	// Avoid is a replica that was slow at it; it is taken if there is no other.
	Avoid string
	// NotBefore holds an item back after a refusal.
	NotBefore time.Time
}

// Rank is the place of an item in the order of work.
type Rank struct {
	// Accepted is the log position at which the job was accepted.
	Accepted uint64
	// Expected is the length that the job's client expects, in its units: longer
	// ones go first, as the client waits for them in the end.
	Expected int
	// Group and Item are positions in the job.
	Group int
	Item  int
}

// Compare orders ranks.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Accepted, other.Accepted), cmp.Compare(other.Expected, r.Expected),
		cmp.Compare(r.Group, other.Group), cmp.Compare(r.Item, other.Item))
}

// Ranks gives the ranks of a job's items.
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

// groupName tells items without a group apart.
func groupName(name string, item int) string {
	if name != "" {
		return name
	}
	return string(rune(0)) + string(rune(item))
}

// Replica is a replica as the queue sees it.
type Replica struct {
	ID      string
	Service string
	// Region is where it stands, empty if that is not known.
	Region string
	// Free is how many further items it may run.
	Free int
	// Running is how many it runs.
	Running int
	// Pace is the expected time between events of an item that runs there.
	Pace time.Duration
	// Version gives the version of a model that it serves, 0 if none.
	Version func(model string) uint64
	// Groups are the groups whose prompt it has read lately.
	Groups func(group string) bool
}

// Placement sends an item to a replica.
type Placement struct {
	Item    Item
	Replica string
}

// Queue holds the items that wait. It is not safe for concurrent use.
type Queue struct {
	waiting []Item
	sorted  bool
}

// Add puts an item in.
func (q *Queue) Add(item Item) {
	q.waiting = append(q.waiting, item)
	q.sorted = false
}

// Len gives the number of waiting items.
func (q *Queue) Len() int { return len(q.waiting) }

// Drop takes out the items that match.
func (q *Queue) Drop(match func(Item) bool) { q.waiting = slices.DeleteFunc(q.waiting, match) }

// Place takes out as many items as find a place, in order. It counts what it
// places against the replicas given.
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
	left := q.waiting[:0]
	// hopeless are wants that no replica with room meets; room only shrinks.
	hopeless := map[want]bool{}
	for i, item := range q.waiting {
		if free == 0 {
			left = append(left, q.waiting[i:]...)
			break
		}
		if now.Before(item.NotBefore) || hopeless[wantOf(item)] {
			left = append(left, item)
			continue
		}
		chosen := choose(replicas, item)
		if chosen < 0 {
			hopeless[wantOf(item)] = true
			left = append(left, item)
			continue
		}
		replicas[chosen].Free--
		replicas[chosen].Running++
		free--
		placed = append(placed, Placement{Item: item, Replica: replicas[chosen].ID})
	}
	q.waiting = left
	return placed
}

// want is what an item asks of a replica.
type want struct {
	service, model   string
	minVersion, only uint64
	homes            string
}

func wantOf(item Item) want {
	return want{service: item.Service, model: item.Model, minVersion: item.MinVersion, only: item.Only, homes: item.Homes.String()}
}

// choose gives the index of the best replica for an item, or -1.
func choose(replicas []Replica, item Item) int {
	best, bestCost := -1, 0.0
	for i := range replicas {
		replica := &replicas[i]
		if replica.Free <= 0 || replica.Service != item.Service || !fits(replica, item) {
			continue
		}
		cost := cost(replica, item)
		if replica.ID == item.Avoid {
			cost += avoidedCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// cost weighs a replica for an item. What is done in time anywhere goes where least
// runs, for its pace; the others go where they are done first, however many run
// there. A replica that has read the group's prompt is preferred a little.
func cost(replica *Replica, item Item) float64 {
	warm := 0.0
	if replica.Groups != nil && replica.Groups(item.Group) {
		warm = 1
	}
	if item.Relaxed {
		return replica.Pace.Seconds() * (float64(replica.Running+1) - warm*sharedPromptBonus)
	}
	return replica.Pace.Seconds() * (1 + crowding*(float64(replica.Running)-warm*sharedPromptBonus))
}

// avoidedCost puts a replica behind all others.
const avoidedCost = 1e6

const (
	// sharedPromptBonus is how many running items a replica may have more than
	// another one and still be taken, if it has read the group's prompt.
	sharedPromptBonus = 2.5
	// crowding is by what part of itself the pace of a batch grows with each item
	// in it.
	crowding = 0.015
)

func fits(replica *Replica, item Item) bool {
	if !item.Homes.Allow(replica.Region) {
		return false
	}
	version := replica.Version(item.Model)
	if item.Only != 0 {
		return version == item.Only
	}
	return version >= item.MinVersion
}

package registry

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Limits of leases.
const (
	MinLeaseTTL = 100 * time.Millisecond
	MaxLeaseTTL = time.Hour
	// MaxLeases limits the number of leases.
	MaxLeases = 4096
	// leaseRetention is how long an expired lease is stored, so that its holder can renew it
	// under the same epoch.
	leaseRetention = 10 * time.Minute
)

// Leases holds the named leases, sorted by name. It never modifies a slice that it returned.
type Leases struct {
	list   []port.Lease
	shared bool
}

// Get returns a lease by name.
func (l *Leases) Get(name string) (port.Lease, bool) {
	position, found := l.find(name)
	if !found {
		return port.Lease{}, false
	}
	return l.list[position], true
}

// Acquire grants a new lease under epoch next, or renews the holder's lease if the request has
// its epoch. Used reports whether next was assigned. A holder that acquires its lease without
// an epoch gets a new one, which fences its previous process.
func (l *Leases) Acquire(request port.AcquireLease, next port.Epoch, now int64) (lease port.Lease, used bool, refusal *port.Error) {
	if refusal := checkAcquire(request); refusal != nil {
		return port.Lease{}, false, refusal
	}
	position, exists := l.find(request.Name)
	if request.Epoch != 0 {
		return l.renew(request, position, exists, now)
	}
	if exists {
		held := l.list[position]
		if held.Holder != request.Holder && held.Expires > now {
			return held, false, leaseHeld(held, now)
		}
	}
	if !exists && len(l.list) >= MaxLeases {
		return port.Lease{}, false, port.NewError(port.NotRun, port.CodeTooLarge, "%d leases exist, the most there may be", MaxLeases)
	}
	granted := port.Lease{Name: request.Name, Holder: request.Holder, Epoch: next, Expires: now + request.TTL.Milliseconds()}
	l.put(position, exists, granted)
	return granted, true, nil
}

func (l *Leases) renew(request port.AcquireLease, position int, exists bool, now int64) (port.Lease, bool, *port.Error) {
	if !exists {
		return port.Lease{}, false, fenced(request.Name, request.Epoch, 0)
	}
	held := l.list[position]
	if held.Epoch != request.Epoch || held.Holder != request.Holder {
		return held, false, fenced(request.Name, request.Epoch, held.Epoch)
	}
	held.Expires = max(held.Expires, now+request.TTL.Milliseconds())
	l.put(position, true, held)
	return held, false, nil
}

// Extend extends the leases that were valid at validAt by some milliseconds and returns them.
func (l *Leases) Extend(validAt, by int64) []port.Lease {
	var extended []port.Lease
	for position := range l.list {
		if l.list[position].Expires <= validAt {
			continue
		}
		l.unshare()
		l.list[position].Expires += by
		extended = append(extended, l.list[position])
	}
	return extended
}

// Release removes a lease; releasing an unknown lease is not an error.
func (l *Leases) Release(request port.ReleaseLease) (removed bool, refusal *port.Error) {
	position, exists := l.find(request.Name)
	if !exists {
		return false, nil
	}
	held := l.list[position]
	if held.Epoch != request.Epoch || held.Holder != request.Holder {
		return false, fenced(request.Name, request.Epoch, held.Epoch)
	}
	l.remove(position)
	return true, nil
}

// Sweep removes leases past their retention and returns their names.
func (l *Leases) Sweep(now int64) []string {
	var removed []string
	for position := 0; position < len(l.list); {
		if l.list[position].Expires+leaseRetention.Milliseconds() > now {
			position++
			continue
		}
		removed = append(removed, l.list[position].Name)
		l.remove(position)
	}
	return removed
}

// Put sets a lease without checks, for replay by an observer.
func (l *Leases) Put(lease port.Lease) {
	position, exists := l.find(lease.Name)
	l.put(position, exists, lease)
}

// Drop removes a lease without checks, for replay by an observer.
func (l *Leases) Drop(name string) {
	if position, exists := l.find(name); exists {
		l.remove(position)
	}
}

// List returns the leases by name. The slice must not be modified.
func (l *Leases) List() []port.Lease {
	l.shared = true
	return l.list
}

// Import replaces the leases with a sorted list.
func (l *Leases) Import(list []port.Lease) { l.list, l.shared = slices.Clone(list), false }

func (l *Leases) find(name string) (int, bool) {
	return slices.BinarySearchFunc(l.list, name, func(lease port.Lease, name string) int {
		return cmp.Compare(lease.Name, name)
	})
}

func (l *Leases) put(position int, exists bool, lease port.Lease) {
	l.unshare()
	if exists {
		l.list[position] = lease
		return
	}
	l.list = slices.Insert(l.list, position, lease)
}

func (l *Leases) remove(position int) {
	l.unshare()
	l.list = slices.Delete(l.list, position, position+1)
}

func (l *Leases) unshare() {
	if l.shared {
		l.list, l.shared = slices.Clone(l.list), false
	}
}

func checkAcquire(request port.AcquireLease) *port.Error {
	if !validLeaseName(request.Name) {
		return port.InvalidField("name", request.Name, "1 to 128 letters, digits, '.', '_', '-' or '/'")
	}
	if !validName(string(request.Holder)) {
		return port.InvalidField("holder", string(request.Holder), allowedName)
	}
	if request.TTL < MinLeaseTTL || request.TTL > MaxLeaseTTL {
		return port.InvalidField("ttl", request.TTL.String(), fmt.Sprintf("%v to %v", MinLeaseTTL, MaxLeaseTTL))
	}
	return nil
}

func leaseHeld(held port.Lease, now int64) *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeLeaseHeld, "lease %s is held by %s under epoch %d", held.Name, held.Holder, held.Epoch)
	refusal.RetryAfter = time.Duration(held.Expires-now) * time.Millisecond
	return refusal
}

func fenced(name string, epoch, current port.Epoch) *port.Error {
	return port.NewError(port.NotRun, port.CodeFenced, "lease %s: epoch %d is not the current one (%d)", name, epoch, current)
}

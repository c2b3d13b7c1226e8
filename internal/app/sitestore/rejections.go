package sitestore

import "time"

// maxRejectionPause limits the delay before an item that replicas reject because of what it is, and not of
// what they run, is retried.
const maxRejectionPause = time.Second

// recordRejection counts the rejected runs in a row.
func (s *itemState) recordRejection(rejected bool) {
	if !rejected {
		s.rejections = 0
		return
	}
	s.rejections++
}

// isOversized reports whether an item exceeds the memory of its service's replicas, which therefore
// reject it, whatever they run. Its own figure may be wrong, so it is deferred and tried again.
func (r *runner) isOversized(item *itemState) bool {
	_, service := r.route(item)
	return r.exceedsMemory(item, service)
}

// exceedsMemory reports whether an item exceeds the memory of the replicas of a service.
func (r *runner) exceedsMemory(item *itemState, name string) bool {
	if r.table == nil {
		return false
	}
	service := r.table.Service(name)
	return service != nil && service.Engine != nil && service.Engine.MemoryTokens > 0 && item.spec.Tokens > service.Engine.MemoryTokens
}

// requeueRejected queues an item after a rejected run. One that was declined goes to another replica, if there
// is one.
func (r *runner) requeueRejected(event runEvent, now time.Time) {
	item := event.item
	if event.kind == runDeclined {
		item.avoid = event.replica
	}
	r.enqueue(item, now.Add(rejectionPause(item.rejections, event.kind == runDeclined || r.isOversized(item))))
}

// rejectionPause returns the delay before an item is retried after a number of rejections in a row. It grows
// if the item is their cause.
func rejectionPause(rejections int, byItem bool) time.Duration {
	if !byItem {
		return retryPause
	}
	const maxDoublings = 7 // to maxRejectionPause
	return min(retryPause<<min(rejections, maxDoublings), maxRejectionPause)
}

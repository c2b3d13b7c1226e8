package jobqueue

const (
	// minRewardCalls is the minimum limit, for a service that reports few slots.
	minRewardCalls = 2
	// reservedForCallers is the number of slots that reward calls leave free for callers'
	// requests.
	reservedForCallers = 1
)

// MaxRewardCalls returns the maximum number of concurrent reward calls of one runner at a service
// with the given number of slots. The runners of all shards share the slots that are not
// reserved for callers; calls beyond that would queue at the replicas, time out and be retried.
func MaxRewardCalls(slots, shards int) int {
	return max(minRewardCalls, (slots-reservedForCallers)/max(1, shards))
}

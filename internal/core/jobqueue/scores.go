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
//
// A service that has lost three of four replicas has six slots. With one reserved it serves 62
// calls of 80 ms per second; with a quarter reserved it serves 50, but three trainers send 53, and
// the delay grows with each step (4 s after a minute) until a step is lost. With none reserved,
// callers wait 50 ms longer, a third of their target, and reward calls 0.1 s less.
func MaxRewardCalls(slots, shards int) int {
	return max(minRewardCalls, (slots-reservedForCallers)/max(1, shards))
}

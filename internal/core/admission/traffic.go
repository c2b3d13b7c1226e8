package admission

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
)

// Traffic is a kind of requests to a service.
type Traffic uint8

// The kinds of traffic.
const (
	// CallerTraffic is the requests of callers, who aim for a latency.
	CallerTraffic Traffic = iota
	// RewardTraffic is the reward calls of jobs: a step waits for its last call, so that calls
	// are worth running however late.
	RewardTraffic
)

// Share is the part of a service's capacity that one sender may use.
type Share struct {
	// InFlight is the maximum number of concurrent requests; 0 means no maximum, as the rate
	// is limited.
	InFlight int
	// LatencyLimits is set if latency lowers the limit; otherwise only refusals do.
	LatencyLimits bool
}

// ShareOf returns the share of one of the senders of a kind of traffic. Reward calls do not yield
// to the queues that callers cause, and callers are protected by the slots that the maximum
// number of reward calls leaves free.
func ShareOf(traffic Traffic, slots, senders int) Share {
	if traffic == RewardTraffic {
		return Share{InFlight: jobqueue.MaxRewardCalls(slots, senders)}
	}
	return Share{LatencyLimits: true}
}

// Aim returns the aim to give to a SendLimiter for a request whose caller has the given one.
func (s Share) Aim(aim time.Duration) time.Duration {
	if !s.LatencyLimits {
		return 0
	}
	return aim
}

package coldlimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coldlimit"
)

// limits allow 16 requests per second, with a tolerance of half of that and 5 more.
var limits = coldlimit.Limits{Rate: 16, Overshoot: 1.5, Slack: 5}

// limit is the maximum number of requests in any second under limits.
const limit = 29

var start = time.Unix(1000, 0)

// arrivals returns the arrival times at a replica of the requests of a sender that always has
// requests to send, each with a random delay.
func arrivals(random *rand.Rand, perSpan int, from time.Duration) (at []time.Duration) {
	const cold, step, delay = 3 * time.Second, 20 * time.Millisecond, 20 * time.Millisecond
	var window coldlimit.Window
	for now := from; now < cold; now += step {
		if window.Remaining(perSpan, start.Add(now)) > 0 {
			window.Record(start.Add(now))
			at = append(at, now+time.Duration(random.Int64N(int64(delay))))
		}
	}
	return at
}

// busiestSecond returns the maximum number of arrivals in any second.
func busiestSecond(at []time.Duration) (busiest int) {
	slices.Sort(at)
	first := 0
	for last := range at {
		for at[last]-at[first] >= time.Second {
			first++
		}
		busiest = max(busiest, last-first+1)
	}
	return busiest
}

// TestAllSendersTogetherStayWithinTheBound checks the limit when every sender sends as much as it
// may, starting at different times, together with one runner. The senders assume their
// exact number, or one that is a quarter too small.
func TestAllSendersTogetherStayWithinTheBound(t *testing.T) {
	const replicas = 400
	for _, senders := range []int{1, 3, 10, 70, 800, 1600} {
		for _, assumed := range []int{senders, max(1, senders*3/4)} {
			random := rand.New(rand.NewPCG(uint64(senders), uint64(assumed)))
			share := limits.ShareOf(assumed)
			var exceeded, used, worst int
			for replica := range replicas {
				var at []time.Duration
				for sender := range senders {
					if share.Has(fmt.Sprint("front-", sender), fmt.Sprint("i-", replica)) {
						at = append(at, arrivals(random, share.PerSpan, time.Duration(random.Int64N(int64(time.Second))))...)
					}
				}
				if len(at) > 0 {
					used++
				}
				at = append(at, arrivals(random, limits.RunnerPerSpan(), 0)...)
				busiest := busiestSecond(at)
				worst = max(worst, busiest)
				if busiest > limit {
					exceeded++
				}
			}
			t.Logf("%4d senders, %4d assumed: %d per span with probability %.3f; at most %d in a second of %d; %d of %d replicas had a sender",
				senders, assumed, share.PerSpan, share.Probability, worst, limit, used, replicas)
			if exceeded > 0 {
				t.Errorf("%d senders, %d assumed: %d of %d replicas had more than %d requests in a second", senders, assumed, exceeded, replicas, limit)
			}
			if used < replicas*9/10 {
				t.Errorf("%d senders: only %d of %d replicas receive requests while cold", senders, used, replicas)
			}
		}
	}
}

// TestARunnerAndItsSuccessorStayWithinTheBound checks the limit when both send in the same
// second.
func TestARunnerAndItsSuccessorStayWithinTheBound(t *testing.T) {
	if got := 2 * limits.RunnerPerSpan(); got > limit || got == 0 {
		t.Errorf("%d requests, limit %d", got, limit)
	}
}

func TestNoShareWithoutSenderCount(t *testing.T) {
	share := limits.ShareOf(0)
	for i := range 100 {
		if share.Has("front", fmt.Sprint(i)) {
			t.Fatal("a sender has a share")
		}
	}
}

func TestAWindowSlides(t *testing.T) {
	var window coldlimit.Window
	window.Record(start)
	window.Record(start.Add(600 * time.Millisecond))
	for after, want := range map[time.Duration]int{700 * time.Millisecond: 0, coldlimit.Span - 1: 0, coldlimit.Span: 1, coldlimit.Span + 599*time.Millisecond: 1, coldlimit.Span + 600*time.Millisecond: 2} {
		probe := window
		if got := probe.Remaining(2, start.Add(after)); got != want {
			t.Errorf("after %v: %d more requests allowed, want %d", after, got, want)
		}
	}
}

func TestServicesWithoutARateAreNotBounded(t *testing.T) {
	if (coldlimit.Limits{Overshoot: 1.5, Slack: 5}).Limited() || !limits.Limited() {
		t.Error("Limited does not depend on Rate")
	}
}

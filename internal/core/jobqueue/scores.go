package jobqueue

const (
	// leastScores keeps reward calls going at a service that states few places.
	leastScores = 2
	// keptForCallers are the places of a service that reward calls leave free: requests of
	// callers, who wait, find one at any time. They are few and short beside reward calls.
	keptForCallers = 1
)

// ScoresAtOnce gives how many reward calls one runner may have under way at a service with so
// many places: its part of all but one, as the runners of other shards call the service too.
// Beyond that they would wait at the replicas, be cut off and sent again.
//
// A service that has lost three replicas of four has six places. With one kept free it answers
// 62 calls of 80 ms a second, with a quarter kept free 50, where three trainers bring 53: what
// is beyond that waits longer with each step, 4 s after a minute, until a step is lost. With none
// kept free callers wait 50 ms longer, a third of their aim, and calls 0.1 s less.
func ScoresAtOnce(places, shards int) int {
	return max(leastScores, (places-keptForCallers)/max(1, shards))
}

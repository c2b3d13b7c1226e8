package jobqueue

// scorer returns one part of the cost of running an item on a replica, in seconds per event of
// the item. The replica with the lowest sum is chosen; a scorer never excludes a replica.
type scorer func(replica *Replica, item *Item) float64

// scorers are the parts of the cost.
var scorers = []scorer{paceCost, loadCost, promptCost, avoidCost}

// choose returns the index of the best replica for an item, or -1.
func choose(replicas []Replica, item Item) int {
	return pick(scorers, replicas, &item)
}

// pick returns the index of the eligible replica with the lowest cost, the first of equals, or -1
// if none is eligible.
func pick(scorers []scorer, replicas []Replica, item *Item) int {
	best, bestCost := -1, 0.0
	for i := range replicas {
		replica := &replicas[i]
		if !eligible(replica, item) {
			continue
		}
		cost := sum(scorers, replica, item)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// sum returns the cost of running an item on a replica.
func sum(scorers []scorer, replica *Replica, item *Item) float64 {
	total := 0.0
	for _, score := range scorers {
		total += score(replica, item)
	}
	return total
}

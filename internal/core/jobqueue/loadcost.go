package jobqueue

const (
	// batchSlowdown is the relative increase of the pace per running item.
	batchSlowdown = 0.015
	// relaxedSlowdown replaces batchSlowdown for relaxed items, which prefer replicas with few
	// running items to fast ones.
	relaxedSlowdown = 1
)

// loadCost is the cost of the items that the replica already runs.
func loadCost(replica *Replica, item *Item) float64 {
	return costPerRun(replica, item) * float64(replica.Running)
}

// costPerRun is the cost of one running item.
func costPerRun(replica *Replica, item *Item) float64 {
	if item.Relaxed {
		return replica.Pace.Seconds() * relaxedSlowdown
	}
	return replica.Pace.Seconds() * batchSlowdown
}

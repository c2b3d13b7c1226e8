package jobqueue

// avoidPenalty ranks a replica after all others.
const avoidPenalty = 1e6

// avoidCost ranks the replica that was slow at the item last.
func avoidCost(replica *Replica, item *Item) float64 {
	if replica.ID == item.Avoid {
		return avoidPenalty
	}
	return 0
}

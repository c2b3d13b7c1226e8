package jobqueue

// paceCost is the expected time between two events on the replica.
func paceCost(replica *Replica, _ *Item) float64 { return replica.Pace.Seconds() }

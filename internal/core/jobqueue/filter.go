package jobqueue

// eligible reports whether a replica can run an item now.
func eligible(replica *Replica, item *Item) bool {
	return replica.Free > 0 && replica.Service == item.Service && fits(replica, item)
}

// fits reports whether a replica meets an item's region and weight version.
func fits(replica *Replica, item *Item) bool {
	if !item.AllowedRegions.Allows(replica.Region) {
		return false
	}
	version := replica.Version(item.Model)
	if item.ExactVersion != 0 {
		return version == item.ExactVersion
	}
	return version >= item.MinVersion
}

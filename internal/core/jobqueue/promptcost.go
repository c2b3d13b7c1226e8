package jobqueue

// sharedPromptBonus is the number of additional running items at which a replica that
// processed the group's prompt is still preferred.
const sharedPromptBonus = 2.5

// promptCost is negative for a replica that processed the prompt of the item's group.
func promptCost(replica *Replica, item *Item) float64 {
	if replica.HasPrompt == nil || !replica.HasPrompt(item.Group) {
		return 0
	}
	return -sharedPromptBonus * costPerRun(replica, item)
}

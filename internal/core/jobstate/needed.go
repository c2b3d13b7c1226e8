package jobstate

// defaultNeededShare is the share of a job's groups that a client is assumed to wait for if it
// does not say how many.
const defaultNeededShare = 0.9

// NeededGroups are the groups that must still complete before a job's client stops waiting:
// every group that came back from an earlier job, and any others up to the number that the
// client waits for.
type NeededGroups struct {
	resubmitted map[string]bool
	others      int
}

// NeededGroups returns the groups that the job's client waits for, without the complete ones.
func (j *Job) NeededGroups() NeededGroups {
	open, resubmitted := map[string]bool{}, map[string]bool{}
	for i := range j.Items {
		item := &j.Items[i]
		open[item.Item.Group] = open[item.Item.Group] || item.Result == ResultNone
		resubmitted[item.Item.Group] = resubmitted[item.Item.Group] || item.Resubmitted
	}
	needed := NeededGroups{resubmitted: map[string]bool{}, others: j.desiredGroups(len(open))}
	for group, isOpen := range open {
		if resubmitted[group] || !isOpen {
			needed.others--
		}
		if resubmitted[group] && isOpen {
			needed.resubmitted[group] = true
		}
	}
	return needed
}

// desiredGroups returns the number of complete groups that the client waits for.
func (j *Job) desiredGroups(groups int) int {
	if j.Submission.Desired > 0 {
		return min(j.Submission.Desired, groups)
	}
	return max(1, int(defaultNeededShare*float64(groups)+0.5))
}

// Satisfied reports whether the client waits for no further group.
func (n *NeededGroups) Satisfied() bool { return len(n.resubmitted) == 0 && n.others <= 0 }

// Needs reports whether the client may wait for an open group.
func (n *NeededGroups) Needs(group string) bool { return n.resubmitted[group] || n.others > 0 }

// Complete records that a group completed, and reports whether it was the last that the client
// waited for.
func (n *NeededGroups) Complete(group string) bool {
	if n.Satisfied() {
		return false
	}
	if n.resubmitted[group] {
		delete(n.resubmitted, group)
	} else {
		n.others--
	}
	return n.Satisfied()
}

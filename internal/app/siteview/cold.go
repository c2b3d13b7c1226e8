package siteview

import (
	"maps"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// ColdLeft gives how much longer a replica is taken to be cold, 0 if it is not.
func (v *View) ColdLeft(id string, now time.Time) time.Duration {
	return max(0, v.coldUntil[id].Sub(now))
}

// NewView makes a view of control state and a table.
func NewView(state *sitestate.View, table *routing.Table) *View {
	return &View{View: state, Table: table}
}

// WithCold gives the view with what updates that came now say of cold replicas.
func (v *View) WithCold(updates []sitestate.Update, now time.Time) *View {
	next := *v
	next.coldUntil = coldAfter(v.coldUntil, updates, now)
	return &next
}

// coldAfter gives until when replicas are cold after updates that came now. The log knows no
// time: what a replica had left when it reported counts from when the update is here, which
// is later. A report that it is warm does not end it: it may be from before the replica
// became cold once more.
func coldAfter(held map[string]time.Time, updates []sitestate.Update, now time.Time) map[string]time.Time {
	cold := maps.Clone(held)
	if cold == nil {
		cold = map[string]time.Time{}
	}
	maps.DeleteFunc(cold, func(_ string, until time.Time) bool { return !until.After(now) })
	for _, update := range updates {
		for _, id := range update.Removed {
			delete(cold, id)
		}
		for i := range update.Replicas {
			replica := &update.Replicas[i]
			until := now.Add(time.Duration(replica.ColdMillis) * time.Millisecond)
			if until.After(now) && until.After(cold[replica.ID]) {
				cold[replica.ID] = until
			}
		}
	}
	return cold
}

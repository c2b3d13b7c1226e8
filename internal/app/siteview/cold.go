package siteview

import (
	"maps"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// ColdRemaining returns how much longer a replica counts as cold, 0 if it does not.
func (v *View) ColdRemaining(id string, now time.Time) time.Duration {
	return max(0, v.coldUntil[id].Sub(now))
}

// NewView returns a view of control state and a table.
func NewView(state *sitestate.View, table *routing.Table) *View {
	return &View{View: state, Table: table}
}

// WithCold returns the view with the cold periods in updates received now.
func (v *View) WithCold(updates []sitestate.Update, now time.Time) *View {
	next := *v
	next.coldUntil = coldAfter(v.coldUntil, updates, now)
	return &next
}

// coldAfter returns the ends of cold periods after updates received now. The log has no time,
// so that a remaining period counts from the receipt of the update. A report of a warm replica
// doesn't end the period, since it may predate a later cold start.
func coldAfter(previous map[string]time.Time, updates []sitestate.Update, now time.Time) map[string]time.Time {
	cold := maps.Clone(previous)
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

package sitestore

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
)

const (
	// crashesUntilPause is the number of crashed replicas from which a run is delayed. Fewer
	// are common when replicas fail together.
	crashesUntilPause = 3
	// minCrashPause is the first pause, which doubles with each further crash up to
	// maxCrashPause. The maximum is short, because accepted work must not wait while replicas
	// have free slots, and long enough that an item that crashes its replicas has no more than
	// about two of them restarting at a time, as a restart takes about 2 s.
	minCrashPause = 250 * time.Millisecond
	maxCrashPause = time.Second
)

// crashPause returns how long work waits after a crash before its next run, given the number of
// replicas that crashed so far. Accepted work is never given up for crashes: they rarely have it
// as their cause.
func crashPause(crashes int) time.Duration {
	if crashes < crashesUntilPause {
		return 0
	}
	const maxDoublings = 2 // to maxCrashPause
	return min(minCrashPause<<min(crashes-crashesUntilPause, maxDoublings), maxCrashPause)
}

// replicaCrash is a replica that closed the connection while it ran an item.
type replicaCrash struct {
	replica string
	at      time.Time
}

// recordCrash records that a replica crashed during a run of an item, and pauses the item.
func (r *runner) recordCrash(item *itemState, replica string, now time.Time) {
	known := slices.IndexFunc(item.crashes, func(crash replicaCrash) bool { return crash.replica == replica })
	if known >= 0 {
		item.crashes[known].at = now
	} else {
		item.crashes = append(item.crashes, replicaCrash{replica: replica, at: now})
		item.addCrash()
	}
	crashes := r.crashCount(item)
	pause := crashPause(crashes)
	if pause == 0 {
		return
	}
	item.pausedUntil = now.Add(pause)
	r.store.config.Logger.Warn().Str(eventlog.Field, eventlog.ItemPaused).Str("job", item.key.Job).Str("id", item.spec.ID).
		Int("crashes", crashes).Dur("pause_ms", pause).Msg("item paused: replicas crashed during its runs")
}

// crashCount returns the number of replicas that crashed during the item's runs. A replica that
// responded to a later run did not crash.
func (r *runner) crashCount(item *itemState) int {
	count := item.earlierCrashes
	for _, crash := range item.crashes {
		if entry := r.replicas.replicas[crash.replica]; entry == nil || !entry.respondedAt.After(crash.at) {
			count++
		}
	}
	return count
}

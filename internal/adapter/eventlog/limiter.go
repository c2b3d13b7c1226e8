package eventlog

import (
	"sync"
	"time"
)

// limitInterval is the minimum time between two log lines of a Limiter: a faulty sender may
// cause thousands of events per second.
const limitInterval = time.Second

// Limiter limits the rate of log lines on frequent events. It is safe for concurrent use. The
// zero Limiter is ready to use.
type Limiter struct {
	mutex    sync.Mutex
	loggedAt time.Time
	unlogged int
}

// Due counts an event, and returns the number to log if a line is due.
func (l *Limiter) Due(now time.Time) (count int, due bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unlogged++
	if now.Sub(l.loggedAt) < limitInterval {
		return 0, false
	}
	count, l.unlogged, l.loggedAt = l.unlogged, 0, now
	return count, true
}

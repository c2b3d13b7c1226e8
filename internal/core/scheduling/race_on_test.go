//go:build race

package scheduling

// raceEnabled says that the race detector runs, which makes sync.Pool drop
// items at random.
const raceEnabled = true

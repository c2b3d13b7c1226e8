//go:build race

package scheduling

// raceEnabled is set under the race detector, which makes sync.Pool drop items at
// random.
const raceEnabled = true

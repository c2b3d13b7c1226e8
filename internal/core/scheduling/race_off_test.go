//go:build !race

package scheduling

const raceEnabled = false

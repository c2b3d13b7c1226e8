package coordinator

import "time"

// mix hashes a seed and a counter (SplitMix64).
func mix(seed, counter uint64) uint64 {
	z := seed + (counter+1)*0x9E3779B97F4A7C15
	z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9
	z = (z ^ (z >> 27)) * 0x94D049BB133111EB
	return z ^ (z >> 31)
}

// backoff returns a jittered delay, between half and all of a limit that doubles
// with every failed try.
func backoff(seed, counter uint64, tries int) time.Duration {
	const maxDoublings = 16
	limit := min(baseBackoff<<min(tries, maxDoublings), maxBackoff)
	half := uint64(limit / 2)
	return time.Duration(half + mix(seed, counter)%half)
}

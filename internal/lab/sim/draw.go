package sim

import (
	"hash/fnv"
	"math"
)

// mix hashes a seed and a counter (SplitMix64).
func mix(seed, counter uint64) uint64 {
	z := seed + (counter+1)*0x9E3779B97F4A7C15
	z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9
	z = (z ^ (z >> 27)) * 0x94D049BB133111EB
	return z ^ (z >> 31)
}

// draw returns a number that depends only on its arguments, so that all variants of a
// seed draw the same numbers.
func draw(seed uint64, parts ...uint64) uint64 {
	for _, part := range parts {
		seed = mix(seed, part)
	}
	return seed
}

// nameSeed returns a seed for a name.
func nameSeed(name string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return sum.Sum64()
}

// fractionBits is the number of bits that a float64 holds exactly.
const fractionBits = 53

// fraction converts a draw to a number in (0, 1].
func fraction(drawn uint64) float64 {
	return float64(drawn>>(64-fractionBits)+1) / (1 << fractionBits)
}

// exponential converts a draw to an exponentially distributed number of mean 1.
func exponential(drawn uint64) float64 { return -math.Log(fraction(drawn)) }

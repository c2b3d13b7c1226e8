package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/core/prefix"
)

// BytesPerToken is the length of a token's text in bytes.
const BytesPerToken = 4

// CountTokens returns the number of tokens of a text.
func CountTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// HashBlocks returns the chained hashes of the full blocks of a text, as the protocol
// defines them for cache events.
func HashBlocks(text string, blockTokens int) []uint64 {
	return prefix.HashBlocks(text, blockTokens*BytesPerToken)
}

// chainHash combines the hash of a block with that of all blocks before it.
func chainHash(previous, block uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], previous)
	binary.LittleEndian.PutUint64(buffer[8:], block)
	return xxhash.Sum64(buffer[:])
}

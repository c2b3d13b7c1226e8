package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// HashBlocks gives the chained hashes of the whole blocks of a prompt, each of
// blockBytes bytes. Two prompts share their first n hashes when they share
// their first n blocks. A last block that is not whole has no hash.
func HashBlocks(prompt string, blockBytes int) []uint64 {
	if blockBytes <= 0 {
		return nil
	}
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	chain := uint64(0)
	for len(prompt) >= blockBytes {
		chain = chainHash(chain, xxhash.Sum64String(prompt[:blockBytes]))
		hashes = append(hashes, chain)
		prompt = prompt[blockBytes:]
	}
	return hashes
}

// chainHash joins a block's hash to that of all blocks before it.
func chainHash(chain, block uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], chain)
	binary.LittleEndian.PutUint64(buffer[8:], block)
	return xxhash.Sum64(buffer[:])
}

package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// HashBlocks returns the chained hashes of the complete blocks of a prompt, of blockBytes
// bytes each. Prompts that share their first n blocks share their first n hashes. An
// incomplete last block has no hash.
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

// chainHash combines a block's hash with the chained hash of all previous blocks.
func chainHash(chain, block uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], chain)
	binary.LittleEndian.PutUint64(buffer[8:], block)
	return xxhash.Sum64(buffer[:])
}

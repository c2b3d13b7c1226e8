// Package apikey compares the API keys of callers by digest, so that no key is stored.
package apikey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Digest is the SHA-256 of a key. The zero Digest means no key; Equal returns false for it.
type Digest [sha256.Size]byte

// Of returns the digest of a key, the zero Digest for an empty key.
func Of(key string) Digest {
	if key == "" {
		return Digest{}
	}
	return sha256.Sum256([]byte(key))
}

// FromHex decodes a digest in hexadecimal; invalid input yields the zero Digest.
func FromHex(text string) Digest {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return Digest{}
	}
	return Digest(raw)
}

// Equal reports, in constant time, whether two digests are of the same key. It returns false
// if either is zero.
func (d Digest) Equal(other Digest) bool {
	return d != Digest{} && subtle.ConstantTimeCompare(d[:], other[:]) == 1
}

// String returns a placeholder, so that logs and messages contain no digest.
func (d Digest) String() string { return "key" }

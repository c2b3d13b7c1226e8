// Package apikey stores the keys of callers as digests: a key is hashed on arrival and not kept.
package apikey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Digest is the SHA-256 of a key. The zero Digest stands for no key and equals nothing.
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

// Equal compares two digests in constant time.
func (d Digest) Equal(other Digest) bool {
	return d != Digest{} && subtle.ConstantTimeCompare(d[:], other[:]) == 1
}

// String returns a placeholder, to keep digests out of logs and messages.
func (d Digest) String() string { return "key" }

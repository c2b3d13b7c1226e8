// Package apikey holds the keys of callers as digests: a key itself is read once,
// where it arrives, and kept nowhere.
package apikey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Digest is the SHA-256 of a key. The zero Digest is that of no key and equals nothing.
type Digest [sha256.Size]byte

// Of gives the digest of a key; no key has the zero Digest.
func Of(key string) Digest {
	if key == "" {
		return Digest{}
	}
	return sha256.Sum256([]byte(key))
}

// FromHex reads a digest in hexadecimal; anything else gives the zero Digest.
func FromHex(text string) Digest {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return Digest{}
	}
	return Digest(raw)
}

// Equal compares in constant time.
func (d Digest) Equal(other Digest) bool {
	return d != Digest{} && subtle.ConstantTimeCompare(d[:], other[:]) == 1
}

// String keeps digests out of log lines and messages.
func (d Digest) String() string { return "key" }

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Fingerprint identifies equivalent requests. It covers the parts that a caller repeats on a
// retry, not the request id, the deadline or other headers.
type Fingerprint struct {
	Head Head   `cbor:"1,keyasint"`
	Body Digest `cbor:"2,keyasint"`
}

// Head is the digest of everything but the body. It is cheap to compute, so that bodies are
// hashed only for requests whose head matches a suspect.
type Head = Digest

// Digest is the first half of a SHA-256, so that callers cannot construct colliding requests.
type Digest [16]byte

// Request holds the parts of a request that its fingerprint covers.
type Request struct {
	// Caller is the tenant that sends it, empty if none.
	Caller string
	Method string
	Host   string
	// Target is the path and the query as sent.
	Target string
	Body   []byte
}

// Head returns the digest of everything but the body.
func (r *Request) Head() Head {
	state := sha256.New()
	for _, part := range []string{r.Caller, r.Method, r.Host, r.Target} {
		writePart(state, part)
	}
	return digestOf(state)
}

// Fingerprint returns the request's fingerprint.
func (r *Request) Fingerprint() Fingerprint {
	state := sha256.New()
	_, _ = state.Write(r.Body)
	return Fingerprint{Head: r.Head(), Body: digestOf(state)}
}

// writePart writes a part prefixed with its length, so that different parts never encode equally.
func writePart(state hash.Hash, part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = state.Write(length[:])
	_, _ = state.Write([]byte(part))
}

func digestOf(state hash.Hash) (digest Digest) {
	copy(digest[:], state.Sum(nil))
	return digest
}

// String returns the fingerprint for log lines: half of each digest in hex.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f.Head[:8]) + "-" + hex.EncodeToString(f.Body[:8])
}

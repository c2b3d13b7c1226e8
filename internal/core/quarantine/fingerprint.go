package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Fingerprint is equal for requests that ask for the same. It is made of the parts that
// a caller repeats when it tries again, so not of the request's id, its deadline or any
// other header.
type Fingerprint struct {
	Head Head   `cbor:"1,keyasint"`
	Body Digest `cbor:"2,keyasint"`
}

// Head stands for all but the body. It is cheap to make, so that bodies are only read for
// requests whose head is of interest.
type Head = Digest

// Digest is the first half of a SHA-256: no caller can make another one's request look
// like its own.
type Digest [16]byte

// Request names the parts that make a request the same as another one.
type Request struct {
	// Caller is the tenant that sends it, empty where there are none.
	Caller string
	Method string
	Host   string
	// Target is the path and the query as they were sent.
	Target string
	Body   []byte
}

// Head gives the digest of all but the body.
func (r *Request) Head() Head {
	state := sha256.New()
	for _, part := range []string{r.Caller, r.Method, r.Host, r.Target} {
		writePart(state, part)
	}
	return digestOf(state)
}

// Fingerprint gives the request's fingerprint.
func (r *Request) Fingerprint() Fingerprint {
	state := sha256.New()
	_, _ = state.Write(r.Body)
	return Fingerprint{Head: r.Head(), Body: digestOf(state)}
}

// writePart adds a part with its length, so that no two lists of parts read the same.
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

// String gives the fingerprint as it stands in log lines: half of either digest, in hex.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f.Head[:8]) + "-" + hex.EncodeToString(f.Body[:8])
}

package engine

import (
	"math"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/port"
)

// digits are the digits used in generated tokens.
const digits = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// ContentKey identifies the text generated for a prompt and a seed.
func ContentKey(prompt string, seed uint64) uint64 {
	return chainHash(xxhash.Sum64String(prompt), seed)
}

// TokenText returns the token at a position of a generated text. Every token is
// BytesPerToken long: one digit for the version that generated it, two derived from the
// content key and the position, and a space. An audit can therefore determine from a
// text which versions generated it.
func TokenText(key uint64, position int, version port.WeightVersion) string {
	content := chainHash(key, uint64(position)) % uint64(len(digits)*len(digits))
	return string([]byte{
		VersionDigit(version),
		digits[content/uint64(len(digits))],
		digits[content%uint64(len(digits))],
		' ',
	})
}

// VersionDigit returns the digit of a version in generated text: '?' for the unknown
// version, otherwise one that repeats after 61 versions.
func VersionDigit(version port.WeightVersion) byte {
	if version == UnknownVersion {
		return '?'
	}
	return digits[version%port.WeightVersion(len(digits)-1)]
}

// Text returns count tokens of a generated text, starting at a position.
func Text(key uint64, position, count int, version port.WeightVersion) string {
	var text strings.Builder
	text.Grow(count * BytesPerToken)
	for i := range count {
		text.WriteString(TokenText(key, position+i, version))
	}
	return text.String()
}

// SameContent reports whether a text consists of the tokens of a content key from
// position 0 on, regardless of the versions that generated them.
func SameContent(text string, key uint64) bool {
	if len(text)%BytesPerToken != 0 {
		return false
	}
	for position := range len(text) / BytesPerToken {
		want := TokenText(key, position, UnknownVersion)
		if text[position*BytesPerToken+1:(position+1)*BytesPerToken] != want[1:] {
			return false
		}
	}
	return true
}

// Lengths is a log-normal distribution of output lengths in tokens: most are short and
// a few very long.
type Lengths struct {
	Median float64
	// Sigma is the standard deviation of the logarithm; if it is 0, all lengths are equal.
	Sigma float64
	Max   int
}

// Of returns the length for a content key, at least 1.
func (l Lengths) Of(key uint64) int {
	normal := rand.New(rand.NewPCG(key, 0)).NormFloat64()
	length := int(l.Median * math.Exp(l.Sigma*normal))
	if l.Max > 0 {
		length = min(length, l.Max)
	}
	return max(length, 1)
}

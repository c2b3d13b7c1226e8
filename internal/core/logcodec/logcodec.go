// Package logcodec encodes and decodes the commands and snapshots of replicated logs. All members
// decode with the same limits, and nothing is encoded that they would reject.
package logcodec

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
)

// Limits of what can be decoded. A message between processes has the same ones, so that whatever
// arrives in a message fits into a command.
const (
	// MaxElements limits the elements of an array and the pairs of a map.
	MaxElements = 1 << 20
	// MaxNesting limits the nesting of arrays and maps.
	MaxNesting = 32
)

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are fixed
	}
	return mode
}

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: MaxElements, MaxMapPairs: MaxElements, MaxNestedLevels: MaxNesting}.DecMode()
	if err != nil {
		panic(err) // the options are fixed
	}
	return mode
}

// Marshal encodes a value. It returns an error if the encoding is beyond the limits of Unmarshal. Text
// that is not valid UTF-8 must be rejected beforehand: Unmarshal does not decode it.
func Marshal(value any) ([]byte, error) {
	data, err := encoding.Marshal(value)
	if err != nil {
		return nil, err
	}
	if err := decoding.Wellformed(data); err != nil {
		return nil, err
	}
	return data, nil
}

// MarshalToBuffer appends the encoding of a value to a buffer, without a check of the limits.
func MarshalToBuffer(value any, into *bytes.Buffer) error {
	return encoding.MarshalToBuffer(value, into)
}

// Unmarshal decodes the output of Marshal or MarshalToBuffer.
func Unmarshal(data []byte, value any) error { return decoding.Unmarshal(data, value) }

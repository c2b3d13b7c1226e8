package wire

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/loomgrade/loomgrade/internal/core/logcodec"
)

var (
	encodeMode = mustEncodeMode()
	decodeMode = mustDecodeMode()
)

func mustEncodeMode() cbor.EncMode {
	options := cbor.EncOptions{
		Sort:        cbor.SortBytewiseLexical,
		Time:        cbor.TimeRFC3339Nano,
		IndefLength: cbor.IndefLengthForbidden,
	}
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecodeMode() cbor.DecMode {
	// Together with the frame size limit the limits bound the cost of one message of a faulty or
	// malicious peer.
	options := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  logcodec.MaxNesting,
		MaxArrayElements: logcodec.MaxElements,
		MaxMapPairs:      logcodec.MaxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes a message for the wire. Keys are sorted, so equal messages have equal
// bytes.
func Marshal(message any) ([]byte, error) {
	return encodeMode.Marshal(message)
}

// Unmarshal decodes exactly one message under the package's limits. Duplicate
// keys, tags, indefinite lengths and trailing bytes are errors.
func Unmarshal(data []byte, message any) error {
	return decodeMode.Unmarshal(data, message)
}

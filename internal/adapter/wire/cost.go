package wire

import "encoding/binary"

const (
	// valueBytes and mapBytes are the memory that a value, and a map, of a message take once decoded.
	valueBytes = 16
	mapBytes   = 128
)

// The major types of CBOR (RFC 8949, section 3.1) that hold bytes or other values.
const (
	majorBytes = 2
	majorText  = 3
	majorMap   = 5
)

// decodedCost returns the memory that the values of a message take once decoded, beside its bytes. What
// is not well-formed ends the count.
func decodedCost(message []byte) int64 {
	cost := int64(0)
	for len(message) > 0 {
		major, argument, size := cborHead(message)
		message = message[size:]
		cost += valueBytes
		switch major {
		case majorMap:
			cost += mapBytes - valueBytes
		case majorBytes, majorText:
			message = message[min(argument, uint64(len(message))):]
		}
	}
	return cost
}

// cborHead returns the major type of an item, its argument and the size of its head.
func cborHead(content []byte) (major byte, argument uint64, size int) {
	const shortest, majorShift = 24, 5
	major, argument = content[0]>>majorShift, uint64(content[0]&(1<<majorShift-1))
	if argument < shortest || argument > shortest+3 {
		return major, argument, 1
	}
	width := 1 << (argument - shortest)
	if len(content) < 1+width {
		return major, 0, len(content)
	}
	var number [8]byte
	copy(number[8-width:], content[1:1+width])
	return major, binary.BigEndian.Uint64(number[:]), 1 + width
}

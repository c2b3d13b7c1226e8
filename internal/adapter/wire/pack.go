package wire

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
)

const (
	// leastPacked is the size from which on a frame is compressed, in bytes.
	leastPacked = 1 << 10
	// packedHead goes before the byte string of a compressed frame: CBOR tag 6,
	// which has no registered meaning.
	packedHead = 0xc6
	// packedShare is the most that a compressed frame may have of its former size;
	// one that compresses worse travels as it is.
	packedShare = 0.9
)

// packer compresses frames. It is safe for several goroutines.
type packer struct {
	writers sync.Pool
}

func newPacker() *packer {
	return &packer{writers: sync.Pool{New: func() any {
		writer, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			panic(err) // the level is a constant
		}
		return writer
	}}}
}

// compress writes content behind what a buffer holds.
func (p *packer) compress(into *bytes.Buffer, content []byte) {
	writer := p.writers.Get().(*flate.Writer)
	defer p.writers.Put(writer)
	writer.Reset(into)
	// A buffer takes all writes.
	_, _ = writer.Write(content)
	_ = writer.Close()
}

// pack gives an item of the sequence compressed, or as it is if that does not pay.
func (p *packer) pack(item []byte) []byte {
	if len(item) < leastPacked || looksPacked(item) {
		return item
	}
	var packed bytes.Buffer
	packed.Write(make([]byte, 1+frameHeaderSize))
	p.compress(&packed, item[frameHeaderSize:])
	if float64(packed.Len()) > packedShare*float64(len(item)) {
		return item
	}
	whole := packed.Bytes()
	whole[0], whole[1] = packedHead, byteStringHead
	binary.BigEndian.PutUint32(whole[2:], uint32(len(whole)-1-frameHeaderSize))
	return whole
}

const (
	// sampleBytes is how much of a frame is looked at to tell whether it is compressed
	// already, and sampleMost how often the most frequent byte stands there at most then: of
	// 256 even ones it is 5 on average, of text and numbers 15 and more.
	sampleBytes = 256
	sampleMost  = 8
)

// looksPacked reports whether a frame holds what is compressed already, a state that is packed
// once for many receivers above all.
func looksPacked(item []byte) bool {
	if len(item) < 2*sampleBytes {
		return false
	}
	var counts [256]int
	for _, b := range item[len(item)/2:][:sampleBytes] {
		if counts[b]++; counts[b] > sampleMost {
			return false
		}
	}
	return true
}

// sharedPacker compresses messages that are made once for many receivers.
var sharedPacker = newPacker()

// MarshalPacked gives a message encoded and compressed, to be a part of messages to many
// receivers.
func MarshalCompressed(message any) ([]byte, error) {
	encoded, err := Marshal(message)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	sharedPacker.compress(&packed, encoded)
	return packed.Bytes(), nil
}

// UnmarshalPacked decodes what MarshalPacked gave, of at most so many bytes.
func UnmarshalCompressed(packed []byte, maxSize int, message any) error {
	encoded, err := unpack(packed, maxSize)
	if err != nil {
		return err
	}
	return Unmarshal(encoded, message)
}

// unpack gives the content of a compressed frame, of at most so many bytes.
func unpack(packed []byte, maxSize int) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = reader.Close() }()
	content, err := io.ReadAll(io.LimitReader(reader, int64(maxSize)+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	if len(content) > maxSize {
		return nil, fmt.Errorf("%w: more than %d bytes when unpacked", ErrFrameTooLarge, maxSize)
	}
	return content, nil
}

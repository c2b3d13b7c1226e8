package wire

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
)

const (
	// minCompressedBytes is the min size of a frame that is compressed.
	minCompressedBytes = 1 << 10
	// compressedTag precedes the byte string of a compressed frame: CBOR tag 6,
	// which is unassigned.
	compressedTag = 0xc6
	// maxCompressedRatio is the maximum ratio of compressed to original size; above it,
	// a frame is sent uncompressed.
	maxCompressedRatio = 0.9
	// unknownSize is the size of content that is not known before it is read.
	unknownSize = -1
)

// compressor compresses frames. It is safe for concurrent use.
type compressor struct {
	writers sync.Pool
}

func newCompressor() *compressor {
	return &compressor{writers: sync.Pool{New: func() any {
		writer, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			panic(err) // the level is a constant
		}
		return writer
	}}}
}

// compress appends the compressed content to a buffer.
func (c *compressor) compress(into *bytes.Buffer, content []byte) {
	writer := c.writers.Get().(*flate.Writer)
	defer c.writers.Put(writer)
	writer.Reset(into)
	// Writes to a buffer do not fail.
	_, _ = writer.Write(content)
	_ = writer.Close()
}

// compressFrame returns an item of the sequence compressed, or unchanged if that saves
// too little.
func (c *compressor) compressFrame(item []byte) []byte {
	if len(item) < minCompressedBytes || looksCompressed(item) {
		return item
	}
	var compressed bytes.Buffer
	compressed.Write(make([]byte, 1+frameHeaderSize))
	c.compress(&compressed, item[frameHeaderSize:])
	if float64(compressed.Len()) > maxCompressedRatio*float64(len(item)) {
		return item
	}
	result := compressed.Bytes()
	result[0], result[1] = compressedTag, byteStringHead
	binary.BigEndian.PutUint32(result[2:], uint32(len(result)-1-frameHeaderSize))
	return result
}

const (
	// sampleBytes is how much of a frame is sampled to detect compressed content, whose
	// byte values are nearly uniform: none occurs more than maxSampleRepeats times. The most
	// frequent of 256 uniform bytes occurs 5 times on average, that of text and numbers 15
	// times or more.
	sampleBytes      = 256
	maxSampleRepeats = 8
)

// looksCompressed reports whether a frame's content is compressed already, such as a
// state that is compressed once for many receivers.
func looksCompressed(item []byte) bool {
	if len(item) < 2*sampleBytes {
		return false
	}
	var counts [256]int
	for _, b := range item[len(item)/2:][:sampleBytes] {
		if counts[b]++; counts[b] > maxSampleRepeats {
			return false
		}
	}
	return true
}

// sharedCompressor compresses messages that are encoded once for many receivers.
var sharedCompressor = newCompressor()

// MarshalCompressed encodes and compresses a message that is sent to many receivers as a
// part of other messages.
func MarshalCompressed(message any) ([]byte, error) {
	encoded, err := Marshal(message)
	if err != nil {
		return nil, err
	}
	var compressed bytes.Buffer
	sharedCompressor.compress(&compressed, encoded)
	return compressed.Bytes(), nil
}

// UnmarshalCompressed decodes the result of MarshalCompressed, of at most maxSize encoded bytes.
func UnmarshalCompressed(compressed []byte, maxSize int, message any) error {
	encoded, err := decompress(compressed, maxSize)
	if err != nil {
		return err
	}
	return Unmarshal(encoded, message)
}

// decompress returns the content of a compressed frame, of at most maxSize bytes.
func decompress(compressed []byte, maxSize int) ([]byte, error) {
	content, _, err := decompressWithin(compressed, maxSize, nil)
	return content, err
}

// decompressWithin returns the content of a compressed frame, of at most maxSize bytes. It reserves
// memory as the content grows; complete is false if there is none.
func decompressWithin(compressed []byte, maxSize int, memory *membudget.Reservation) (content []byte, complete bool, err error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	defer func() { _ = reader.Close() }()
	content, _, complete, err = membudget.Read(io.LimitReader(reader, int64(maxSize)+1), unknownSize, memory)
	switch {
	case err != nil:
		return nil, complete, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	case len(content) > maxSize:
		return nil, complete, fmt.Errorf("%w: more than %d bytes when unpacked", ErrFrameTooLarge, maxSize)
	}
	return content, complete, nil
}

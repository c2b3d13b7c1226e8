package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Kind is the purpose of a frame.
type Kind uint8

// The kinds of frames. Hello and Welcome open a connection; the others follow.
const (
	KindHello Kind = iota + 1
	KindWelcome
	KindCall
	KindData
	KindEnd
	KindError
	KindCancel
	KindWindow
	KindPing
	KindPong
	KindOneWay
)

// lastKind is the highest kind a decoder accepts.
const lastKind = KindOneWay

// Frame is the unit of the protocol. It is encoded as a CBOR array, so the order
// of its fields is part of the protocol.
type Frame struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is the connection's epoch, assigned in the Welcome frame.
	Epoch uint64
	// Stream is the id of a call within its connection; ids increase.
	Stream uint64
	Kind   Kind
	// Sequence numbers the data frames of a stream from 0; in an End frame it
	// is the count of data frames before it.
	Sequence uint32
	// Credit is, in a Window frame, how many more bytes the peer may send.
	Credit uint32
	// DeadlineMillis is the time until the caller's deadline, in milliseconds;
	// 0 means no deadline.
	DeadlineMillis uint32
	// Method names the operation of a Call or OneWay frame.
	Method string
	// Body is an encoded message.
	Body []byte
}

// Errors of the frame reader.
var (
	// ErrFrameTooLarge reports a frame above the size limit.
	ErrFrameTooLarge = errors.New("frame is larger than allowed")
	// ErrMalformedFrame reports bytes that are not a frame.
	ErrMalformedFrame = errors.New("malformed frame")
)

const (
	// frameHeaderSize is the size of the byte string's header: its major type
	// and a four-byte length.
	frameHeaderSize = 5
	// byteStringHead is CBOR major type 2 with a four-byte length following.
	byteStringHead = 0x5a
	// maxMethodLength limits the length of a method name, in bytes.
	maxMethodLength = 128
)

// encodeFrame returns the frame as one item of the CBOR sequence.
func encodeFrame(frame *Frame, maxSize int) ([]byte, error) {
	content, err := Marshal(frame)
	if err != nil {
		return nil, err
	}
	if len(content) > maxSize {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrFrameTooLarge, len(content), maxSize)
	}
	item := make([]byte, frameHeaderSize, frameHeaderSize+len(content))
	item[0] = byteStringHead
	binary.BigEndian.PutUint32(item[1:], uint32(len(content)))
	return append(item, content...), nil
}

// decodeFrame decodes the content of one item of the sequence.
func decodeFrame(content []byte) (*Frame, error) {
	frame := &Frame{}
	if err := Unmarshal(content, frame); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	if frame.Kind == 0 || frame.Kind > lastKind {
		return nil, fmt.Errorf("%w: kind %d", ErrMalformedFrame, frame.Kind)
	}
	if len(frame.Method) > maxMethodLength {
		return nil, fmt.Errorf("%w: method of %d bytes", ErrMalformedFrame, len(frame.Method))
	}
	return frame, nil
}

// readFrame reads one item of the sequence. It checks the size before it allocates
// memory for the content.
func readFrame(reader io.Reader, maxSize int) (*Frame, int, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, 0, err
	}
	read := frameHeaderSize
	compressed := header[0] == compressedTag
	if compressed {
		copy(header[:], header[1:])
		if _, err := io.ReadFull(reader, header[frameHeaderSize-1:]); err != nil {
			return nil, 0, err
		}
		read++
	}
	if header[0] != byteStringHead {
		return nil, 0, fmt.Errorf("%w: head byte 0x%02x", ErrMalformedFrame, header[0])
	}
	size := binary.BigEndian.Uint32(header[1:])
	if uint64(size) > uint64(maxSize) {
		return nil, 0, fmt.Errorf("%w: %d bytes, at most %d", ErrFrameTooLarge, size, maxSize)
	}
	content := make([]byte, size)
	if _, err := io.ReadFull(reader, content); err != nil {
		return nil, 0, err
	}
	read += int(size)
	if compressed {
		var err error
		if content, err = decompress(content, maxSize); err != nil {
			return nil, read, err
		}
	}
	frame, err := decodeFrame(content)
	return frame, read, err
}

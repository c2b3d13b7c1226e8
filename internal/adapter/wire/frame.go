package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
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

	// memory is reserved for a large frame that a server receives; nil for others.
	memory *membudget.Reservation
}

// Errors of the frame reader.
var (
	// ErrFrameTooLarge reports a frame above the size limit.
	ErrFrameTooLarge = errors.New("frame is larger than allowed")
	// ErrMalformedFrame reports bytes that are not a frame.
	ErrMalformedFrame = errors.New("malformed frame")
	// ErrNoMemory reports a frame for which no memory is free.
	ErrNoMemory = errors.New("no memory is free for the frame")
)

const (
	// frameHeaderSize is the size of the byte string's header: its major type
	// and a four-byte length.
	frameHeaderSize = 5
	// byteStringHead is CBOR major type 2 with a four-byte length following.
	byteStringHead = 0x5a
	// largeFrameBytes is the size beyond which memory is reserved for a frame.
	largeFrameBytes = 64 << 10
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
	return readFrameWithin(reader, maxSize, nil)
}

// readFrameWithin reads one item of the sequence. For a large one it reserves memory as its content
// arrives, and for what is decoded from it. The frame holds the reservation until its release.
func readFrameWithin(reader io.Reader, maxSize int, budget *membudget.Budget) (*Frame, int, error) {
	size, read, compressed, err := readItemHead(reader, maxSize)
	if err != nil {
		return nil, 0, err
	}
	memory := budget.NewReservation()
	content, complete, err := readContent(reader, size, memory)
	if err == nil && complete && compressed {
		content, complete, err = decompressWithin(content, maxSize, memory)
	}
	var frame *Frame
	if err == nil && complete {
		frame, complete, err = decodeWithin(content, memory)
	}
	if err == nil && !complete {
		err = ErrNoMemory
	}
	if err != nil {
		memory.Close()
		return nil, read + size, err
	}
	frame.memory = memory
	return frame, read + size, nil
}

// readItemHead reads the head of an item and returns the size of its content and of the head itself.
func readItemHead(reader io.Reader, maxSize int) (size, read int, compressed bool, err error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return 0, 0, false, err
	}
	read = frameHeaderSize
	if compressed = header[0] == compressedTag; compressed {
		copy(header[:], header[1:])
		if _, err := io.ReadFull(reader, header[frameHeaderSize-1:]); err != nil {
			return 0, 0, false, err
		}
		read++
	}
	if header[0] != byteStringHead {
		return 0, 0, false, fmt.Errorf("%w: head byte 0x%02x", ErrMalformedFrame, header[0])
	}
	announced := binary.BigEndian.Uint32(header[1:])
	if uint64(announced) > uint64(maxSize) {
		return 0, 0, false, fmt.Errorf("%w: %d bytes, at most %d", ErrFrameTooLarge, announced, maxSize)
	}
	return int(announced), read, compressed, nil
}

// readContent reads the content of an item; complete is false if there is no memory for it.
func readContent(reader io.Reader, size int, memory *membudget.Reservation) (content []byte, complete bool, err error) {
	if size > largeFrameBytes {
		content, _, complete, err = membudget.Read(reader, int64(size), memory)
		return content, complete, err
	}
	content = make([]byte, size)
	_, err = io.ReadFull(reader, content)
	return content, true, err
}

// decodeWithin decodes a frame. For a large one it reserves the memory for the frame's body, in place of
// the content, and for what is decoded from the body; complete is false if there is none.
func decodeWithin(content []byte, memory *membudget.Reservation) (frame *Frame, complete bool, err error) {
	if len(content) <= largeFrameBytes {
		frame, err = decodeFrame(content)
		return frame, true, err
	}
	if !memory.Reserve(int64(len(content))) {
		return nil, false, nil
	}
	if frame, err = decodeFrame(content); err != nil {
		return nil, true, err
	}
	memory.Release(int64(len(content)))
	return frame, memory.Reserve(decodedCost(frame.Body)), nil
}

// release releases the memory that is reserved for the frame, once nothing refers to its body.
func (f *Frame) release() { f.memory.Close() }

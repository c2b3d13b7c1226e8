package membudget

import (
	"bytes"
	"io"
)

const (
	// readChunkBytes is the step in which the reservation for a body of unknown length grows.
	readChunkBytes = 32 << 10
	// maxPreallocBytes limits what is allocated before any of the body is read.
	maxPreallocBytes = 1 << 20
)

// Read reads a complete body within the reservation. size is the body's length, negative if
// unknown. If the reservation fails, complete is false, and rest reads the body from its
// start.
func Read(body io.Reader, size int64, reservation *Reservation) (read []byte, rest io.Reader, complete bool, err error) {
	if size >= 0 {
		if !reservation.Reserve(size) {
			return nil, body, false, nil
		}
		read, err = readSized(body, size)
		return read, nil, true, err
	}
	var buffer bytes.Buffer
	for {
		if !reservation.Reserve(readChunkBytes) {
			return nil, io.MultiReader(&buffer, body), false, nil
		}
		count, err := io.CopyN(&buffer, body, readChunkBytes)
		switch {
		case err == io.EOF:
			return buffer.Bytes(), nil, true, nil
		case err != nil:
			return buffer.Bytes(), nil, true, err
		case count < readChunkBytes:
			return buffer.Bytes(), nil, true, nil
		}
	}
}

// readSized reads a body of known length.
func readSized(body io.Reader, size int64) ([]byte, error) {
	if size <= maxPreallocBytes {
		read := make([]byte, size)
		count, err := io.ReadFull(body, read)
		return read[:count], err
	}
	var buffer bytes.Buffer
	if _, err := io.CopyN(&buffer, body, size); err == io.EOF {
		return buffer.Bytes(), io.ErrUnexpectedEOF
	} else if err != nil {
		return buffer.Bytes(), err
	}
	return buffer.Bytes(), nil
}

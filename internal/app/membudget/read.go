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

// Read reads a complete body within the reservation. Size is the body's length, negative if
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
	var grown bytes.Buffer
	for {
		if !reservation.Reserve(readChunkBytes) {
			return nil, io.MultiReader(&grown, body), false, nil
		}
		count, err := io.CopyN(&grown, body, readChunkBytes)
		switch {
		case err == io.EOF:
			return grown.Bytes(), nil, true, nil
		case err != nil:
			return grown.Bytes(), nil, true, err
		case count < readChunkBytes:
			return grown.Bytes(), nil, true, nil
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
	var grown bytes.Buffer
	if _, err := io.CopyN(&grown, body, size); err == io.EOF {
		return grown.Bytes(), io.ErrUnexpectedEOF
	} else if err != nil {
		return grown.Bytes(), err
	}
	return grown.Bytes(), nil
}

package held

import (
	"bytes"
	"io"
)

const (
	// step is by how much the room for a body of unknown length grows.
	step = 32 << 10
	// trusted is the most memory that is made ready because somebody says how long a body is.
	trusted = 1 << 20
)

// Read reads a body whole, as far as there is room for it. Size is its length, below 0 if
// that is not known. Whole is false if there was no room: rest is then all of the body, what
// was read of it first.
func Read(body io.Reader, size int64, holding *Holding) (read []byte, rest io.Reader, whole bool, err error) {
	if size >= 0 {
		if !holding.Take(size) {
			return nil, body, false, nil
		}
		read, err = readSized(body, size)
		return read, nil, true, err
	}
	var grown bytes.Buffer
	for {
		if !holding.Take(step) {
			return nil, io.MultiReader(&grown, body), false, nil
		}
		count, err := io.CopyN(&grown, body, step)
		switch {
		case err == io.EOF:
			return grown.Bytes(), nil, true, nil
		case err != nil:
			return grown.Bytes(), nil, true, err
		case count < step:
			return grown.Bytes(), nil, true, nil
		}
	}
}

// readSized reads a body of a known length.
func readSized(body io.Reader, size int64) ([]byte, error) {
	if size <= trusted {
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

package membudget

import (
	"bytes"
	"io"
)

const (
	// probeBytes of a body are read before anything is reserved for it.
	probeBytes = 512
	// segmentBytes is the step in which the reservation for a body of unknown length grows.
	segmentBytes = 32 << 10
	// firstStageBytes and largeStageBytes are the sizes up to which memory for a body of known length
	// is allocated before that many bytes have arrived: an announced length costs its sender nothing.
	firstStageBytes = 128 << 10
	largeStageBytes = 4 << 20
)

// Read reads a complete body within the reservation. size is the body's length, negative if
// unknown. If the reservation fails, complete is false, and rest reads the body from its
// start.
func Read(body io.Reader, size int64, reservation *Reservation) (read []byte, rest io.Reader, complete bool, err error) {
	if size < 0 {
		return readSegments(body, reservation)
	}
	probe := make([]byte, min(size, probeBytes))
	count, err := io.ReadFull(body, probe)
	if read = probe[:count]; err != nil || int64(count) == size {
		return read, nil, true, err
	}
	for _, stage := range []int64{min(size, firstStageBytes), min(size, largeStageBytes), size} {
		if stage == int64(len(read)) {
			continue
		}
		if !reservation.Reserve(stage) {
			return nil, io.MultiReader(bytes.NewReader(read), body), false, nil
		}
		grown := make([]byte, stage)
		copied := copy(grown, read)
		if copied > probeBytes {
			reservation.Release(int64(copied))
		}
		count, err := io.ReadFull(body, grown[copied:])
		if read = grown[:copied+count]; err != nil {
			return read, nil, true, unexpected(err)
		}
	}
	return read, nil, true, nil
}

// unexpected turns the end of a body in a later stage into one that comes too early.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readSegments reads a body of unknown length.
func readSegments(body io.Reader, reservation *Reservation) (read []byte, rest io.Reader, complete bool, err error) {
	var segments [][]byte
	for {
		if !reservation.Reserve(segmentBytes) {
			return nil, io.MultiReader(bytes.NewReader(bytes.Join(segments, nil)), body), false, nil
		}
		segment := make([]byte, segmentBytes)
		count, err := fill(body, segment)
		segments = append(segments, segment[:count])
		if err == io.EOF {
			return bytes.Join(segments, nil), nil, true, nil
		}
		if err != nil {
			return bytes.Join(segments, nil), nil, true, err
		}
	}
}

// fill reads until buf is full or a read fails. Unlike io.ReadFull it keeps the error of the read, which
// tells the end of a body from one that comes too early.
func fill(body io.Reader, buf []byte) (read int, err error) {
	for read < len(buf) && err == nil {
		var count int
		count, err = body.Read(buf[read:])
		read += count
	}
	if read == len(buf) && err == io.EOF {
		err = nil // the next read returns it again
	}
	return read, err
}

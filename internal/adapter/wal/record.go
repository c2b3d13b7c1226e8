package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// A record is a header, a payload, and zeros up to a multiple of
// recordAlignment. The header is, in little-endian order: CRC32C (4 bytes),
// payload length (4), synced offset (4), kind (1), magic (3).
const (
	recordHeaderBytes = 16
	recordAlignment   = 8
	maxPayloadBytes   = consensus.MaxEntryBytes + 4096
	entryHeaderBytes  = 17
	hardStateBytes    = 24
	markerBytes       = 21
)

// recordMagic lets the search for records in damaged data skip most offsets.
var recordMagic = [3]byte{'L', 'G', 'W'}

type recordKind uint8

const (
	recordIdentity recordKind = iota + 1
	recordHardState
	recordEntry
	recordSnapshot
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

var (
	errBadRecord  = errors.New("wrong checksum or length")
	errBadPayload = errors.New("payload does not match the record kind")
)

// record is one decoded record.
type record struct {
	kind     recordKind
	syncedTo int64
	payload  []byte
	// size is the record's length in the file.
	size int64
}

// recordChecksum covers the position of a record, so that a copy of its bytes at
// another position, such as in the data of an entry, is invalid.
func recordChecksum(sequence uint64, offset int64, body []byte) uint32 {
	var position [16]byte
	binary.LittleEndian.PutUint64(position[:8], sequence)
	binary.LittleEndian.PutUint64(position[8:], uint64(offset))
	return crc32.Update(crc32.Checksum(position[:], checksumTable), checksumTable, body)
}

func alignedSize(payloadBytes int) int64 {
	size := int64(recordHeaderBytes + payloadBytes)
	return (size + recordAlignment - 1) / recordAlignment * recordAlignment
}

// recordWriter appends records to a buffer that will be written at base.
type recordWriter struct {
	sequence uint64
	base     int64
	syncedTo int64
	buffer   []byte
}

// begin starts a record and returns its offset in the buffer.
func (w *recordWriter) begin() int {
	start := len(w.buffer)
	var header [recordHeaderBytes]byte
	w.buffer = append(w.buffer, header[:]...)
	return start
}

// finish fills in the header of the record that begin started.
func (w *recordWriter) finish(start int, kind recordKind) {
	payloadBytes := len(w.buffer) - start - recordHeaderBytes
	header := w.buffer[start : start+recordHeaderBytes]
	binary.LittleEndian.PutUint32(header[4:], uint32(payloadBytes))
	binary.LittleEndian.PutUint32(header[8:], uint32(w.syncedTo))
	header[12] = byte(kind)
	copy(header[13:], recordMagic[:])
	sum := recordChecksum(w.sequence, w.base+int64(start), w.buffer[start+4:])
	binary.LittleEndian.PutUint32(header, sum)
	for int64(len(w.buffer)-start) < alignedSize(payloadBytes) {
		w.buffer = append(w.buffer, 0)
	}
}

func (w *recordWriter) hardState(state consensus.HardState) {
	start := w.begin()
	w.buffer = binary.LittleEndian.AppendUint64(w.buffer, state.Term)
	w.buffer = binary.LittleEndian.AppendUint64(w.buffer, uint64(state.VotedFor))
	w.buffer = binary.LittleEndian.AppendUint64(w.buffer, state.Commit)
	w.finish(start, recordHardState)
}

func (w *recordWriter) entry(entry consensus.Entry) {
	start := w.begin()
	w.buffer = binary.LittleEndian.AppendUint64(w.buffer, entry.Index)
	w.buffer = binary.LittleEndian.AppendUint64(w.buffer, entry.Term)
	w.buffer = append(w.buffer, byte(entry.Kind))
	w.buffer = append(w.buffer, entry.Data...)
	w.finish(start, recordEntry)
}

func (w *recordWriter) marker(marker snapshotMarker) {
	start := w.begin()
	w.buffer = binary.LittleEndian.AppendUint64(w.buffer, marker.index)
	w.buffer = binary.LittleEndian.AppendUint64(w.buffer, marker.term)
	w.buffer = binary.LittleEndian.AppendUint32(w.buffer, marker.checksum)
	replaces := byte(0)
	if marker.replacesLog {
		replaces = 1
	}
	w.buffer = append(w.buffer, replaces)
	w.finish(start, recordSnapshot)
}

func (w *recordWriter) identity(header segmentHeader) {
	start := w.begin()
	w.buffer = append(w.buffer, formatVersion)
	w.buffer = binary.LittleEndian.AppendUint64(w.buffer, uint64(header.identity.Member))
	w.buffer = binary.LittleEndian.AppendUint64(w.buffer, uint64(header.previousBytes))
	w.buffer = append(w.buffer, header.identity.Cluster...)
	w.finish(start, recordIdentity)
}

// readRecord decodes the record at offset of a segment's data.
func readRecord(sequence uint64, data []byte, offset int64) (record, error) {
	rest := data[offset:]
	if len(rest) < recordHeaderBytes {
		return record{}, errBadRecord
	}
	length := binary.LittleEndian.Uint32(rest[4:])
	if [3]byte(rest[13:16]) != recordMagic || length > maxPayloadBytes || int64(len(rest)) < alignedSize(int(length)) {
		return record{}, errBadRecord
	}
	end, size := recordHeaderBytes+int(length), alignedSize(int(length))
	if !isZero(rest[end:size]) {
		return record{}, errBadRecord
	}
	if recordChecksum(sequence, offset, rest[4:end]) != binary.LittleEndian.Uint32(rest) {
		return record{}, errBadRecord
	}
	return record{
		kind:     recordKind(rest[12]),
		syncedTo: int64(binary.LittleEndian.Uint32(rest[8:])),
		payload:  rest[recordHeaderBytes:end],
		size:     size,
	}, nil
}

func isZero(padding []byte) bool {
	for _, b := range padding {
		if b != 0 {
			return false
		}
	}
	return true
}

// syncedPast reports whether a valid record after offset was written after a sync
// that covered offset.
func syncedPast(sequence uint64, data []byte, offset int64) bool {
	for at := offset + recordAlignment; at+recordHeaderBytes <= int64(len(data)); at += recordAlignment {
		found, err := readRecord(sequence, data, at)
		if err == nil && found.syncedTo > offset {
			return true
		}
	}
	return false
}

func decodeHardState(payload []byte) (consensus.HardState, error) {
	if len(payload) != hardStateBytes {
		return consensus.HardState{}, errBadPayload
	}
	return consensus.HardState{
		Term:     binary.LittleEndian.Uint64(payload),
		VotedFor: consensus.MemberID(binary.LittleEndian.Uint64(payload[8:])),
		Commit:   binary.LittleEndian.Uint64(payload[16:]),
	}, nil
}

func decodeEntry(payload []byte) (consensus.Entry, error) {
	if len(payload) < entryHeaderBytes {
		return consensus.Entry{}, errBadPayload
	}
	entry := consensus.Entry{
		Index: binary.LittleEndian.Uint64(payload),
		Term:  binary.LittleEndian.Uint64(payload[8:]),
		Kind:  consensus.EntryKind(payload[16]),
	}
	if len(payload) > entryHeaderBytes {
		entry.Data = append([]byte(nil), payload[entryHeaderBytes:]...)
	}
	return entry, nil
}

func decodeMarker(payload []byte) (snapshotMarker, error) {
	if len(payload) != markerBytes {
		return snapshotMarker{}, errBadPayload
	}
	return snapshotMarker{
		index:       binary.LittleEndian.Uint64(payload),
		term:        binary.LittleEndian.Uint64(payload[8:]),
		checksum:    binary.LittleEndian.Uint32(payload[16:]),
		replacesLog: payload[20] == 1,
	}, nil
}

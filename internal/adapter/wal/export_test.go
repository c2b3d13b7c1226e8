package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// SealRecord returns a record of any kind and payload with a valid checksum.
func SealRecord(sequence uint64, offset int64, kind byte, payload []byte) []byte {
	writer := recordWriter{sequence: sequence, base: offset, syncedTo: offset}
	start := writer.begin()
	writer.buffer = append(writer.buffer, payload...)
	writer.finish(start, recordKind(kind))
	return writer.buffer
}

// SealSnapshot returns a snapshot file with any body and a valid checksum.
func SealSnapshot(body []byte) []byte {
	file := append([]byte(nil), snapshotMagic...)
	file = binary.LittleEndian.AppendUint32(file, crc32.Checksum(body, checksumTable))
	file = binary.LittleEndian.AppendUint64(file, uint64(len(body)))
	return append(file, body...)
}

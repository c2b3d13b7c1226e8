package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// SealRecord gives a record with any kind and payload and a right checksum.
func SealRecord(sequence uint64, offset int64, kind byte, payload []byte) []byte {
	writer := recordWriter{sequence: sequence, base: offset, syncedTo: offset}
	start := writer.begin()
	writer.buffer = append(writer.buffer, payload...)
	writer.finish(start, recordKind(kind))
	return writer.buffer
}

// SealSnapshot gives a snapshot file with any body and a right checksum.
func SealSnapshot(body []byte) []byte {
	file := append([]byte(nil), snapshotMagic...)
	file = binary.LittleEndian.AppendUint32(file, crc32.Checksum(body, checksumTable))
	file = binary.LittleEndian.AppendUint64(file, uint64(len(body)))
	return append(file, body...)
}

package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// A snapshot file is a magic number, the CRC32C of the body, the body's
// length, and the snapshot in CBOR.
const (
	snapshotPattern     = "snapshot-%016x-%016x.snap"
	snapshotMagic       = "LGSNAP01"
	snapshotHeaderBytes = len(snapshotMagic) + 4 + 8
	// snapshotOverheadBytes estimates the encoded size of a snapshot without its data.
	snapshotOverheadBytes = 4 << 10
)

// snapshotMarker is the record that makes a snapshot the current one.
type snapshotMarker struct {
	index    uint64
	term     uint64
	checksum uint32
	// replacesLog is set for a leader's snapshot, which replaces all entries.
	replacesLog bool
}

func (m snapshotMarker) fileName() string {
	return fmt.Sprintf(snapshotPattern, m.index, m.term)
}

func isSnapshotName(name string) bool {
	var index, term uint64
	count, err := fmt.Sscanf(name, snapshotPattern, &index, &term)
	return err == nil && count == 2 && name == fmt.Sprintf(snapshotPattern, index, term)
}

// EncodeSnapshot returns the contents of a snapshot file. The body is encoded in place
// behind the header, to avoid a second copy of a large snapshot.
func EncodeSnapshot(snapshot consensus.Snapshot) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Grow(snapshotHeaderBytes + len(snapshot.Data) + snapshotOverheadBytes)
	buffer.Write(make([]byte, snapshotHeaderBytes))
	if err := snapshotEncoding.MarshalToBuffer(snapshot, &buffer); err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	file := buffer.Bytes()
	body := file[snapshotHeaderBytes:]
	header := append(file[:0], snapshotMagic...)
	header = binary.LittleEndian.AppendUint32(header, crc32.Checksum(body, checksumTable))
	binary.LittleEndian.AppendUint64(header, uint64(len(body)))
	return file, nil
}

// DecodeSnapshot decodes the contents of a snapshot file. It fails with a
// CorruptError.
func DecodeSnapshot(name string, file []byte) (consensus.Snapshot, error) {
	if len(file) < snapshotHeaderBytes || string(file[:len(snapshotMagic)]) != snapshotMagic {
		return consensus.Snapshot{}, &CorruptError{File: name, Reason: "not a snapshot file"}
	}
	body := file[snapshotHeaderBytes:]
	if binary.LittleEndian.Uint64(file[len(snapshotMagic)+4:]) != uint64(len(body)) {
		return consensus.Snapshot{}, &CorruptError{File: name, Reason: "wrong length"}
	}
	if snapshotChecksum(file) != crc32.Checksum(body, checksumTable) {
		return consensus.Snapshot{}, &CorruptError{File: name, Reason: "wrong checksum"}
	}
	var snapshot consensus.Snapshot
	if err := snapshotDecoding.Unmarshal(body, &snapshot); err != nil {
		return consensus.Snapshot{}, &CorruptError{File: name, Offset: int64(snapshotHeaderBytes), Reason: err.Error()}
	}
	return snapshot, nil
}

var snapshotEncoding = func() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// snapshotDecoding rejects nesting deeper than a snapshot needs.
var snapshotDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// snapshotChecksum returns the checksum in a snapshot file's header.
func snapshotChecksum(file []byte) uint32 {
	return binary.LittleEndian.Uint32(file[len(snapshotMagic):])
}

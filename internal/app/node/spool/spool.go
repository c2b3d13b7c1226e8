package spool

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	currentName  = "decisions.current"
	previousName = "decisions.previous"

	headerBytes    = 8 // length and CRC-32C of a record
	maxRecordBytes = 1 << 20
	queueLength    = 8192
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Options are the settings of a spool.
type Options struct {
	// Folder is created if it does not exist.
	Folder string
	// MaxBytes limits the size of both files together.
	MaxBytes int64
	// SyncEvery is the interval of writes and syncs.
	SyncEvery time.Duration
}

// Spool appends decisions to disk. It is safe for concurrent use.
type Spool struct {
	options Options
	queue   chan port.Decision
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
	dropped atomic.Uint64
	failed  atomic.Uint64

	file *os.File
	size int64
}

// Open returns a spool and the stored decisions, oldest first, and starts the writer.
func Open(options Options) (*Spool, []port.Decision, error) {
	if err := os.MkdirAll(options.Folder, 0o750); err != nil {
		return nil, nil, eris.Wrap(err, "decision spool")
	}
	previous, _, err := read(filepath.Join(options.Folder, previousName))
	if err != nil {
		return nil, nil, err
	}
	current, size, err := read(filepath.Join(options.Folder, currentName))
	if err != nil {
		return nil, nil, err
	}
	spool := &Spool{
		options: options,
		queue:   make(chan port.Decision, queueLength),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	if err := spool.open(size); err != nil {
		return nil, nil, err
	}
	go spool.run()
	return spool, append(previous, current...), nil
}

// Append queues a decision. If the queue is full, the decision is dropped and counted.
func (s *Spool) Append(decision port.Decision) {
	select {
	case s.queue <- decision:
	default:
		s.dropped.Add(1)
	}
}

// Lost returns the number of decisions that were dropped or could not be written.
func (s *Spool) Lost() uint64 { return s.dropped.Load() + s.failed.Load() }

// Close writes and syncs the queued decisions and closes the file.
func (s *Spool) Close() {
	s.once.Do(func() { close(s.stop) })
	<-s.stopped
}

// open opens the current file and truncates it to its complete records.
func (s *Spool) open(size int64) error {
	file, err := os.OpenFile(filepath.Join(s.options.Folder, currentName), os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return eris.Wrap(err, "decision spool")
	}
	if err := file.Truncate(size); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "decision spool")
	}
	if _, err := file.Seek(size, io.SeekStart); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "decision spool")
	}
	s.file, s.size = file, size
	return nil
}

func (s *Spool) run() {
	defer close(s.stopped)
	ticker := time.NewTicker(s.options.SyncEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.flush()
		case <-s.stop:
			s.flush()
			_ = s.file.Close()
			return
		}
	}
}

func (s *Spool) flush() {
	var buffer []byte
	records := uint64(0)
	for {
		select {
		case decision := <-s.queue:
			buffer = appendRecord(buffer, decision)
			records++
			continue
		default:
		}
		break
	}
	if records == 0 {
		return
	}
	if err := s.write(buffer); err != nil {
		s.failed.Add(records)
	}
}

func (s *Spool) write(buffer []byte) error {
	if s.size+int64(len(buffer)) > s.options.MaxBytes/2 && s.size > 0 {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	written, err := s.file.Write(buffer)
	s.size += int64(written)
	if err != nil {
		return eris.Wrap(err, "decision spool")
	}
	return s.file.Sync()
}

func (s *Spool) rotate() error {
	current := filepath.Join(s.options.Folder, currentName)
	if err := os.Rename(current, filepath.Join(s.options.Folder, previousName)); err != nil {
		return eris.Wrap(err, "decision spool")
	}
	_ = s.file.Close()
	return s.open(0)
}

func appendRecord(buffer []byte, decision port.Decision) []byte {
	body, err := cbor.Marshal(decision)
	if err != nil || len(body) > maxRecordBytes {
		return buffer
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(body)))
	buffer = binary.BigEndian.AppendUint32(buffer, crc32.Checksum(body, castagnoli))
	return append(buffer, body...)
}

// read returns the complete records of a file and their total length. It stops at the
// first incomplete or corrupt record.
func read(path string) ([]port.Decision, int64, error) {
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, eris.Wrap(err, "decision spool")
	}
	defer func() { _ = file.Close() }()
	reader := bufio.NewReader(file)
	var decisions []port.Decision
	var size int64
	for {
		decision, length, complete := readRecord(reader)
		if !complete {
			return decisions, size, nil
		}
		decisions = append(decisions, decision)
		size += length
	}
}

func readRecord(reader io.Reader) (decision port.Decision, length int64, complete bool) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return decision, 0, false
	}
	bytes := binary.BigEndian.Uint32(header[:4])
	if bytes > maxRecordBytes {
		return decision, 0, false
	}
	body := make([]byte, bytes)
	if _, err := io.ReadFull(reader, body); err != nil {
		return decision, 0, false
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(header[4:]) {
		return decision, 0, false
	}
	if err := cbor.Unmarshal(body, &decision); err != nil {
		return decision, 0, false
	}
	return decision, headerBytes + int64(bytes), true
}

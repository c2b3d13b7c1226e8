package wire

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
)

func TestLargeFramesAreCompressed(t *testing.T) {
	random := rand.NewChaCha8([32]byte{1})
	noise := make([]byte, 8<<10)
	_, _ = random.Read(noise)
	text := []byte(strings.Repeat("a sea-state bulletin, and another one; ", 400))
	for name, row := range map[string]struct {
		body       []byte
		compressed bool
	}{
		"text":  {text, true},
		"noise": {noise, false},
		"small": {text[:200], false},
		"empty": {nil, false},
	} {
		item, err := encodeFrame(&Frame{Epoch: 7, Kind: KindData, Body: row.body}, DefaultMaxFrameSize)
		if err != nil {
			t.Fatal(err)
		}
		sent := newCompressor().compressFrame(item)
		if compressed := len(sent) < len(item); compressed != row.compressed {
			t.Errorf("%s: %d of %d bytes", name, len(sent), len(item))
		}
		frame, size, err := readFrame(bytes.NewReader(append(sent, "the next one"...)), DefaultMaxFrameSize)
		if err != nil || size != len(sent) || frame.Epoch != 7 || !bytes.Equal(frame.Body, row.body) {
			t.Errorf("%s: %d bytes read of %d, %v", name, size, len(sent), err)
		}
	}
}

func TestCompressedFrameLimits(t *testing.T) {
	const limit = 4 << 10
	item, err := encodeFrame(&Frame{Kind: KindData, Body: make([]byte, 1<<20)}, DefaultMaxFrameSize)
	if err != nil {
		t.Fatal(err)
	}
	compressed := newCompressor().compressFrame(item)
	if len(compressed) > limit {
		t.Fatalf("%d bytes", len(compressed))
	}
	if _, _, err := readFrame(bytes.NewReader(compressed), limit); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("frame above the size limit after decompression: %v", err)
	}
	broken := bytes.Clone(compressed)
	broken[len(broken)-1] ^= 0xff
	broken[len(broken)/2] ^= 0xff
	if _, _, err := readFrame(bytes.NewReader(broken), DefaultMaxFrameSize); err == nil {
		t.Error("damaged frame accepted")
	}
	for length := range compressed {
		if _, _, err := readFrame(bytes.NewReader(compressed[:length]), DefaultMaxFrameSize); err == nil {
			t.Fatalf("frame truncated at %d of %d bytes accepted", length, len(compressed))
		}
	}
}

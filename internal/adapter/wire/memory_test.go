package wire

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/port"
)

// frameOf returns an item of a frame with a body.
func frameOf(t *testing.T, body []byte) []byte {
	t.Helper()
	item, err := encodeFrame(&Frame{Epoch: 1, Stream: 1, Kind: KindCall, Method: "m", Body: body}, DefaultMaxFrameSize)
	if err != nil {
		t.Fatal(err)
	}
	return item
}

func TestFramesAreReceivedWithinBudget(t *testing.T) {
	large, err := Marshal(make([]byte, 1<<20))
	if err != nil {
		t.Fatal(err)
	}
	names, err := Marshal(make([]string, 200_000))
	if err != nil {
		t.Fatal(err)
	}
	for name, row := range map[string]struct {
		item  []byte
		limit int64
		fits  bool
	}{
		"small frame":                     {frameOf(t, make([]byte, 1000)), 1, true},
		"large frame":                     {frameOf(t, large), 3 << 20, true},
		"large frame, no memory":          {frameOf(t, large), 1 << 20, false},
		"compressed frame":                {newCompressor().compressFrame(frameOf(t, large)), 3 << 20, true},
		"compressed frame, no memory":     {newCompressor().compressFrame(frameOf(t, large)), 1 << 20, false},
		"many short values":               {frameOf(t, names), 8 << 20, true},
		"many short values, no memory":    {frameOf(t, names), 3 << 20, false},
		"many short values in small part": {newCompressor().compressFrame(frameOf(t, names)), 3 << 20, false},
	} {
		budget := membudget.NewBudget(row.limit)
		frame, _, err := readFrameWithin(bytes.NewReader(row.item), DefaultMaxFrameSize, budget)
		if (err == nil) != row.fits || (err != nil && !errors.Is(err, ErrNoMemory)) {
			t.Errorf("%s: %v", name, err)
		}
		if frame != nil {
			frame.release()
		}
		if used := budget.Used(); used != 0 {
			t.Errorf("%s: %d bytes stay reserved", name, used)
		}
	}
}

// TestPartOfFrameTakesNoMemoryAhead guards against the memory of a frame of which only the head arrives.
func TestPartOfFrameTakesNoMemoryAhead(t *testing.T) {
	budget := membudget.NewBudget(DefaultMaxFrameSize)
	reader, writer := io.Pipe()
	failed := make(chan error, 1)
	go func() {
		_, _, err := readFrameWithin(reader, DefaultMaxFrameSize, budget)
		failed <- err
	}()
	_, _ = writer.Write(frameOf(t, make([]byte, 7<<20))[:10_000])
	if used := budget.Used(); used > 128<<10 {
		t.Errorf("%d bytes are reserved for 10,000", used)
	}
	_ = writer.Close()
	if err := <-failed; !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%v", err)
	}
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes stay reserved", used)
	}
}

func TestDecodedCost(t *testing.T) {
	for name, row := range map[string]struct {
		value any
		want  int64
	}{
		"number":      {1, valueBytes},
		"text":        {"abc", valueBytes},
		"large":       {1 << 40, valueBytes},
		"list":        {[]int{1, 2, 300}, 4 * valueBytes},
		"map":         {map[int]string{1: "a"}, mapBytes + 2*valueBytes},
		"nested maps": {[]map[int]int{{}, {}}, valueBytes + 2*mapBytes},
	} {
		encoded, err := Marshal(row.value)
		if err != nil {
			t.Fatal(err)
		}
		if got := decodedCost(encoded); got != row.want {
			t.Errorf("%s: cost %d, want %d", name, got, row.want)
		}
	}
	for _, malformed := range [][]byte{{0x5b}, {0x9a, 1}, {0x7f}, {0xff, 0xff}} {
		decodedCost(malformed) // must end
	}
}

// TestSilentStrangersDoNotKeepOutPeers fills a server with connections that never complete the handshake.
func TestSilentStrangersDoNotKeepOutPeers(t *testing.T) {
	options := testOptions()
	options.MaxConnections, options.DialTimeout = 8, time.Minute
	_, address := startServer(t, options, registerEcho)
	for range 4 * options.MaxConnections {
		stranger, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = stranger.Close() })
	}
	client := startClient(t, address, testOptions())
	ctx, cancel := context.WithTimeout(testContext(t), 20*time.Second)
	defer cancel()
	for {
		err := client.Call(ctx, "echo", echo{}, nil)
		if err == nil {
			return
		}
		if VerdictOf(err) != port.NotRun || ctx.Err() != nil {
			t.Fatal(err)
		}
	}
}

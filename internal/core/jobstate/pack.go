package jobstate

import (
	"bytes"
	"compress/flate"
	"io"
	"strings"
)

// leastPacked is the size from which on a text is compressed, in bytes.
const leastPacked = 256

// textPacker compresses finished texts. It is not safe for concurrent use.
type textPacker struct {
	writer *flate.Writer
	buffer bytes.Buffer
}

func newTextPacker() *textPacker { return &textPacker{} }

// pack compresses the text of an item, if that makes it smaller.
func (p *textPacker) pack(item *ItemState) {
	if len(item.Text) < leastPacked {
		return
	}
	p.buffer.Reset()
	p.reset()
	// A buffer takes all writes.
	_, _ = io.WriteString(p.writer, item.Text)
	_ = p.writer.Close()
	if p.buffer.Len() >= len(item.Text) {
		return
	}
	item.Packed, item.Text = bytes.Clone(p.buffer.Bytes()), ""
}

// reset prepares the writer, which is made with the first text.
func (p *textPacker) reset() {
	if p.writer != nil {
		p.writer.Reset(&p.buffer)
		return
	}
	writer, err := flate.NewWriter(&p.buffer, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	p.writer = writer
}

// textReader reads texts that may be packed. The zero value is ready; it is not safe
// for concurrent use.
type textReader struct{ reader io.ReadCloser }

// text gives an item's text. The storage has checked what it gave back, so that
// Packed is what pack made.
func (r *textReader) text(item *ItemState) string {
	if len(item.Packed) == 0 {
		return item.Text
	}
	packed := bytes.NewReader(item.Packed)
	if r.reader == nil {
		r.reader = flate.NewReader(packed)
	} else {
		// The reset of such a reader cannot fail.
		_ = r.reader.(flate.Resetter).Reset(packed, nil)
	}
	var text strings.Builder
	_, _ = io.Copy(&text, r.reader)
	return text.String()
}

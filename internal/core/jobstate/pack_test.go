package jobstate

import (
	"math/rand/v2"
	"strings"
	"testing"
)

func TestPackedTextsReadAsTheyWere(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	noise := make([]byte, 4*leastPacked)
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	packer := newTextPacker()
	var reader textReader
	for _, row := range []struct {
		name, text string
		packed     bool
	}{
		{"empty", "", false},
		{"short", "a\nb", false},
		{"long", strings.Repeat("event of a text\n", 100), true},
		{"another one", strings.Repeat("0123456789abcdef", 40), true},
		{"what does not get smaller", string(noise), false},
	} {
		item := &ItemState{Text: row.text}
		packer.pack(item)
		if packed := len(item.Packed) > 0; packed != row.packed || (packed && item.Text != "") {
			t.Errorf("%s: packed %v, want %v; %d bytes beside it", row.name, packed, row.packed, len(item.Text))
		}
		if got := reader.text(item); got != row.text {
			t.Errorf("%s: reads %q", row.name, got)
		}
	}
}
